/// One connection to another host, from dialling or accepting it until it ends.
#pragma once

#include "net/connector.h"
#include "net/peersocket.h"
#include "net/timer.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

struct st_h2o_socket_t;

namespace flamingograde::net {

class PeerHub;

/// Exchanges `Hello`s, passes messages to the hub, and ends when nothing is received for
/// `config::silenceTimeout`, or for `helloTimeout` before the other host's `Hello`.
/// @remarks Not thread safe. Must not be destroyed from within its own callbacks.
class PeerLink
{
public:
    PeerLink(PeerHub &owner, std::uint64_t name) : hub(owner), id(name) {}
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /// Dials `host`. Precondition: called once, in place of `accept`.
    auto dial(HostId host, Address address) -> void;
    /// Dials a seed address, whose host is unknown; `placeholder` identifies the host until its
    /// `Hello`. Precondition: called once, in place of `dial`.
    auto dialSeed(HostId placeholder, Address address) -> void;
    /// Takes over an incoming connection. Precondition: called once, in place of `dial`.
    auto accept(st_h2o_socket_t *connection) -> void;
    /// Ignores further input and reports nothing more, so that the link can be destroyed later.
    /// Precondition: none.
    auto abandon() -> void;
    /// Sends a message. Precondition: none.
    auto send(const Message &message) -> void;
    /// Sends an encoded message. Precondition: none.
    auto send(const std::vector<std::uint8_t> &encoded) -> void;

    [[nodiscard]] auto linkId() const -> std::uint64_t { return this->id; }
    /// Returns the host that was dialled; invalid if the other host dialled.
    [[nodiscard]] auto dialledHost() const -> HostId { return this->expected; }
    /// Returns whether a seed was dialled, in which case `dialledHost` is a placeholder.
    [[nodiscard]] auto isToSeed() const -> bool { return this->acceptsAnyHost; }
    /// Returns the other host's description of itself, once its `Hello` was received.
    [[nodiscard]] auto peer() const -> const std::optional<Member> & { return this->member; }
    /// Returns the host that dialled. Precondition: the other host's `Hello` was received.
    [[nodiscard]] auto dialler() const -> HostId;
    /// Returns whether the connection is probably silent, so that a replacement is to be dialled:
    /// the other host has sent `Hello`, but nothing for at least half of `config::silenceTimeout`.
    [[nodiscard]] auto isSuspectedSilent() const -> bool;
    /// Returns the time since the last byte was received.
    [[nodiscard]] auto silentFor() const -> Duration;

private:
    auto begin(st_h2o_socket_t *connection, PeerRole role) -> void;
    auto opened() -> void;
    auto received(std::string_view bytes) -> void;
    auto receiveHello(const Message &message) -> void;
    auto ended(PeerEnd end, const std::string &why) -> void;
    auto watch() -> void;
    auto finish(PeerLoss loss) -> void;

    PeerHub &hub;
    std::uint64_t id;
    HostId expected;
    std::unique_ptr<Connector> connector;
    std::unique_ptr<PeerSocket> socket;
    std::optional<Member> member;
    MonoTime lastByte;
    Timer timer;
    bool acceptsAnyHost = false;
    bool finished = false;
};

} // namespace flamingograde::net
