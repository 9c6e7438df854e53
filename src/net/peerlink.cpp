/// One connection to another host, from dialling or accepting it until it ends.
#include "net/peerlink.h"

#include "net/loop.h"
#include "net/peerhub.h"
#include "wire/messagecodec.h"

#include <flamingograde/config.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr Duration watchPeriod = std::chrono::milliseconds(500);
constexpr Duration helloTimeout = std::chrono::milliseconds(1000);
/// Time without received bytes after which a ping is sent.
constexpr Duration pingSilence = std::chrono::milliseconds(600);
/// Unsent bytes above which the peer is treated as silent, since it does not read.
constexpr std::size_t backlogMax = 4 * config::peerMessageMax;

auto lossOf(int error) -> PeerLoss
{
    return error == ECONNREFUSED || error == ECONNRESET ? PeerLoss::Refused : PeerLoss::Silent;
}

} // namespace

PeerLink::~PeerLink() = default;

auto PeerLink::dial(HostId host, Address address) -> void
{
    this->expected = host;
    this->connector = std::make_unique<Connector>(this->hub.loop, this->hub.source, address,
                                                  config::connectTimeout,
                                                  [this](st_h2o_socket_t *connection, int error) {
                                                      if (connection == nullptr) {
                                                          this->finish(lossOf(error));
                                                          return;
                                                      }
                                                      this->begin(connection, PeerRole::Dialled);
                                                  });
}

auto PeerLink::dialSeed(HostId placeholder, Address address) -> void
{
    this->acceptsAnyHost = true;
    this->dial(placeholder, address);
}

auto PeerLink::accept(st_h2o_socket_t *connection) -> void
{
    this->begin(connection, PeerRole::Accepted);
}

auto PeerLink::begin(st_h2o_socket_t *connection, PeerRole role) -> void
{
    PeerSocket::Callbacks callbacks;
    callbacks.onOpen = [this] { this->opened(); };
    callbacks.onBytes = [this] { this->lastByte = Loop::now().mono; };
    callbacks.onMessage = [this](std::string_view bytes) { this->received(bytes); };
    callbacks.onEnd = [this](PeerEnd end, const std::string &why) { this->ended(end, why); };
    this->lastByte = Loop::now().mono;
    this->socket = std::make_unique<PeerSocket>(connection, role, *this->hub.endpoints,
                                                this->hub.counters, std::move(callbacks));
    this->timer = this->hub.loop.after(watchPeriod, [this] { this->watch(); });
    this->socket->start();
}

auto PeerLink::opened() -> void
{
    this->send(Hello { this->hub.self, {} });
}

auto PeerLink::send(const Message &message) -> void
{
    this->send(encode(message));
}

auto PeerLink::send(const std::vector<std::uint8_t> &encoded) -> void
{
    if (this->socket == nullptr || this->finished) {
        return;
    }
    if (this->socket->backlog() > backlogMax) {
        this->finish(PeerLoss::Silent);
        return;
    }
    this->socket->send(encoded);
}

auto PeerLink::received(std::string_view bytes) -> void
{
    if (this->finished) {
        return;
    }
    auto message = decode(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
    if (!message) {
        this->ended(PeerEnd::Malformed, message.error());
        return;
    }
    ++this->hub.counters.messagesReceived;
    if (!this->member) {
        this->receiveHello(*message);
        return;
    }
    this->hub.post(PeerMessage { this->member->id, std::move(*message) });
}

auto PeerLink::receiveHello(const Message &message) -> void
{
    const auto *hello = std::get_if<Hello>(&message);
    if (hello == nullptr) {
        this->ended(PeerEnd::Malformed, "the first message is not Hello");
        return;
    }
    const auto isOther = this->expected.isValid() && hello->self.id != this->expected;
    if (isOther && !this->acceptsAnyHost) {
        this->finish(PeerLoss::Refused); // Another host now uses the address.
        return;
    }
    this->member = hello->self;
    this->hub.helloReceived(*this);
}

auto PeerLink::ended(PeerEnd end, const std::string &why) -> void
{
    if (end == PeerEnd::Malformed) {
        this->hub.log(LogEvent::PeerMessageBad,
                      "peer=" + (this->member ? this->member->name : "unknown") + " why=\"" + why
                              + "\"");
    }
    const auto beforeHello = !this->member && end == PeerEnd::Reset;
    this->finish(beforeHello ? PeerLoss::Refused : PeerLoss::Closed);
}

auto PeerLink::finish(PeerLoss loss) -> void
{
    if (std::exchange(this->finished, true)) {
        return;
    }
    this->timer.cancel();
    this->hub.ended(*this, loss);
}

auto PeerLink::abandon() -> void
{
    this->finished = true;
    this->timer.cancel();
}

auto PeerLink::watch() -> void
{
    const auto quiet = this->silentFor();
    if (quiet >= (this->member ? Duration(config::silenceTimeout) : helloTimeout)) {
        this->finish(PeerLoss::Silent);
        return;
    }
    if (this->isSuspectedSilent()) {
        this->hub.dialReplacement(*this);
    } else if (quiet >= pingSilence) {
        this->socket->ping();
    }
    this->timer = this->hub.loop.after(watchPeriod, [this] { this->watch(); });
}

auto PeerLink::isSuspectedSilent() const -> bool
{
    return this->member && this->silentFor() >= config::silenceTimeout / 2;
}

auto PeerLink::dialler() const -> HostId
{
    return this->expected.isValid() ? this->hub.self.id : this->member->id;
}

auto PeerLink::silentFor() const -> Duration
{
    return Loop::now().mono - this->lastByte;
}

} // namespace flamingograde::net
