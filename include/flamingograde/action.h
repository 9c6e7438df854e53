/// What a host is to do: the outputs of the library.
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
/// @remarks The transport answers each with `ExchangeProgress` of the same attempt.
struct Dispatch
{
    ExchangeId exchange;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    Address address;
    std::string service; ///< Sent as `Host`, so that an upstream of another service refuses it.
    std::string rowName; ///< Sent as `Flamingograde-Row`.
    std::string key;     ///< Sent as `Idempotency-Key`; empty for none.
    bool freshConnection =
            false; ///< No pooled connection: a stale one would leave it unknown whether it ran.
    bool keepAnswer = false;  ///< Give the whole answer with `Answered` if it is small enough.
    Duration remaining { 0 }; ///< Time left; sent to the upstream, and the transport's timeout.
    WallTime expires;         ///< Not to be sent after this.
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

/// Open a feed at an upstream, or open it again there after `lastEventId` known to the transport.
struct OpenFeed
{
    ExchangeId exchange;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    Address address;
    std::string service;
    std::string rowName; ///< Sent as `Flamingograde-Row`.
    bool reopen = false; ///< The answer's head was already passed to the caller.
};

/// Pass the answer whose head was just reported on to the caller or relaying host.
struct PassAnswer
{
    ExchangeId exchange;
    std::string setToken; ///< The flow token to set; empty for none.
};

/// Answer with a kept answer.
struct ReplayAnswer
{
    ExchangeId exchange;
    std::shared_ptr<const std::string> whole; ///< As given with `Answered`.
};

/// Answer with a refusal. Final; anything the exchange had sent is dropped.
struct Refuse
{
    ExchangeId exchange;
    Refusal refusal;
};

/// Drop what the exchange had sent (close its connection to the upstream or home).
struct Cancel
{
    ExchangeId exchange;
};

/// The answer broke off after its head was passed: cut the caller's connection, so that a part
/// is not taken for the whole.
struct AbortAnswer
{
    ExchangeId exchange;
};

/// End a feed at an event's boundary; its caller reopens it at another host.
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

/// Have a connection with a host. Without effect where one is up or coming.
struct ConnectPeer
{
    HostId host;
    Address address;
};

/// Close the connection with a host.
struct DropPeer
{
    HostId host;
};

/// Send a message to a host. Dropped where no connection is up.
struct SendPeer
{
    HostId host;
    Message message;
};

/// Send one message to several hosts; it is encoded once. Left out where no connection is up.
struct SendPeers
{
    std::vector<HostId> hosts;
    Message message;
};

/// Read the platform's table.
struct ReadTable
{
    Revision after;      ///< What this host has.
    Duration wait { 0 }; ///< How long the platform may hold the call until there is a newer one.
};

/// Read the platform's host list.
struct ReadHosts
{};

/// Read the directory's changes, or all of it. Answered with `DirectoryRead` or
/// `DirectoryReadFailed`; one read is under way at a time.
struct ReadDirectory
{
    Revision after;         ///< Up to where this host has the changes; invalid: all is read.
    Duration wait { 0 };    ///< How long the platform may hold the call until there is a change.
    bool mayBeLate = false; ///< An answer that is some seconds old will do: it is cheaper.
};

/// Have a connection with whatever host takes connections at a seed's address.
struct ConnectSeed
{
    Address address;
};

/// Take callers' connections for a row's address.
struct Listen
{
    Address address;
};

/// Take no more connections for an address.
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

/// Everything is finished; the process may end.
struct StopReady
{
    std::string left; ///< What was not finished; empty for nothing.
};

using Action = std::variant<Dispatch, Relay, OpenFeed, PassAnswer, ReplayAnswer, Refuse, Cancel,
                            AbortAnswer, EndFeed, ProbeUpstream, ConnectPeer, DropPeer, SendPeer,
                            SendPeers, ReadTable, ReadHosts, ReadDirectory, ConnectSeed, Listen,
                            Unlisten, Log, StopReady>;

} // namespace flamingograde
