/// The messages between hosts. Each travels as one CBOR map in one websocket message.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/revision.h>
#include <flamingograde/tableplacement.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace flamingograde {

/// How busy a cell's home is; a hint for placing idempotent requests.
struct CellLoad
{
    CellId cell;
    std::uint32_t slots = 0;   ///< Slots now offered.
    std::uint32_t running = 0; ///< Requests under way.
    std::uint32_t queued = 0;  ///< Requests waiting.
};

/// What a host keeps a connection with another one for.
enum class LinkUse : std::uint8_t {
    None,  ///< Nothing: it may be closed.
    Spare, ///< In reserve, or to tell hosts of other zones.
    Feed,  ///< To be sent what is new.
};

/// What every membership message carries beside its purpose.
struct Gossip
{
    std::vector<Member> updates;   ///< The newest membership changes.
    std::vector<CellLoad> loads;   ///< Loads of cells homed at the sender.
    Revision revision;             ///< The sender's table.
    std::uint64_t tableDigest = 0; ///< Hash of the table's text.
    std::uint32_t platformAgeMs =
            0; ///< Time since the sender, or whom it heard, last heard the platform.
    std::uint64_t placements = 0;    ///< Digest of the placements of keys that the sender knows.
    bool agreed = false;             ///< The sender knows all hosts to have had these placements.
    Revision directory;              ///< The sender has all changes of the directory up to this.
    std::uint32_t members = 0;       ///< Digest of the hosts that the sender holds to be at work.
    LinkUse linkUse = LinkUse::None; ///< What the sender keeps the connection for.
    bool readsFail = false;          ///< The sender's own reads of the directory fail.
};

/// The first message on a connection, both ways.
struct Hello
{
    Member self;
    Gossip gossip;
};

/// Asks for an `Ack`.
struct Ping
{
    std::uint64_t sequence = 0; ///< 0: no `Ack` is wanted, the message only carries its gossip.
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

/// Tells what came of a `PingRequest`.
struct PingReport
{
    std::uint64_t sequence = 0;
    HostId target;
    bool alive = false;
};

/// Asks for the receiver's table where it is newer than `have`, and for its placements of keys.
struct TableRequest
{
    Revision have;
};

/// A table and the placements of keys that the sender knows.
struct TableBody
{
    Revision revision;
    std::string text;                       ///< Empty where the receiver has it.
    WallTime published;                     ///< When the platform published it.
    std::vector<TablePlacement> placements; ///< By revision; the last one is that of the table.
};

/// Asks a host of the zone to give up being home of whatever rendezvous now gives to the sender.
struct ClaimRequest
{
    std::uint64_t round = 0;    ///< Names this request among those of the sender.
    std::vector<CellId> cells;  ///< The cells claimed.
    std::uint64_t claim = 0;    ///< Names the claim; the same in each request until it is granted,
                                ///< and of no other life of the sender.
    std::vector<HostId> voters; ///< All hosts of the zone that the sender asks.
};

/// What a host knows of a key.
enum class KeyState : std::uint8_t {
    Unseen,  ///< Never dispatched by this host during its tenure, and never will be.
    Running, ///< Dispatched, no answer yet.
    Done,    ///< Dispatched and answered.
    Unknown, ///< Dispatched with unknown result, or not this host's to tell.
};

/// A key that was dispatched.
struct HandedKey
{
    std::uint64_t hash = 0; ///< `hashName` of the key's text.
    KeyState state = KeyState::Unknown;
    std::int64_t dispatchedUs = 0; ///< Wall time of the dispatch, in microseconds.
};

/// What a home knows of the keys of a cell when it gives the cell up.
///
/// Every key that was ever dispatched in the cell is in `keys`, or was dispatched before
/// `knownSinceUs`.
struct CellKnowledge
{
    CellId cell;
    std::int64_t knownSinceUs = 0; ///< Wall time in microseconds.
    Revision tables;               ///< This holds for the keys' cell by all tables up to this one.
    std::vector<HandedKey> keys;
};

/// Promises that the sender runs nothing more for the granted cells until it claims them itself.
struct ClaimGrant
{
    std::uint64_t round = 0;     ///< Of the request that this answers.
    std::vector<CellId> refused; ///< Cells that the sender does not grant now; ask again later.
    std::vector<CellId> granted; ///< Cells promised. Those in neither list are still finishing.
    std::vector<CellId> held;    ///< Of `granted`: those that the sender was home of until this.
    std::vector<CellKnowledge> knowledge; ///< Of the cells in `held`.
};

/// Tells who may have granted it that the sender gave up a claim and was never home by it.
struct ClaimRelease
{
    std::uint64_t claim = 0;   ///< Of the `ClaimRequest`.
    std::vector<CellId> cells; ///< The cells given up.
};

/// Asks a former home what it knows of a key.
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
    std::int64_t tenureSinceUs = 0; ///< Wall time from which the sender knows every dispatch.
};

/// Asks for the directory's changes; answered with a `DirectoryUpdate`.
struct DirectoryRequest
{
    Revision have; ///< Up to where the sender has them; invalid: it has none.
};

using Message = std::variant<Hello, Ping, Ack, PingRequest, PingReport, TableRequest, TableBody,
                             ClaimRequest, ClaimGrant, KeyLookup, KeyReport, ClaimRelease,
                             DirectoryRequest, DirectoryUpdate>;

} // namespace flamingograde
