/// One connection with another host, from dialling or accepting to its end.
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

/// Exchanges `Hello`s, passes messages on, and ends when nothing comes for too long.
/// @remarks Not thread safe. Not to be destroyed from within its own callbacks.
class PeerLink
{
public:
    PeerLink(PeerHub &owner, std::uint64_t name) : hub(owner), id(name) {}
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /// Dials `host`. Precondition: called once, in place of `accept`.
    auto dial(HostId host, Address address) -> void;
    /// Dials a seed, whose host is not known; `standIn` is its name until then.
    /// Precondition: called once, in place of `dial`.
    auto dialSeed(HostId standIn, Address address) -> void;
    /// Takes a connection that came in. Precondition: called once, in place of `dial`.
    auto accept(st_h2o_socket_t *connection) -> void;
    /// Takes and reports nothing more: it is to be destroyed. Precondition: none.
    auto abandon() -> void;
    /// Sends a message. Precondition: none.
    auto send(const Message &message) -> void;
    /// Sends a message that was encoded. Precondition: as above.
    auto send(const std::vector<std::uint8_t> &encoded) -> void;

    [[nodiscard]] auto linkId() const -> std::uint64_t { return this->id; }
    /// Returns the host that was dialled; invalid where this host was.
    [[nodiscard]] auto dialledHost() const -> HostId { return this->expected; }
    /// Returns whether a seed was dialled, so that `dialledHost` is a stand-in.
    [[nodiscard]] auto isOfSeed() const -> bool { return this->takesAnyHost; }
    /// Returns what the other host said of itself, once it did.
    [[nodiscard]] auto peer() const -> const std::optional<Member> & { return this->member; }
    /// Returns the host that dialled. Precondition: the other's `Hello` came.
    [[nodiscard]] auto dialler() const -> HostId;
    /// Returns whether the connection has probably gone silent, so that a new one takes its place.
    [[nodiscard]] auto isDoubtful() const -> bool;
    /// Returns how long nothing has come.
    [[nodiscard]] auto quietFor() const -> Duration;

private:
    auto begin(st_h2o_socket_t *connection, PeerRole role) -> void;
    auto opened() -> void;
    auto received(std::string_view bytes) -> void;
    auto receivedFirst(const Message &message) -> void;
    auto ended(PeerEnd end, const std::string &why) -> void;
    auto watch() -> void;
    auto lose(PeerLoss loss) -> void;

    PeerHub &hub;
    std::uint64_t id;
    HostId expected;
    std::unique_ptr<Connector> connector;
    std::unique_ptr<PeerSocket> socket;
    std::optional<Member> member;
    MonoTime lastByte;
    Timer timer;
    bool takesAnyHost = false;
    bool lost = false;
};

} // namespace flamingograde::net
