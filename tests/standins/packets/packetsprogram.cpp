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

constexpr std::chrono::milliseconds turnTime { 2 };
constexpr std::uint32_t callersNet = 0x7f640001; ///< 127.100.0.1 and on.

auto udpEndpoint(const std::string &text) -> asio::ip::udp::endpoint
{
    const auto read = parseEndpoint(text);
    return { read.address(), read.port() };
}

auto addressOf(const std::string &text) -> Address
{
    const auto read = parseEndpoint(text);
    return { static_cast<std::uint32_t>(read.address().to_v4().to_uint()), read.port() };
}

auto hexBytes(const std::string &text) -> std::vector<std::uint8_t>
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        bytes.push_back(static_cast<std::uint8_t>(std::stoul(text.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

auto kindOf(const Json &command) -> std::unique_ptr<LoadKind>
{
    auto kind = std::make_unique<LoadKind>();
    kind->name = command.at("name").get<std::string>();
    kind->address = addressOf(command.at("address").get<std::string>());
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

PacketsProgram::PacketsProgram(asio::io_context &owner, Control &control, const Json &options)
    : loop(owner), timer(owner), clockBegan(this->clock.now()),
      callers(this->clock, callersNet, options.value("seed", std::uint64_t(1)),
              { [this](std::size_t caller, const FlowPacket &packet) {
                   this->toFabric(caller, packet);
               },
                [this](std::size_t caller, const RequestResult &result) {
                    this->judge.take(this->callers.zoneOf(caller), result);
                },
                [this](std::size_t caller, std::uint32_t ip) { this->addCaller(caller, ip); } }),
      fabricSocket(owner, Udp::endpoint(asio::ip::address_v4(callersNet - 1), 0))
{
    this->callerPort = this->fabricSocket.local_endpoint().port();
    this->setHandlers(control);
    this->turn();
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
    control.on("load", [this](const Json &command) { return this->beginLoad(command); });
    control.on("stop_load", [this](const Json & /*command*/) -> Json {
        this->callers.stop();
        return Json::object();
    });
    control.on("raw", [this](const Json &command) { return this->sendRaw(command); });
    control.on("report", [this](const Json & /*command*/) { return this->report(); });
}

auto PacketsProgram::turn() -> void
{
    const auto real = std::chrono::duration_cast<Duration>(Clock::now() - this->began);
    const Duration passed = this->clock.now() - this->clockBegan;
    if (real > passed) {
        this->clock.run(real - passed);
    }
    this->timer.expires_after(turnTime);
    this->timer.async_wait([this](ErrorCode error) {
        if (!error) {
            this->turn();
        }
    });
}

auto PacketsProgram::addHost(const Json &command) -> Json
{
    auto &host = this->hosts[command.at("name").get<std::string>()];
    host.zone = command.at("zone").get<std::string>();
    host.packets = udpEndpoint(command.at("packets").get<std::string>());
    host.check = std::make_unique<HostCheck>(this->loop,
                                             parseEndpoint(command.at("ready").get<std::string>()),
                                             command.value("path", "/-/readiness"));
    return Json::object();
}

auto PacketsProgram::addUpstream(const Json &command) -> Json
{
    const auto name = command.at("name").get<std::string>();
    auto &added = this->upstreams[name];
    added.port = std::make_unique<Port>(this->loop);
    added.service = command.at("service").get<std::string>();
    const auto listen = udpEndpoint(command.at("listen").get<std::string>());
    added.port->socket.open(listen.protocol());
    added.port->socket.bind(listen);
    flamingograde::Upstream described;
    described.instance = flamingograde::InstanceId(++this->lastInstance);
    described.slots = command.value("slots", 2U);
    described.name = name;
    UpstreamSurroundings around;
    around.toCaller = [this, name](const FlowPacket &packet) {
        const auto bytes = upstreamBytes(packet);
        const Udp::endpoint to(asio::ip::address_v4(packet.head.caller.ip), this->callerPort);
        ErrorCode ignored;
        this->upstreams.at(name).port->socket.send_to(asio::buffer(bytes), to, 0, ignored);
    };
    around.onRun = [this](std::uint64_t request) { this->judge.noteRun(request, false); };
    around.onOpening = [this, name](const FlowPacket &packet) { this->noteOpening(name, packet); };
    added.process = std::make_unique<EmulatedUpstream>(this->clock, described, std::move(around),
                                                       this->lastInstance);
    this->readUpstream(name);
    const auto bound = added.port->socket.local_endpoint();
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
    drained.leaving = true;
    drained.leftAt = Clock::now();
    return Json::object();
}

auto PacketsProgram::beginLoad(const Json &command) -> Json
{
    std::vector<const LoadKind *> mix;
    for (const auto &described : command.at("kinds")) {
        this->kinds.push_back(kindOf(described));
        this->kinds.back()->share = described.value("share", 1.0);
        mix.push_back(this->kinds.back().get());
        this->serviceOf[described.at("address").get<std::string>()] =
                described.at("service").get<std::string>();
    }
    this->judge.begin(this->clock.now());
    for (const auto &[zone, rate] : command.at("zones").items()) {
        this->callers.begin(zone, rate.get<double>(), mix);
    }
    return Json::object();
}

auto PacketsProgram::sendRaw(const Json &command) -> Json
{
    const auto bytes = hexBytes(command.at("hex").get<std::string>());
    for (const auto &[name, host] : this->hosts) {
        this->fabricSocket.send_to(asio::buffer(bytes), host.packets);
    }
    return Json::object();
}

auto PacketsProgram::addCaller(std::size_t caller, std::uint32_t ip) -> void
{
    auto &port = this->callerPorts[caller];
    port = std::make_unique<Port>(this->loop);
    port->socket.open(Udp::v4());
    port->socket.bind({ asio::ip::address_v4(ip), this->callerPort });
    this->readCaller(caller);
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

auto PacketsProgram::toFabric(std::size_t caller, const FlowPacket &packet) -> void
{
    const auto *host = this->chooseHost(this->callers.zoneOf(caller), packet);
    if (host == nullptr) {
        return;
    }
    const auto bytes = callerBytes(packet);
    ErrorCode ignored;
    this->callerPorts.at(caller)->socket.send_to(asio::buffer(bytes), host->packets, 0, ignored);
}

auto PacketsProgram::readCaller(std::size_t caller) -> void
{
    auto &port = *this->callerPorts.at(caller);
    port.socket.async_receive_from(asio::buffer(port.buffer), port.sender,
                                   [this, caller](ErrorCode error, std::size_t size) {
                                       if (error == asio::error::operation_aborted) {
                                           return;
                                       }
                                       if (!error) {
                                           this->takeAtCaller(caller, size);
                                       }
                                       this->readCaller(caller);
                                   });
}

auto PacketsProgram::takeAtCaller(std::size_t caller, std::size_t size) -> void
{
    const auto &buffer = this->callerPorts.at(caller)->buffer;
    const auto read = readReturned({ buffer.begin(), buffer.begin() + size });
    if (!read || !read->intact) {
        ++this->notIntact;
        return;
    }
    auto *process = this->callers.find(read->packet.head.caller.ip);
    const auto held = this->isHeld(read->packet);
    if (process != nullptr && process->take(read->packet, read->fromHost) && held) {
        ++this->judge.day.brokenFlows;
    }
}

auto PacketsProgram::readUpstream(const std::string &name) -> void
{
    auto &port = *this->upstreams.at(name).port;
    port.socket.async_receive_from(asio::buffer(port.buffer), port.sender,
                                   [this, name](ErrorCode error, std::size_t size) {
                                       if (error == asio::error::operation_aborted) {
                                           return;
                                       }
                                       if (!error) {
                                           this->takeAtUpstream(name, size);
                                       }
                                       this->readUpstream(name);
                                   });
}

auto PacketsProgram::takeAtUpstream(const std::string &name, std::size_t size) -> void
{
    auto &upstream = this->upstreams.at(name);
    const auto &buffer = upstream.port->buffer;
    const auto read = readIntended({ buffer.begin(), buffer.begin() + size });
    if (!read || !read->intact) {
        ++this->notIntact;
        return;
    }
    const auto &head = read->packet.head;
    const auto elsewhere = !head.flags.opens && this->isHeld(read->packet)
                           && !upstream.process->holds(head.caller, head.service);
    this->strays += elsewhere ? 1 : 0;
    upstream.process->take(read->instance, read->packet);
}

auto PacketsProgram::isHeld(const FlowPacket &packet) const -> bool
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &entry) {
        return entry.second.process->holds(packet.head.caller, packet.head.service);
    });
}

auto PacketsProgram::noteOpening(const std::string &name, const FlowPacket &packet) -> void
{
    const auto &upstream = this->upstreams.at(name);
    const auto row = this->serviceOf.find(packet.head.service.toString());
    const auto isAllowed = row != this->serviceOf.end() && row->second == upstream.service;
    this->judge.day.wrongService += isAllowed ? 0 : 1;
    if (upstream.leaving) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now()
                                                                                - upstream.leftAt);
        this->latestOpening = std::max(this->latestOpening, late);
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
             { "strays", this->strays },
             { "not_intact", this->notIntact },
             { "latest_opening_ms", this->latestOpening.count() },
             { "runs", runs } };
}

} // namespace standins
