/// Actions: the outputs of the library, which tell the transport what to do.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/logevent.h>
#include <flamingograde/message.h>
#include <flamingograde/refusal.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace flamingograde {

/// Send the exchange's request to an upstream now.
/// @remarks The transport reports on each with `ExchangeProgress` of the same attempt.
struct Dispatch
{
    ExchangeId exchange;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    Address address;
    std::string service; ///< Sent as `Host`, so that an upstream of another service refuses it.
    std::string rowName; ///< Sent as `Flamingograde-Row`.
    std::string key;     ///< Sent as `Idempotency-Key`; empty for none.
    bool freshConnection = false; ///< Use no pooled connection: if one is stale, it is unknown
                                  ///< whether the request ran.
    bool keepAnswer = false;      ///< Attach the whole answer to `Answered` if it is small enough.
    Duration remaining { 0 };     ///< Time left; sent to the upstream and used as the timeout.
    WallTime expires;             ///< The request must not be sent after this time.
};

/// Send the exchange's request to the home host of its cell.
struct Relay
{
    ExchangeId exchange;
    std::uint32_t attempt = 0;
    HostId host;
    Address address; ///< The home's relay address.
    RowId row;
    std::string rowName; ///< Sent as `Flamingograde-Row`.
    Address rowAddress;
    UpstreamId upstream; ///< Valid where the flow is bound to one upstream.
    std::string key;
    Duration remaining { 0 };
};

/// Open a feed at an upstream, or reopen it there after the last event id that the transport knows.
struct OpenFeed
{
    ExchangeId exchange;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    Address address;
    std::string service;
    std::string rowName; ///< Sent as `Flamingograde-Row`.
    bool reopen = false; ///< True if the answer's head has already been passed to the caller.
};

/// Forward the answer whose head was just reported to the caller or the relaying host.
struct PassAnswer
{
    ExchangeId exchange;
    std::string setToken; ///< The flow token to set; empty for none.
};

/// Answer with a stored answer.
struct ReplayAnswer
{
    ExchangeId exchange;
    std::shared_ptr<const std::string> whole; ///< The whole answer, as reported with `Answered`.
};

/// Answer with a refusal. It is final; a request that the exchange has sent is cancelled.
struct Refuse
{
    ExchangeId exchange;
    Refusal refusal;
};

/// Cancel the request that the exchange has sent, by closing its connection to the upstream or
/// home.
struct Cancel
{
    ExchangeId exchange;
};

/// Close the caller's connection, as the answer broke off after its head was forwarded: the caller
/// must not take the forwarded part for the whole answer.
struct AbortAnswer
{
    ExchangeId exchange;
};

/// End a feed between two events; its caller reopens it at another host.
struct EndFeed
{
    ExchangeId exchange;
};

/// Probe an upstream's health and load.
struct ProbeUpstream
{
    UpstreamId upstream;
    Address address;
    std::string service;
};

/// Connect to a host. Has no effect if a connection exists or is being established.
struct ConnectPeer
{
    HostId host;
    Address address;
};

/// Close the connection to a host.
struct DropPeer
{
    HostId host;
};

/// Send a message to a host. Dropped if there is no connection to it.
struct SendPeer
{
    HostId host;
    Message message;
};

/// Send one message, encoded once, to several hosts. Hosts without a connection are skipped.
struct SendPeers
{
    std::vector<HostId> hosts;
    Message message;
};

/// Read the platform's table.
struct ReadTable
{
    Revision after;      ///< Newest revision known to this host, refused ones included.
    Duration wait { 0 }; ///< How long the platform may hold the call until a newer table exists.
};

/// Read the platform's host list.
struct ReadHosts
{};

/// Read the changes of the directory, or the whole directory. Answered with `DirectoryRead` or
/// `DirectoryReadFailed`; only one read is in progress at a time.
///
/// The whole directory is read in pages. After a failed or stopped read, the next one continues
/// with the page that is missing.
struct ReadDirectory
{
    Revision after;          ///< This host has the changes up to this; invalid: read everything.
    Duration wait { 0 };     ///< How long the platform may hold the call until a change.
    bool mayBeStale = false; ///< The platform may give an answer that is some seconds old, which
                             ///< costs it less.
};

/// Stop the read of the directory that is in progress, without an answer.
struct StopReadingDirectory
{
    bool keepsPages = false; ///< Whether the next read of the whole directory may continue it.
};

/// Connect to whichever host accepts connections at the address of a seed.
struct ConnectSeed
{
    Address address;
};

/// Start to accept callers' connections at a row's address.
struct Listen
{
    Address address;
};

/// Stop accepting connections at an address.
struct Unlisten
{
    Address address;
};

/// Write to the log.
struct Log
{
    LogEvent event = LogEvent::Started;
    std::string text;
};

/// The orderly stop is complete; the process may end.
struct StopReady
{
    std::string left; ///< Work that was not finished; empty if there is none.
};

using Action = std::variant<Dispatch, Relay, OpenFeed, PassAnswer, ReplayAnswer, Refuse, Cancel,
                            AbortAnswer, EndFeed, ProbeUpstream, ConnectPeer, DropPeer, SendPeer,
                            SendPeers, ReadTable, ReadHosts, ReadDirectory, StopReadingDirectory,
                            ConnectSeed, Listen, Unlisten, Log, StopReady>;

} // namespace flamingograde
