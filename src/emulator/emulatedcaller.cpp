/// Emulated caller that keeps at most one flow open.
#include "emulator/emulatedcaller.h"

#include "emulator/virtualclock.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

/// Delays after which an unanswered opening packet is repeated.
constexpr std::array<Duration, 2> openingResendDelays { 200ms, 600ms };
constexpr Duration openingTimeout = 1400ms;
constexpr Duration resendDelayMin = 200ms;
constexpr Duration resendDelayMax = 1600ms;
constexpr std::uint32_t packetsPerAck = 2;
constexpr std::uint32_t requestsPerFlow = 12; ///< Long flows are closed after this many.

} // namespace

EmulatedCaller::EmulatedCaller(VirtualClock &virtualClock, std::uint32_t ownIp,
                               CallerCallbacks handlers, std::uint64_t seed)
    : clock(virtualClock), address(ownIp), callbacks(std::move(handlers)), random(seed)
{}

auto EmulatedCaller::isOpenTo(Address service) const -> bool
{
    return this->flow.stage == Stage::Open && this->flow.service == service;
}

auto EmulatedCaller::begin(const LoadKind &kind) -> void
{
    this->active = true;
    this->result = { &kind, RequestEnd::Failed, this->clock.now(), Duration(0), 0 };
    std::lognormal_distribution<double> spread(-kind.workSpread * kind.workSpread / 2,
                                               kind.workSpread);
    this->work = static_cast<std::uint64_t>(static_cast<double>(kind.work.count())
                                            * spread(this->random));
    this->clock.later(kind.deadline, [this, current = ++this->requestNumber] {
        if (this->active && this->requestNumber == current) {
            this->close();
            this->finish(RequestEnd::Failed);
        }
    });
    this->startAttempt();
}

auto EmulatedCaller::startAttempt() -> void
{
    ++this->result.attempts;
    this->request = this->callbacks.nextRequest();
    if (this->isOpenTo(this->result.kind->address) && !this->flow.closesAfterAnswer) {
        this->sendRequest();
        return;
    }
    this->open();
}

auto EmulatedCaller::open() -> void
{
    this->flow = Flow();
    this->flow.stage = Stage::Opening;
    this->flow.number = ++this->flows;
    this->flow.port = this->callbacks.nextPort();
    this->flow.service = this->result.kind->address;
    this->flow.first = static_cast<std::uint32_t>(this->random());
    this->sendOpening(0);
    for (std::uint32_t copy = 0; copy < openingResendDelays.size(); ++copy) {
        this->clock.later(openingResendDelays[copy], [this, copy, number = this->flow.number] {
            if (this->flow.number == number && this->flow.stage == Stage::Opening) {
                this->sendOpening(copy + 1);
            }
        });
    }
    this->clock.later(openingTimeout, [this, number = this->flow.number] {
        if (this->flow.number == number && this->flow.stage == Stage::Opening) {
            this->failAttempt(true, RequestEnd::Failed);
        }
    });
}

auto EmulatedCaller::packet() const -> FlowPacket
{
    FlowPacket sent;
    sent.head.service = this->flow.service;
    sent.head.caller = { this->address, this->flow.port };
    sent.head.cookie = this->flow.cookie;
    sent.head.sequence = this->flow.out.nextSequence();
    sent.head.acknowledged = this->flow.expected;
    sent.head.flags.acknowledges = true;
    return sent;
}

auto EmulatedCaller::sendOpening(std::uint32_t copy) -> void
{
    auto sent = this->packet();
    sent.head.cookie = Cookie();
    sent.head.sequence = this->flow.first;
    sent.head.acknowledged = 0;
    sent.head.retransmissions = copy;
    sent.head.flags = PacketFlags();
    sent.head.flags.opens = true;
    this->callbacks.toFabric(sent);
}

auto EmulatedCaller::sendRequest() -> void
{
    ++this->flow.requests;
    this->flow.out.add(this->result.kind->requestBytes);
    this->sendPending();
}

auto EmulatedCaller::sendPending() -> void
{
    for (;;) {
        auto sent = this->packet();
        const auto bytes = this->flow.out.take();
        if (bytes == 0) {
            break;
        }
        sent.head.dataBytes = static_cast<std::uint16_t>(bytes);
        sent.request = this->request;
        sent.bytesTotal = this->result.kind->requestBytes;
        sent.work = this->work;
        sent.answerBytes = this->result.kind->answerBytes;
        this->flow.unacked = 0;
        this->callbacks.toFabric(sent);
    }
    if (!this->flow.out.isDone() && !std::exchange(this->flow.isResendScheduled, true)) {
        this->scheduleResend(resendDelayMin);
    }
}

auto EmulatedCaller::scheduleResend(Duration pause) -> void
{
    this->clock.later(pause, [this, pause, number = this->flow.number] {
        if (this->flow.number != number || this->flow.stage != Stage::Open) {
            return;
        }
        if (this->flow.out.isDone()) {
            this->flow.isResendScheduled = false;
            return;
        }
        this->flow.out.rewind();
        this->sendPending();
        this->scheduleResend(std::min(pause * 2, resendDelayMax));
    });
}

auto EmulatedCaller::take(const FlowPacket &packet, bool fromHost) -> bool
{
    const auto belongsToFlow = this->flow.stage != Stage::Closed
                               && packet.head.caller.port == this->flow.port
                               && packet.head.service == this->flow.service;
    if (!belongsToFlow) {
        return false;
    }
    const auto wasOpen = this->flow.stage == Stage::Open;
    if (packet.head.flags.resets) {
        const auto isIdempotent = this->active && this->result.kind->idempotent;
        this->flow.stage = Stage::Closed;
        this->failAttempt(!wasOpen || isIdempotent,
                          wasOpen ? RequestEnd::Failed : RequestEnd::Refused);
        return wasOpen && fromHost;
    }
    if (packet.head.flags.opens) {
        this->handleOpened(packet);
    } else if (wasOpen) {
        this->handleAnswer(packet);
    }
    return false;
}

auto EmulatedCaller::handleOpened(const FlowPacket &packet) -> void
{
    if (this->flow.stage != Stage::Opening) {
        return;
    }
    this->flow.stage = Stage::Open;
    this->flow.cookie = packet.head.cookie;
    this->flow.expected = packet.head.sequence + 1;
    this->flow.began = this->flow.expected;
    this->flow.out.begin(this->flow.first + 1);
    this->sendRequest();
}

auto EmulatedCaller::handleAnswer(const FlowPacket &packet) -> void
{
    this->flow.cookie = packet.head.cookie;
    if (this->flow.out.acknowledge(packet.head.acknowledged)) {
        this->sendPending();
    }
    if (packet.head.dataBytes == 0) {
        return;
    }
    const auto isNext = packet.head.sequence == this->flow.expected;
    if (isNext) {
        this->flow.expected += packet.head.dataBytes;
        ++this->flow.unacked;
    }
    const auto isWhole = this->flow.expected - this->flow.began >= packet.bytesTotal;
    if (!isNext || isWhole || this->flow.unacked >= packetsPerAck) {
        this->flow.unacked = 0;
        this->callbacks.toFabric(this->packet());
    }
    if (isNext && isWhole) {
        this->flow.began = this->flow.expected;
        this->flow.closesAfterAnswer = packet.head.flags.finishes;
        this->finishAttempt(packet);
    }
}

auto EmulatedCaller::finishAttempt(const FlowPacket &packet) -> void
{
    if (!this->active || packet.request != this->request) {
        return;
    }
    const auto isLast = !this->result.kind->longFlows || this->flow.closesAfterAnswer
                        || this->flow.requests >= requestsPerFlow;
    if (isLast) {
        this->close();
    }
    if (packet.shed) {
        this->failAttempt(true, RequestEnd::Refused);
    } else {
        this->finish(RequestEnd::Answered);
    }
}

auto EmulatedCaller::failAttempt(bool isRetryable, RequestEnd end) -> void
{
    if (!this->active) {
        return;
    }
    if (!isRetryable || this->result.attempts > this->result.kind->retries) {
        this->finish(end);
        return;
    }
    if (this->flow.stage == Stage::Opening) {
        this->flow.stage = Stage::Closed;
    }
    this->startAttempt();
}

auto EmulatedCaller::finish(RequestEnd end) -> void
{
    this->active = false;
    this->result.end = end;
    this->result.took = this->clock.now() - this->result.began;
    this->callbacks.onEnd(this->result);
}

auto EmulatedCaller::close() -> void
{
    if (this->flow.stage == Stage::Open) {
        auto sent = this->packet();
        sent.head.flags.finishes = true;
        this->callbacks.toFabric(sent);
    }
    this->flow.stage = Stage::Closed;
    this->flow.number = ++this->flows;
}

} // namespace flamingograde::emulator
