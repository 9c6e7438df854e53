/// Events: the inputs of the library.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/message.h>
#include <flamingograde/refusal.h>
#include <flamingograde/revision.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingograde {

/// A caller's request, feed or upload was received completely.
struct CallerArrived
{
    ExchangeId exchange;    ///< Chosen by the transport; unique in this process.
    Address address;        ///< The service address at which it arrived.
    std::string token;      ///< The flow token; empty for none.
    std::string key;        ///< The idempotency key; empty for none.
    Duration timeout { 0 }; ///< Timeout set by the caller; 0: the row's deadline applies.
    std::uint64_t bodyBytes = 0;
};

/// Another host relayed a request to this host, as it regards this host as the home of the cell.
struct RelayArrived
{
    ExchangeId exchange;
    HostId from;
    RowId row;
    Address address;     ///< The row's address in the sender's table.
    UpstreamId upstream; ///< Valid where the flow is bound to one upstream.
    std::string key;
    Duration remaining { 0 }; ///< Time left until the deadline.
    std::uint64_t bodyBytes = 0;
};

/// The caller or the relaying host closed its connection.
struct CallerLeft
{
    ExchangeId exchange;
};

/// Progress of a dispatch, relay or feed.
enum class Progress : std::uint8_t {
    NotSent,   ///< No byte of the request left this host.
    Lost,      ///< Connection lost after the request may have been sent and before an answer began.
    Answering, ///< The answer's head was received; `head` is set.
    Answered,  ///< The whole answer was received and forwarded.
    Cut,       ///< The answer broke off.
};

/// The head of an answer from an upstream or a home host.
struct AnswerHead
{
    int status = 0;
    bool refusal = false; ///< A home host's refusal, not an upstream's answer.
    RefusalReason reason = RefusalReason::NoHome; ///< Only for a refusal.
    Verdict verdict = Verdict::Run;               ///< Only for a refusal.
    bool shed = false; ///< The upstream did not run it and asks for a retry (503 with Retry-After).
    Duration retryAfter { 0 };
};

/// The transport's report on an exchange that it sent to an upstream or a home host.
struct ExchangeProgress
{
    ExchangeId exchange;
    std::uint32_t attempt = 0; ///< Attempt of the action it reports on; outdated ones are ignored.
    Progress progress = Progress::NotSent;
    std::optional<AnswerHead> head;           ///< Set with `Answering`.
    std::shared_ptr<const std::string> whole; ///< With `Answered`: the answer, if requested.
};

/// The result of a health probe. Only a hint: results of requests take precedence.
struct UpstreamReport
{
    UpstreamId upstream;
    bool reachable = false;
    bool healthy = false;  ///< As its health endpoint reports.
    bool draining = false; ///< As its health endpoint reports.
    double load = 0;       ///< As its load endpoint reports, 0 to 1; negative: not reported.
};

/// A message from another host.
struct PeerMessage
{
    HostId from;
    Message message;
};

/// A connection to a host is established: both `Hello`s were exchanged.
struct PeerUp
{
    Member member;
};

/// Why there is no connection to a host.
enum class PeerLoss : std::uint8_t {
    Refused, ///< Its machine refused the connection: its process has ended.
    Closed,  ///< The host closed the connection.
    Silent,  ///< Nothing was received, or no connection was established, in time.
};

/// A connection to a host was lost or could not be established.
struct PeerDown
{
    HostId host;
    PeerLoss loss = PeerLoss::Closed;
};

/// The platform returned a table. Its revision may be any, even older than the one in force.
struct TableFetched
{
    Revision revision;
    std::string text;
    std::optional<WallTime> published; ///< When it was published, if the platform reports it.
};

/// The platform has no newer table.
struct TableUnchanged
{
    Revision revision; ///< Revision of the table that the platform has.
};

/// The platform returned its host list, which may be out of date.
struct HostsFetched
{
    std::vector<Member> hosts;
};

/// Kind of a read of the platform.
enum class PlatformRead : std::uint8_t {
    Table,
    Hosts,
};

/// A read of the platform failed, or its answer was invalid.
struct PlatformFailed
{
    PlatformRead read = PlatformRead::Table;
    std::string why;
};

/// The directory was read.
struct DirectoryRead
{
    DirectoryUpdate update;
    bool stale = false; ///< The answer may have been out of date when it was sent.
};

/// A page of the whole directory was read; more pages follow.
struct DirectoryPageRead
{
    DirectoryUpdate page; ///< Upstreams of this page, and the rows and evacuations read so far.
};

/// A part of an answer to a directory read arrived.
struct DirectoryReadProgress
{
    std::size_t received = 0; ///< Bytes of the answer that have arrived.
    std::size_t size = 0;     ///< Bytes of the whole answer; 0 if it does not say.
};

/// Why a read of the directory failed.
enum class DirectoryFailure : std::uint8_t {
    Refused,     ///< The platform refused the call: too many calls, or it is busy.
    Unreachable, ///< No connection, or no answer within the time limit.
    Forgotten,   ///< The platform no longer has the requested changes.
    Malformed,   ///< The answer could not be decoded.
};

/// A read of the directory failed.
struct DirectoryReadFailed
{
    DirectoryFailure failure = DirectoryFailure::Unreachable;
    std::string why;
};

/// Some items of a directory answer could not be decoded. The rest of the answer is usable.
struct DirectoryItemsFaulty
{
    std::size_t count = 0; ///< Number of such items.
    std::string what;      ///< The items and their faults.
};

/// The settings file was read again and has other seeds.
struct SeedsRead
{
    std::vector<Address> addresses; ///< Peer addresses of hosts whose names are not known.
};

/// Timer event, sent every `config::tickPeriod`.
struct Tick
{};

/// An operator requested an orderly stop (SIGTERM or `drain`).
struct StopRequested
{};

using Event =
        std::variant<CallerArrived, RelayArrived, CallerLeft, ExchangeProgress, UpstreamReport,
                     PeerMessage, PeerUp, PeerDown, TableFetched, TableUnchanged, HostsFetched,
                     PlatformFailed, DirectoryRead, DirectoryPageRead, DirectoryReadProgress,
                     DirectoryReadFailed, DirectoryItemsFaulty, SeedsRead, Tick, StopRequested>;

} // namespace flamingograde
