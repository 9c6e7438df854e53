#include "standins/packets/packetsprogram.h"

#include "standins/common/control.h"
#include "standins/common/endpoint.h"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace standins {

using namespace flamingograde::emulator;
using flamingograde::Address;
using flamingograde::Duration;

namespace {

constexpr std::chrono::milliseconds clockInterval { 2 };
constexpr std::uint32_t firstCallerIp = 0x7f640001; ///< 127.100.0.1; others follow upwards.

auto parseUdpEndpoint(const std::string &text) -> asio::ip::udp::endpoint
{
    const auto read = parseEndpoint(text);
    return { read.address(), read.port() };
}

auto parseAddress(const std::string &text) -> Address
{
    const auto read = parseEndpoint(text);
    return { static_cast<std::uint32_t>(read.address().to_v4().to_uint()), read.port() };
}

auto decodeHex(const std::string &text) -> std::vector<std::uint8_t>
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        bytes.push_back(static_cast<std::uint8_t>(std::stoul(text.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

auto parseLoadKind(const Json &command) -> std::unique_ptr<LoadKind>
{
    auto kind = std::make_unique<LoadKind>();
    kind->name = command.at("name").get<std::string>();
    kind->address = parseAddress(command.at("address").get<std::string>());
    kind->idempotent = command.value("idempotent", true);
    kind->longFlows = command.value("long_flows", false);
    kind->requestBytes = command.value("request_bytes", kind->requestBytes);
    kind->answerBytes = command.value("answer_bytes", kind->answerBytes);
    kind->work = std::chrono::milliseconds(command.value("work_ms", 15));
    kind->target = std::chrono::milliseconds(command.value("target_ms", 100));
    kind->deadline = std::chrono::milliseconds(command.value("deadline_ms", 1000));
    return kind;
}

} // namespace

PacketsProgram::PacketsProgram(asio::io_context &ioContext, Control &control, const Json &options)
    : loop(ioContext), timer(ioContext), clockStartedAt(this->clock.now()),
      callers(this->clock, firstCallerIp, options.value("seed", std::uint64_t(1)),
              { [this](std::size_t caller, const FlowPacket &packet) {
                   this->sendToHost(caller, packet);
               },
                [this](std::size_t caller, const RequestResult &result) {
                    this->judge.take(this->callers.zoneOf(caller), result);
                },
                [this](std::size_t caller, std::uint32_t ip) { this->addCaller(caller, ip); } }),
      fabricSocket(ioContext, Udp::endpoint(asio::ip::address_v4(firstCallerIp - 1), 0))
{
    this->callerPort = this->fabricSocket.local_endpoint().port();
    this->setHandlers(control);
    this->advanceClock();
}

auto PacketsProgram::setHandlers(Control &control) -> void
{
    control.on("host", [this](const Json &command) { return this->addHost(command); });
    control.on("forget_host", [this](const Json &command) -> Json {
        this->hosts.erase(command.at("name").get<std::string>());
        return Json::object();
    });
    control.on("in_rotation", [this](const Json & /*command*/) -> Json {
        auto names = Json::array();
        for (const auto &[name, host] : this->hosts) {
            if (host.check->isInRotation()) {
                names.push_back(name);
            }
        }
        return { { "hosts", names } };
    });
    control.on("upstream", [this](const Json &command) { return this->addUpstream(command); });
    control.on("fail", [this](const Json &command) { return this->failUpstream(command); });
    control.on("drain", [this](const Json &command) { return this->drainUpstream(command); });
    control.on("load", [this](const Json &command) { return this->startLoad(command); });
    control.on("stop_load", [this](const Json & /*command*/) -> Json {
        this->callers.stop();
        return Json::object();
    });
    control.on("raw", [this](const Json &command) { return this->sendRaw(command); });
    control.on("report", [this](const Json & /*command*/) { return this->report(); });
}

auto PacketsProgram::advanceClock() -> void
{
    const auto realTime = std::chrono::duration_cast<Duration>(Clock::now() - this->startedAt);
    const Duration virtualTime = this->clock.now() - this->clockStartedAt;
    if (realTime > virtualTime) {
        this->clock.run(realTime - virtualTime);
    }
    this->timer.expires_after(clockInterval);
    this->timer.async_wait([this](ErrorCode error) {
        if (!error) {
            this->advanceClock();
        }
    });
}

auto PacketsProgram::addHost(const Json &command) -> Json
{
    auto &host = this->hosts[command.at("name").get<std::string>()];
    host.zone = command.at("zone").get<std::string>();
    host.packetEndpoint = parseUdpEndpoint(command.at("packets").get<std::string>());
    host.check = std::make_unique<HostCheck>(this->loop,
                                             parseEndpoint(command.at("ready").get<std::string>()),
                                             command.value("path", "/-/readiness"));
    return Json::object();
}

auto PacketsProgram::addUpstream(const Json &command) -> Json
{
    const auto name = command.at("name").get<std::string>();
    auto &added = this->upstreams[name];
    added.receiver = std::make_unique<UdpReceiver>(this->loop);
    added.service = command.at("service").get<std::string>();
    const auto listen = parseUdpEndpoint(command.at("listen").get<std::string>());
    added.receiver->socket.open(listen.protocol());
    added.receiver->socket.bind(listen);
    flamingograde::Upstream description;
    description.instance = flamingograde::InstanceId(++this->lastInstance);
    description.slots = command.value("slots", 2U);
    description.name = name;
    UpstreamCallbacks callbacks;
    callbacks.toCaller = [this, name](const FlowPacket &packet) {
        const auto bytes = serializeFromUpstream(packet);
        const Udp::endpoint to(asio::ip::address_v4(packet.head.caller.ip), this->callerPort);
        ErrorCode ignored;
        this->upstreams.at(name).receiver->socket.send_to(asio::buffer(bytes), to, 0, ignored);
    };
    callbacks.onRun = [this](std::uint64_t request) { this->judge.noteRun(request, false); };
    callbacks.onOpening = [this, name](const FlowPacket &packet) {
        this->recordOpening(name, packet);
    };
    added.process = std::make_unique<EmulatedUpstream>(this->clock, description,
                                                       std::move(callbacks), this->lastInstance);
    this->receiveAtUpstream(name);
    const auto bound = added.receiver->socket.local_endpoint();
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08llx", static_cast<unsigned long long>(this->lastInstance));
    return { { "server", id },
             { "address", toString(Tcp::endpoint(bound.address(), bound.port())) } };
}

auto PacketsProgram::failUpstream(const Json &command) -> Json
{
    const auto dark = command.value("dark", false);
    auto &failed = this->upstreams.at(command.at("name").get<std::string>());
    failed.process->fail(dark ? UpstreamLife::Dark : UpstreamLife::Crashed);
    return Json::object();
}

auto PacketsProgram::drainUpstream(const Json &command) -> Json
{
    auto &drained = this->upstreams.at(command.at("name").get<std::string>());
    drained.process->drain();
    drained.draining = true;
    drained.drainingSince = Clock::now();
    return Json::object();
}

auto PacketsProgram::startLoad(const Json &command) -> Json
{
    std::vector<const LoadKind *> mix;
    for (const auto &description : command.at("kinds")) {
        this->loadKinds.push_back(parseLoadKind(description));
        this->loadKinds.back()->share = description.value("share", 1.0);
        mix.push_back(this->loadKinds.back().get());
        this->serviceByAddress[description.at("address").get<std::string>()] =
                description.at("service").get<std::string>();
    }
    this->judge.begin(this->clock.now());
    for (const auto &[zone, rate] : command.at("zones").items()) {
        this->callers.begin(zone, rate.get<double>(), mix);
    }
    return Json::object();
}

auto PacketsProgram::sendRaw(const Json &command) -> Json
{
    const auto bytes = decodeHex(command.at("hex").get<std::string>());
    for (const auto &[name, host] : this->hosts) {
        this->fabricSocket.send_to(asio::buffer(bytes), host.packetEndpoint);
    }
    return Json::object();
}

auto PacketsProgram::addCaller(std::size_t caller, std::uint32_t ip) -> void
{
    auto &receiver = this->callerReceivers[caller];
    receiver = std::make_unique<UdpReceiver>(this->loop);
    receiver->socket.open(Udp::v4());
    receiver->socket.bind({ asio::ip::address_v4(ip), this->callerPort });
    this->receiveAtCaller(caller);
}

auto PacketsProgram::chooseHost(const std::string &zone, const FlowPacket &packet) const
        -> const Host *
{
    const Host *best = nullptr;
    std::uint64_t bestScore = 0;
    const std::array<std::uint64_t, 2> ends { std::hash<Address>()(packet.head.caller),
                                              std::hash<Address>()(packet.head.service) };
    for (const auto inZone : { true, false }) {
        for (const auto &[name, host] : this->hosts) {
            const auto score =
                    XXH3_64bits_withSeed(ends.data(), sizeof(ends), std::hash<std::string>()(name));
            if (host.check->isInRotation() && (host.zone == zone || !inZone)
                && (best == nullptr || score > bestScore)) {
                best = &host;
                bestScore = score;
            }
        }
        if (best != nullptr) {
            break;
        }
    }
    return best;
}

auto PacketsProgram::sendToHost(std::size_t caller, const FlowPacket &packet) -> void
{
    const auto *host = this->chooseHost(this->callers.zoneOf(caller), packet);
    if (host == nullptr) {
        return;
    }
    const auto bytes = serializeFromCaller(packet);
    ErrorCode ignored;
    this->callerReceivers.at(caller)->socket.send_to(asio::buffer(bytes), host->packetEndpoint, 0,
                                                     ignored);
}

auto PacketsProgram::receiveAtCaller(std::size_t caller) -> void
{
    auto &receiver = *this->callerReceivers.at(caller);
    receiver.socket.async_receive_from(asio::buffer(receiver.buffer), receiver.sender,
                                       [this, caller](ErrorCode error, std::size_t size) {
                                           if (error == asio::error::operation_aborted) {
                                               return;
                                           }
                                           if (!error) {
                                               this->handleCallerPacket(caller, size);
                                           }
                                           this->receiveAtCaller(caller);
                                       });
}

auto PacketsProgram::handleCallerPacket(std::size_t caller, std::size_t size) -> void
{
    const auto &buffer = this->callerReceivers.at(caller)->buffer;
    const auto read = parseCallerPacket({ buffer.begin(), buffer.begin() + size });
    if (!read || !read->intact) {
        ++this->damagedPackets;
        return;
    }
    auto *process = this->callers.find(read->packet.head.caller.ip);
    const auto flowOpen = this->isFlowOpen(read->packet);
    if (process != nullptr && process->take(read->packet, read->fromHost) && flowOpen) {
        ++this->judge.day.brokenFlows;
    }
}

auto PacketsProgram::receiveAtUpstream(const std::string &name) -> void
{
    auto &receiver = *this->upstreams.at(name).receiver;
    receiver.socket.async_receive_from(asio::buffer(receiver.buffer), receiver.sender,
                                       [this, name](ErrorCode error, std::size_t size) {
                                           if (error == asio::error::operation_aborted) {
                                               return;
                                           }
                                           if (!error) {
                                               this->handleUpstreamPacket(name, size);
                                           }
                                           this->receiveAtUpstream(name);
                                       });
}

auto PacketsProgram::handleUpstreamPacket(const std::string &name, std::size_t size) -> void
{
    auto &upstream = this->upstreams.at(name);
    const auto &buffer = upstream.receiver->buffer;
    const auto read = parseUpstreamPacket({ buffer.begin(), buffer.begin() + size });
    if (!read || !read->intact) {
        ++this->damagedPackets;
        return;
    }
    const auto &head = read->packet.head;
    const auto misrouted = !head.flags.opens && this->isFlowOpen(read->packet)
                           && !upstream.process->holds(head.caller, head.service);
    this->misroutedPackets += misrouted ? 1 : 0;
    upstream.process->take(read->instance, read->packet);
}

auto PacketsProgram::isFlowOpen(const FlowPacket &packet) const -> bool
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &entry) {
        return entry.second.process->holds(packet.head.caller, packet.head.service);
    });
}

auto PacketsProgram::recordOpening(const std::string &name, const FlowPacket &packet) -> void
{
    const auto &upstream = this->upstreams.at(name);
    const auto row = this->serviceByAddress.find(packet.head.service.toString());
    const auto isAllowed = row != this->serviceByAddress.end() && row->second == upstream.service;
    this->judge.day.wrongService += isAllowed ? 0 : 1;
    if (upstream.draining) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
                Clock::now() - upstream.drainingSince);
        this->latestOpeningAfterDrain = std::max(this->latestOpeningAfterDrain, late);
    }
}

auto PacketsProgram::report() const -> Json
{
    const auto &day = this->judge.day;
    auto runs = Json::object();
    for (const auto &[name, upstream] : this->upstreams) {
        runs[name] = upstream.process->runCount;
    }
    return { { "asked", day.all.asked },
             { "in_time", day.all.inTime },
             { "late", day.all.late },
             { "refused", day.all.refused },
             { "failed", day.all.failed },
             { "p50_ms", day.percentile(0.5) },
             { "p99_ms", day.percentile(0.99) },
             { "broken_flows", day.brokenFlows },
             { "double_runs", day.doubleRuns },
             { "wrong_service", day.wrongService },
             { "strays", this->misroutedPackets },
             { "not_intact", this->damagedPackets },
             { "latest_opening_ms", this->latestOpeningAfterDrain.count() },
             { "runs", runs } };
}

} // namespace standins
