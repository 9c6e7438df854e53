/// Receives and forwards callers' packets.
#include "net/packetplane.h"

#include "net/hostlog.h"
#include "net/loop.h"

#include <flamingograde/config.h>

#include <h2o.h>

#include <string_view>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr auto statusOk = 200;
constexpr auto statusNotFound = 404;
constexpr auto statusUnavailable = 503;

auto logEventOf(const PacketDecision &decision) -> LogEvent
{
    if (decision.reason == PacketReason::SteeredOverdue) {
        return LogEvent::FlowOverdue;
    }
    switch (decision.verdict) {
    case PacketVerdict::Forward:
        return LogEvent::FlowPlaced;
    case PacketVerdict::Reset:
        return LogEvent::FlowReset;
    case PacketVerdict::Drop:
        break;
    }
    return LogEvent::PacketDropped;
}

auto answerStatus(h2o_req_t *request, int status) -> void
{
    request->res.status = status;
    request->res.reason = status == statusOk ? "OK" : "Unavailable";
    request->res.content_length = 0;
    h2o_send_inline(request, "", 0);
}

} // namespace

PacketPlane::PacketPlane(Loop &owner, const Settings &chosen, Balancer &decider,
                         std::function<bool()> ready)
    : loop(owner), settings(chosen), balancer(decider), isReady(std::move(ready))
{}

auto PacketPlane::open() -> tl::expected<void, std::string>
{
    auto opened = PacketSocket::open(this->loop, this->settings.packets, this->settings.callerPort,
                                     [this](std::vector<PacketHead> &heads, bool isBatchFull,
                                            std::vector<PacketDecision> &decisions) {
                                         this->steer(heads, isBatchFull, decisions);
                                     });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->socket = std::move(*opened);
    this->openedAt = Loop::now().mono;
    return {};
}

auto PacketPlane::startIfLoaded(MonoTime now) -> void
{
    if (this->started) {
        return;
    }
    // Packets that arrive while the directory is being read wait in the kernel buffer.
    if (this->balancer.hasDirectory() || now - this->openedAt >= config::packetHoldTimeMax) {
        this->started = true;
        this->socket->start();
    }
}

auto PacketPlane::tick(MonoTime now) -> void
{
    this->readDelay.noteTick(now);
    const auto malformed = this->traffic().malformed;
    if (malformed != this->malformedLogged && mayLogPacket(now)) {
        writeLog(LogEvent::PacketMalformed,
                 "datagrams=" + std::to_string(malformed - this->malformedLogged));
        this->malformedLogged = malformed;
    }
}

auto PacketPlane::steer(std::vector<PacketHead> &heads, bool isBatchFull,
                        std::vector<PacketDecision> &decisions) -> void
{
    const auto now = Loop::now();
    const auto waited = this->readDelay.noteBatch(now.mono, isBatchFull);
    for (auto &head : heads) {
        head.waited = waited;
    }
    this->balancer.steer(now, heads, decisions);
    for (std::size_t i = 0; i < heads.size(); ++i) {
        if (decisions[i].reason != PacketReason::Steered && mayLogPacket(now.mono)) {
            this->logPacket(heads[i], decisions[i]);
        }
    }
}

auto PacketPlane::logPacket(const PacketHead &head, const PacketDecision &decision) const -> void
{
    writeLog(logEventOf(decision), "flow=" + head.caller.toString() + ">" + head.service.toString()
                                           + " " + this->balancer.describe(head, decision));
}

auto PacketPlane::answerReadiness(st_h2o_req_t *request) const -> void
{
    const std::string_view path(request->path_normalized.base, request->path_normalized.len);
    if (path != this->settings.readyPath) {
        answerStatus(request, statusNotFound);
        return;
    }
    answerStatus(request, this->isReady() ? statusOk : statusUnavailable);
}

} // namespace flamingograde::net
