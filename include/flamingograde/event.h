/// What happens to a host: the inputs of the library.
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

/// A caller's request, feed or upload came in whole.
struct CallerArrived
{
    ExchangeId exchange;    ///< Chosen by the transport; unique in this process.
    Address address;        ///< The service's address it came to.
    std::string token;      ///< The flow token; empty for none.
    std::string key;        ///< The idempotency key; empty for none.
    Duration timeout { 0 }; ///< The caller's own deadline; 0: the row's.
    std::uint64_t bodyBytes = 0;
};

/// Another host relayed a request to this one as the home of its cell.
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

/// The caller, or the relaying host, went away.
struct CallerLeft
{
    ExchangeId exchange;
};

/// How far a dispatch, relay or feed came.
enum class Progress : std::uint8_t {
    NotSent,   ///< No byte of it left this host.
    Lost,      ///< Lost after it may have been sent and before an answer began.
    Answering, ///< The answer's head came; `head` is set.
    Answered,  ///< The whole answer came and was passed on.
    Cut,       ///< The answer broke off.
};

/// The head of an answer from an upstream or a home.
struct AnswerHead
{
    int status = 0;
    bool refusal = false;                         ///< A home's refusal, not an upstream's answer.
    RefusalReason reason = RefusalReason::NoHome; ///< Of a refusal.
    Verdict verdict = Verdict::Run;               ///< Of a refusal.
    bool shed = false; ///< An upstream's "not run, come back later" (503 with Retry-After).
    Duration retryAfter { 0 };
};

/// The transport reports on an exchange that it sent somewhere.
struct ExchangeProgress
{
    ExchangeId exchange;
    std::uint32_t attempt = 0; ///< The attempt of the action it belongs to; others are ignored.
    Progress progress = Progress::NotSent;
    std::optional<AnswerHead> head;           ///< Set with `Answering`.
    std::shared_ptr<const std::string> whole; ///< With `Answered`: the answer, if kept on request.
};

/// The result of a health probe. A hint: traffic goes first.
struct UpstreamReport
{
    UpstreamId upstream;
    bool reachable = false;
    bool healthy = false;  ///< What its health endpoint says.
    bool draining = false; ///< What its health endpoint says.
    double load = 0;       ///< What its load endpoint says, 0 to 1; negative: nothing.
};

/// A message from another host.
struct PeerMessage
{
    HostId from;
    Message message;
};

/// A connection with a host is up (after both `Hello`s).
struct PeerUp
{
    Member member;
};

/// Why there is no connection with a host.
enum class PeerLoss : std::uint8_t {
    Refused, ///< Its machine answered that no process listens: the process is gone.
    Closed,  ///< It closed the connection.
    Silent,  ///< Nothing came, or no connection came about, for too long.
};

/// A connection with a host was lost or did not come about.
struct PeerDown
{
    HostId host;
    PeerLoss loss = PeerLoss::Closed;
};

/// The platform gave a table. The revision may be any, also an older one.
struct TableFetched
{
    Revision revision;
    std::string text;
    std::optional<WallTime> published; ///< When it was published, if the platform tells.
};

/// The platform said that there is nothing newer.
struct TableUnchanged
{
    Revision revision; ///< What the platform holds.
};

/// The platform gave its host list. It may lag.
struct HostsFetched
{
    std::vector<Member> hosts;
};

/// Which read of the platform.
enum class PlatformRead : std::uint8_t {
    Table,
    Hosts,
};

/// A read of the platform failed, or its answer was not what it should be.
struct PlatformFailed
{
    PlatformRead read = PlatformRead::Table;
    std::string why;
};

/// The directory was read.
struct DirectoryRead
{
    DirectoryUpdate update;
    bool late = false; ///< The answer may have been out of date when it was given.
};

/// Why a read of the directory failed.
enum class DirectoryFailure : std::uint8_t {
    Refused,     ///< Turned away: too many calls, or busy.
    Unreachable, ///< No connection, or no answer in time.
    Forgotten,   ///< The changes asked for are no longer kept.
    Malformed,   ///< The answer cannot be read.
};

/// A read of the directory failed.
struct DirectoryReadFailed
{
    DirectoryFailure failure = DirectoryFailure::Unreachable;
    std::string why;
};

/// Some of what the directory published cannot be read. The rest of the answer is good.
struct DirectoryItemsFaulty
{
    std::size_t count = 0; ///< Items.
    std::string what;      ///< The items and what is wrong with them.
};

/// The settings name other seeds now.
struct SeedsRead
{
    std::vector<Address> addresses; ///< Peer addresses of hosts whose names are not known.
};

/// Time passed. Comes every `config::tickPeriod`.
struct Tick
{};

/// An operator asked for an orderly stop (SIGTERM or `drain`).
struct StopRequested
{};

using Event =
        std::variant<CallerArrived, RelayArrived, CallerLeft, ExchangeProgress, UpstreamReport,
                     PeerMessage, PeerUp, PeerDown, TableFetched, TableUnchanged, HostsFetched,
                     PlatformFailed, DirectoryRead, DirectoryReadFailed, DirectoryItemsFaulty,
                     SeedsRead, Tick, StopRequested>;

} // namespace flamingograde
