/// Several hosts in virtual time: fakes of the transport, the platform, callers and upstreams.
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

/// What an upstream does with a request or feed.
enum class Behaviour : std::uint8_t {
    Answer,  ///< Answers after the service time.
    Hold,    ///< Takes it and never answers.
    Refuse,  ///< Cannot be reached: nothing is sent.
    Lose,    ///< Runs it and loses the connection.
    Shed,    ///< Says 503 with Retry-After.
    Mistake, ///< Says 421: not its service.
    Late,    ///< Says 504: the deadline has passed.
    Break,   ///< Begins the answer and breaks it off.
};

/// What a caller got.
struct CallerResult
{
    std::optional<Refusal> refusal;
    std::string token;
    bool headed = false;   ///< An answer began.
    bool answered = false; ///< It came whole.
    bool replayed = false; ///< It was a kept answer.
    bool aborted = false;  ///< It broke off.
    int ends = 0;          ///< How often it ended; 1 but for callers of a killed host.
    MonoTime at;           ///< When it last ended.
};

/// A request that came to an upstream.
struct UpstreamRun
{
    UpstreamId upstream;
    std::string key;
    std::string service;
    ExchangeId exchange;
    std::size_t host = 0;
};

/// Runs `Balancer`s against fakes. Deterministic.
class VirtualFleet
{
public:
    /// @param hosts name and zone of each.
    VirtualFleet(const std::vector<std::pair<std::string, std::string>> &hosts, std::string table,
                 Policy policy = Policy::CellHome);

    /// Lets time pass, with ticks, until everything is connected.
    auto settle() -> void { this->advance(std::chrono::seconds(4)); }
    auto advance(Duration duration) -> void;
    /// Puts a new table on the platform.
    auto publish(std::string table) -> void;
    /// Gives `event` to a host now and carries out what it decides.
    auto give(std::size_t host, Event event) -> void;
    /// Has a caller send a request or open a feed. @returns the exchange.
    auto call(std::size_t host, const std::string &address, const std::string &token = {},
              const std::string &key = {}, Duration timeout = Duration { 0 }) -> ExchangeId;
    /// Breaks the upstream connection of an open feed.
    auto cutFeed(ExchangeId feed) -> void;
    /// Stops a host at once: its connections are refused from now on.
    auto kill(std::size_t host) -> void;
    /// Starts a killed host anew, with nothing but its settings.
    auto restart(std::size_t host) -> void;
    /// Freezes a host: its events wait for `resume`.
    auto pause(std::size_t host) -> void { this->hosts[host].paused = true; }
    /// Lets a frozen host go on, with all that has come meanwhile.
    auto resume(std::size_t host) -> void;

    [[nodiscard]] auto result(ExchangeId exchange) const -> CallerResult;
    [[nodiscard]] auto host(std::size_t index) const -> const Balancer &
    {
        return *this->hosts[index].balancer;
    }
    /// Returns a UUIDv7 made now.
    [[nodiscard]] auto newKey() -> std::string;
    [[nodiscard]] auto runsOf(const std::string &key) const -> std::size_t;
    [[nodiscard]] auto now() const -> Now { return this->clock; }

    std::function<Behaviour(UpstreamId)> behaviour = [](UpstreamId) { return Behaviour::Answer; };
    Duration serviceTime = std::chrono::milliseconds(20);
    std::map<std::size_t, Duration> skews; ///< Of hosts' wall clocks against callers'.
    std::set<std::size_t> blind;           ///< Hosts that the platform does not answer.
    std::set<std::size_t> mute;            ///< Hosts cut off from all other hosts.
    std::set<std::size_t> split; ///< Hosts cut off from the others, but not from each other.
    bool tellsPublished = true;  ///< The platform tells when a table was published, in seconds.
    std::map<std::size_t, Duration> tableLag; ///< How much later a host gets each new table.
    std::vector<UpstreamRun> runs;
    std::vector<UpstreamRun> opened; ///< Feeds opened, in order.
    std::map<ExchangeId, UpstreamRun> feeds;
    std::map<std::size_t, std::string> stopped; ///< Hosts that are ready to end.
    std::vector<std::pair<std::size_t, Address>> unlistened;

private:
    struct Host
    {
        Init init;
        Member member;
        std::unique_ptr<Balancer> balancer;
        bool dead = false;
        bool paused = false;
        std::optional<Revision> watch;
        std::vector<std::function<void()>> backlog;
    };
    struct Pending
    {
        MonoTime at;
        std::uint64_t order = 0;
        std::function<void()> run;
        friend auto operator<(const Pending &a, const Pending &b) -> bool
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };
    /// Where a relayed request came from.
    struct Sender
    {
        std::size_t host = 0;
        ExchangeId exchange;
        std::uint32_t attempt = 0;
        std::size_t home = 0;
    };

    auto later(Duration delay, std::function<void()> run) -> void;
    [[nodiscard]] auto indexOf(HostId id) const -> std::size_t;
    [[nodiscard]] auto isCut(std::size_t a, std::size_t b) const -> bool;
    auto progress(std::size_t host, ExchangeId exchange, std::uint32_t attempt, Progress progress,
                  std::optional<AnswerHead> head = {}, bool keep = false) -> void;
    auto perform(std::size_t host, const Action &action) -> void;
    auto on(std::size_t host, const Dispatch &action) -> void;
    auto on(std::size_t host, const Relay &action) -> void;
    auto on(std::size_t host, const OpenFeed &action) -> void;
    auto on(std::size_t host, const ConnectPeer &action) -> void;
    auto on(std::size_t host, const SendPeer &action) -> void;
    auto on(std::size_t host, const ReadTable &action) -> void;
    auto passAnswer(std::size_t host, const PassAnswer &action) -> void;
    auto refused(std::size_t host, const Refuse &action) -> void;
    auto tellSender(ExchangeId exchange, Progress progress, std::optional<AnswerHead> head = {})
            -> bool;
    auto end(ExchangeId exchange) -> CallerResult &;
    [[nodiscard]] auto senderOf(ExchangeId exchange) const -> const Sender *;
    /// Gives the table now published to `host`, late by its lag.
    auto sendTable(std::size_t host) -> void;
    [[nodiscard]] auto publishedWall() const -> std::optional<WallTime>;
    /// Returns how long the table `revision` still takes to `host`; at least one way.
    [[nodiscard]] auto tableDelay(std::size_t host, Revision revision) const -> Duration;

    std::vector<Host> hosts;
    std::string table;
    Revision revision { 1 };
    std::map<std::uint64_t, MonoTime> publishedAt; ///< By revision.
    Now clock;
    std::priority_queue<Pending> pending;
    std::uint64_t order = 0;
    std::uint64_t lastExchange = 0;
    std::uint64_t lastKey = 0;
    std::map<ExchangeId, Sender> senders;
    std::map<ExchangeId, std::uint32_t> attempts; ///< Of feeds.
    std::map<ExchangeId, CallerResult> results;
};

} // namespace flamingograde
