/// The messages between hosts. Each is sent as one CBOR map in one websocket message.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/revision.h>
#include <flamingograde/servicedemand.h>
#include <flamingograde/tableplacement.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingograde {

/// Load of a cell at its home host; a hint for the placement of idempotent requests.
struct CellLoad
{
    CellId cell;
    std::uint32_t slots = 0;   ///< Slots that are usable now.
    std::uint32_t running = 0; ///< Requests in progress.
    std::uint32_t queued = 0;  ///< Requests in the queue.
};

/// The purpose for which a host keeps a connection to another one.
enum class LinkUse : std::uint8_t {
    None,    ///< No purpose: it may be closed.
    Spare,   ///< In reserve, or to send changes to hosts of other zones.
    Changes, ///< To receive changes of the directory and the membership.
};

/// State that every membership message carries in addition to its own content.
struct Gossip
{
    std::vector<Member> updates;     ///< The most recent membership changes.
    std::vector<CellLoad> loads;     ///< Loads of the cells of which the sender is the home.
    Revision revision;               ///< Revision of the sender's table.
    std::uint64_t tableDigest = 0;   ///< Hash of the table's text.
    std::uint32_t platformAgeMs = 0; ///< Time since the platform's last answer known to the sender.
    std::uint64_t placements = 0;    ///< Digest of the key placements that the sender knows.
    bool agreed = false;             ///< The sender knows that all hosts had these placements.
    Revision directory;              ///< The sender has all directory changes up to this.
    std::uint32_t members = 0;       ///< Digest of the hosts that the sender regards as working.
    LinkUse linkUse = LinkUse::None; ///< Purpose for which the sender keeps the connection.
    std::optional<std::uint32_t> directoryAgeMs; ///< Time since `directory` was current; empty if
                                                 ///< unknown, and from hosts of older versions.
    std::uint64_t clockMs = 0; ///< The sender's steady clock; 0 from hosts of older versions.
    std::uint64_t echoMs = 0;  ///< The receiver's clock when this was sent, or less: the last
                               ///< `clockMs` that the sender got from it, and the time since then.
                               ///< 0: the sender got none.
    bool readsFail = false;    ///< The sender's own reads of the directory fail.
    bool hasPart = false;      ///< The sender has a part of the directory, but no revision.
    DemandReports demand;      ///< Demand for services; empty from hosts of older versions.
};

/// The first message that each side sends on a connection.
struct Hello
{
    Member self;
    Gossip gossip;
};

/// Requests an `Ack`.
struct Ping
{
    std::uint64_t sequence = 0; ///< 0: no `Ack` is requested, the message only carries gossip.
                                ///< Hosts that carry packets send their steady clock in ms.
    Gossip gossip;
};

/// Answers a `Ping`.
struct Ack
{
    std::uint64_t sequence = 0;
    Gossip gossip;
};

/// Asks the receiver to ping `target` for the sender.
struct PingRequest
{
    std::uint64_t sequence = 0;
    HostId target;
};

/// Reports the result of a `PingRequest`.
struct PingReport
{
    std::uint64_t sequence = 0;
    HostId target;
    bool alive = false;
};

/// Requests the receiver's table if it is newer than `have`, and the key placements it knows.
struct TableRequest
{
    Revision have;
};

/// A table and the key placements that the sender knows.
struct TableBody
{
    Revision revision;
    std::string text;                       ///< Empty if the receiver has this table.
    WallTime published;                     ///< When the platform published it.
    std::vector<TablePlacement> placements; ///< Sorted by revision; the last one is the table's.
};

/// Asks a host of the zone to stop being the home of the cells that rendezvous hashing now assigns
/// to the sender.
struct ClaimRequest
{
    std::uint64_t round = 0;    ///< Identifies this request among those of the sender.
    std::vector<CellId> cells;  ///< The cells claimed.
    std::uint64_t claim = 0;    ///< Identifies the claim: constant until it is granted, and not
                                ///< reused after a restart of the sender.
    std::vector<HostId> voters; ///< All hosts of the zone that the sender asks.
};

/// What a host knows about the request with a key.
enum class KeyState : std::uint8_t {
    Unseen,  ///< This host did not dispatch the request in its tenure, and will not.
    Running, ///< Dispatched and not answered yet.
    Done,    ///< Dispatched and answered.
    Unknown, ///< Dispatched with unknown result, or this host cannot tell.
};

/// A key whose request was dispatched.
struct DispatchedKey
{
    std::uint64_t hash = 0; ///< `hashName` of the key's text.
    KeyState state = KeyState::Unknown;
    std::int64_t dispatchedUs = 0; ///< Wall time of the dispatch in microseconds.
};

/// What a home host knows about the keys of a cell when it gives the cell up.
///
/// Each key that was ever dispatched in the cell is in `keys` or was dispatched before
/// `knownSinceUs`.
struct CellKnowledge
{
    CellId cell;
    std::int64_t knownSinceUs = 0; ///< Wall time in microseconds.
    Revision
            coveredRevision; ///< Keys that any table up to this one places in the cell are covered.
    std::vector<DispatchedKey> keys;
};

/// Promises that the sender runs no further request of the granted cells until it claims them.
struct ClaimGrant
{
    std::uint64_t round = 0;     ///< Round of the request that this answers.
    std::vector<CellId> refused; ///< Cells that the sender does not grant now; request them later.
    std::vector<CellId> granted; ///< Cells granted. Those in neither list still run requests.
    std::vector<CellId> held;    ///< Those of `granted` of which the sender was the home until now.
    std::vector<CellKnowledge> knowledge; ///< Knowledge about the cells in `held`.
};

/// Tells the hosts that may have granted a claim that the sender gave it up and did not become home
/// through it.
struct ClaimRelease
{
    std::uint64_t claim = 0;   ///< As in the `ClaimRequest`.
    std::vector<CellId> cells; ///< The cells given up.
};

/// Asks a former home host what it knows about a key.
struct KeyLookup
{
    std::uint64_t sequence = 0;
    CellId cell;
    std::string key;
};

/// Answers a `KeyLookup`.
struct KeyReport
{
    std::uint64_t sequence = 0;
    KeyState state = KeyState::Unknown;
    std::int64_t tenureSinceUs = 0; ///< Wall time in us from which the sender knows all dispatches.
};

/// A position in the whole directory as a host sends it: first the upstreams of the receiver's
/// zone, then all others, each ordered by instance.
struct DirectoryPosition
{
    bool isPastZone = false; ///< The upstreams of the receiver's zone have been sent.
    InstanceId after;        ///< Upstreams up to this instance have been sent.

    [[nodiscard]] friend auto operator==(const DirectoryPosition &a, const DirectoryPosition &b)
            -> bool
    {
        return a.isPastZone == b.isPastZone && a.after == b.after;
    }
};

/// Requests directory changes; answered with a `DirectoryUpdate`, or with a `DirectoryPage` if the
/// sender needs the whole directory and gives a position.
struct DirectoryRequest
{
    Revision have; ///< The sender has the changes up to this; invalid: it has none.
    std::optional<DirectoryPosition> position; ///< Where the requested page begins. Hosts of older
                                               ///< versions send none, and get no pages.
};

/// A page of the whole directory.
struct DirectoryPage
{
    DirectoryUpdate update; ///< Its upstreams, and all evacuations; the first page has the rows.
    DirectoryPosition position;            ///< As in the request.
    std::optional<DirectoryPosition> next; ///< Where the next page begins; none: this is the last.
    bool isPart = false; ///< The sender has no more than this yet: no page, but enough to serve.
};

using Message = std::variant<Hello, Ping, Ack, PingRequest, PingReport, TableRequest, TableBody,
                             ClaimRequest, ClaimGrant, KeyLookup, KeyReport, ClaimRelease,
                             DirectoryRequest, DirectoryUpdate, DirectoryPage>;

} // namespace flamingograde
