/// Test fixture that runs several hosts in virtual time, with fakes of the transport, the platform,
/// the callers and the upstreams.
#pragma once

#include <flamingograde/balancer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace flamingograde {

/// How a fake upstream responds to a request. For feeds only `Answer` and `Shed` have effects of
/// their own; with any other value the feed is reported as not sent.
enum class Behaviour : std::uint8_t {
    Answer,         ///< Answers with 200 after the service time.
    Hold,           ///< Runs it and never answers.
    Refuse,         ///< Is unreachable: nothing is sent.
    LoseConnection, ///< Runs it, then loses the connection before the answer.
    Shed,           ///< Answers 503 with Retry-After, without running it.
    Misdirect,      ///< Answers 421: it does not serve the service.
    GatewayTimeout, ///< Answers 504: the deadline has passed.
    Truncate,       ///< Runs it, begins the answer and cuts it off.
};

/// Result that a caller received.
struct CallerResult
{
    std::optional<Refusal> refusal;
    std::string token;
    bool gotHead = false;  ///< The head of an answer arrived.
    bool answered = false; ///< The answer arrived complete.
    bool replayed = false; ///< The answer was a stored one, replayed for a repeated key.
    bool aborted = false;  ///< The answer was aborted.
    int ends = 0;          ///< Number of results; 1 unless the caller's host was killed.
    MonoTime at;           ///< Time of the last result.
};

/// A request or feed that arrived at an upstream.
struct UpstreamRun
{
    UpstreamId upstream;
    std::string key;
    std::string service;
    ExchangeId exchange;
    std::size_t host = 0;
};

/// Fleet of `Balancer`s that run against fakes. Deterministic.
class VirtualFleet
{
public:
    /// @param hosts name and zone of each host.
    VirtualFleet(const std::vector<std::pair<std::string, std::string>> &hosts, std::string table,
                 Policy policy = Policy::CellHome);

    /// Advances the time by 4 s, enough for all hosts to connect and read the table.
    auto settle() -> void { this->advance(std::chrono::seconds(4)); }
    auto advance(Duration duration) -> void;
    /// Publishes a new table on the platform.
    auto publish(std::string table) -> void;
    /// Passes `event` to a host now and performs the resulting actions.
    auto deliver(std::size_t host, Event event) -> void;
    /// Sends a caller's request or feed to a host. @returns its exchange.
    auto call(std::size_t host, const std::string &address, const std::string &token = {},
              const std::string &key = {}, Duration timeout = Duration { 0 }) -> ExchangeId;
    /// Closes the upstream connection of an open feed.
    auto cutFeed(ExchangeId feed) -> void;
    /// Crashes a host: its peer connections close, and new ones are refused.
    auto kill(std::size_t host) -> void;
    /// Restarts a killed host with its settings and no other state.
    auto restart(std::size_t host) -> void;
    /// Freezes a host: its events are queued until `resume`.
    auto pause(std::size_t host) -> void { this->hosts[host].paused = true; }
    /// Resumes a frozen host and delivers the events queued meanwhile.
    auto resume(std::size_t host) -> void;

    [[nodiscard]] auto result(ExchangeId exchange) const -> CallerResult;
    [[nodiscard]] auto host(std::size_t index) const -> const Balancer &
    {
        return *this->hosts[index].balancer;
    }
    /// Returns a new UUIDv7 of the current time.
    [[nodiscard]] auto newKey() -> std::string;
    [[nodiscard]] auto runsOf(const std::string &key) const -> std::size_t;
    [[nodiscard]] auto now() const -> Now { return this->clock; }

    std::function<Behaviour(UpstreamId)> behaviour = [](UpstreamId) { return Behaviour::Answer; };
    Duration serviceTime = std::chrono::milliseconds(20);
    std::map<std::size_t, Duration> skews;      ///< Offset of hosts' wall clocks from the callers'.
    std::set<std::size_t> hostsWithoutPlatform; ///< Hosts that get no answer from the platform.
    std::set<std::size_t> isolatedHosts;        ///< Hosts disconnected from all other hosts.
    std::set<std::size_t>
            partitionedHosts; ///< Hosts in one partition, disconnected from all hosts outside.
    bool reportsPublishTime =
            true; ///< The platform reports a table's publication time, in seconds.
    std::map<std::size_t, Duration>
            tableLag; ///< Time after publication at which a host gets a table.
    std::vector<UpstreamRun> runs;
    std::vector<UpstreamRun> opened; ///< Accepted feed openings, in order.
    std::map<ExchangeId, UpstreamRun> feeds;
    std::map<std::size_t, std::string>
            stopped; ///< Unfinished work reported by hosts at `StopReady`.
    std::vector<std::pair<std::size_t, Address>> closedListeners;

private:
    struct Host
    {
        Init init;
        Member member;
        std::unique_ptr<Balancer> balancer;
        bool dead = false;
        bool paused = false;
        std::optional<Revision> watchedRevision;
        std::vector<std::function<void()>> backlog;
    };
    struct Pending
    {
        MonoTime at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        friend auto operator<(const Pending &a, const Pending &b) -> bool
        {
            return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
        }
    };
    /// Host and exchange from which a relayed request was sent.
    struct RelaySender
    {
        std::size_t host = 0;
        ExchangeId exchange;
        std::uint32_t attempt = 0;
        std::size_t home = 0;
    };

    auto schedule(Duration delay, std::function<void()> run) -> void;
    [[nodiscard]] auto indexOf(HostId id) const -> std::size_t;
    [[nodiscard]] auto isDisconnected(std::size_t a, std::size_t b) const -> bool;
    auto progress(std::size_t host, ExchangeId exchange, std::uint32_t attempt, Progress progress,
                  std::optional<AnswerHead> head = {}, bool keepAnswer = false) -> void;
    auto perform(std::size_t host, const Action &action) -> void;
    auto on(std::size_t host, const Dispatch &action) -> void;
    auto on(std::size_t host, const Relay &action) -> void;
    auto on(std::size_t host, const OpenFeed &action) -> void;
    auto on(std::size_t host, const ConnectPeer &action) -> void;
    auto on(std::size_t host, const SendPeer &action) -> void;
    auto on(std::size_t host, const ReadTable &action) -> void;
    auto onPassAnswer(std::size_t host, const PassAnswer &action) -> void;
    auto onRefuse(std::size_t host, const Refuse &action) -> void;
    auto notifySender(ExchangeId exchange, Progress progress, std::optional<AnswerHead> head = {})
            -> bool;
    auto recordEnd(ExchangeId exchange) -> CallerResult &;
    [[nodiscard]] auto relaySenderOf(ExchangeId exchange) const -> const RelaySender *;
    /// Sends the published table to `host`, delayed by `tableLag`.
    auto sendTable(std::size_t host) -> void;
    [[nodiscard]] auto publishedWallTime() const -> std::optional<WallTime>;
    /// Returns the delay until table `revision` arrives at `host`; at least the one-way delay.
    [[nodiscard]] auto tableDelay(std::size_t host, Revision revision) const -> Duration;

    std::vector<Host> hosts;
    std::string table;
    Revision revision { 1 };
    std::map<std::uint64_t, MonoTime> publishedAt; ///< Publication time of each revision.
    Now clock;
    std::priority_queue<Pending> pending;
    std::uint64_t sequence = 0;
    std::uint64_t lastExchange = 0;
    std::uint64_t lastKeySeed = 0;
    std::map<ExchangeId, RelaySender> relaySenders;
    std::map<ExchangeId, std::uint32_t>
            attempts; ///< Attempt number of the last opening of each feed.
    std::map<ExchangeId, CallerResult> results;
};

} // namespace flamingograde
