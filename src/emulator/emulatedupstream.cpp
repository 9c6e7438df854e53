/// Emulated upstream that serves flows at packet level.
#include "emulator/emulatedupstream.h"

#include "emulator/virtualclock.h"

#include <algorithm>
#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr Duration handshakeDelay = 300us;
constexpr Duration resendDelayMin = 200ms;
constexpr Duration resendDelayMax = 1600ms;
constexpr std::uint32_t resendsMax = 8;
constexpr std::uint32_t shedAnswerBytes = 150;
constexpr std::uint32_t packetsPerAck = 2; ///< Every second packet is acknowledged.

} // namespace

EmulatedUpstream::EmulatedUpstream(VirtualClock &virtualClock, Upstream registration,
                                   UpstreamCallbacks handlers, std::uint64_t seed)
    : clock(virtualClock), self(std::move(registration)), callbacks(std::move(handlers)),
      random(seed)
{}

auto EmulatedUpstream::holds(Address caller, Address service) const -> bool
{
    const auto found = this->flows.find({ caller, service });
    return found != this->flows.end() && found->second.open && !found->second.finished;
}

auto EmulatedUpstream::fail(UpstreamLife kind) -> void
{
    this->state = kind;
    this->flows.clear();
    this->waiting.clear();
    this->running = 0;
}

auto EmulatedUpstream::restart(MonoTime cold) -> void
{
    this->state = UpstreamLife::Running;
    this->coldUntil = cold;
    ++this->processStarts;
}

auto EmulatedUpstream::take(InstanceId targetInstance, const FlowPacket &packet) -> void
{
    if (this->state == UpstreamLife::Dark) {
        return;
    }
    if (this->state == UpstreamLife::Crashed) {
        this->reset(packet);
        return;
    }
    if (targetInstance.isValid() && targetInstance != this->self.instance) {
        return;
    }
    const Key key { packet.head.caller, packet.head.service };
    if (packet.head.flags.opens) {
        this->handleOpening(key, packet);
        return;
    }
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
        this->reset(packet);
        return;
    }
    if (packet.head.flags.resets) {
        this->flows.erase(found);
        return;
    }
    this->handleData(key, found->second, packet);
}

auto EmulatedUpstream::handleOpening(const Key &key, const FlowPacket &packet) -> void
{
    this->callbacks.onOpening(packet);
    if (this->flows.size() >= this->self.connections) {
        return;
    }
    auto [found, added] = this->flows.try_emplace(key);
    auto &flow = found->second;
    if (added || flow.finished) {
        flow = Flow();
        flow.generation = ++this->lastGeneration;
        flow.out.begin(static_cast<std::uint32_t>(this->random()));
        flow.expected = packet.head.sequence + 1;
        flow.began = flow.expected;
    }
    flow.cookie = packet.head.cookie;
    auto answer = this->reply(key, flow, {});
    answer.head.flags.opens = true;
    answer.head.sequence = flow.out.nextSequence();
    this->clock.later(handshakeDelay, [this, answer] {
        if (this->state == UpstreamLife::Running) {
            this->callbacks.toCaller(answer);
        }
    });
}

auto EmulatedUpstream::handleData(const Key &key, Flow &flow, const FlowPacket &packet) -> void
{
    if (!flow.open) {
        if (packet.head.acknowledged != flow.out.nextSequence() + 1) {
            return; // The flow was opened at another upstream.
        }
        flow.open = true;
        flow.out.begin(packet.head.acknowledged);
    }
    flow.cookie = packet.head.cookie;
    if (flow.finished) {
        return;
    }
    if (flow.out.acknowledge(packet.head.acknowledged)) {
        flow.retries = 0;
        this->sendPending(key, flow);
    }
    if (packet.head.flags.finishes) {
        flow.finished = true;
        this->callbacks.toCaller(this->reply(key, flow, {}));
        return;
    }
    if (packet.head.dataBytes == 0) {
        return;
    }
    const auto isNext = packet.head.sequence == flow.expected;
    if (isNext) {
        flow.expected += packet.head.dataBytes;
        ++flow.unacked;
    }
    const auto isWhole = flow.expected - flow.began >= packet.bytesTotal;
    if (isNext && isWhole) {
        flow.began = flow.expected;
        flow.request = packet.request;
        this->admit({ key, flow.generation, packet.request, packet.work, packet.answerBytes });
    }
    if (!isNext || flow.unacked >= packetsPerAck) {
        flow.unacked = 0;
        this->callbacks.toCaller(this->reply(key, flow, {}));
    }
}

auto EmulatedUpstream::admit(const Job &job) -> void
{
    if (this->running < this->self.slots) {
        this->start(job);
    } else if (this->waiting.size() < this->queueMax) {
        this->waiting.push_back(job);
    } else {
        ++this->shedCount;
        this->answer(job, true, shedAnswerBytes);
    }
}

auto EmulatedUpstream::start(const Job &job) -> void
{
    ++this->running;
    ++this->runCount;
    this->callbacks.onRun(job.request);
    const auto cold = this->clock.now() < this->coldUntil ? this->coldFactor : 1.0;
    const auto time = static_cast<double>(job.work) * cold * this->serviceTimeFactor;
    this->busyUs += static_cast<std::uint64_t>(time);
    this->clock.later(Duration(static_cast<Duration::rep>(time)),
                      [this, job, startedBy = this->processStarts] {
                          if (this->state == UpstreamLife::Running
                              && this->processStarts == startedBy) {
                              this->finish(job);
                          }
                      });
}

auto EmulatedUpstream::finish(const Job &job) -> void
{
    --this->running;
    this->answer(job, false, job.answerBytes);
    if (!this->waiting.empty()) {
        const auto next = this->waiting.front();
        this->waiting.pop_front();
        this->start(next);
    }
}

auto EmulatedUpstream::answer(const Job &job, bool shed, std::uint32_t bytes) -> void
{
    const auto found = this->flows.find(job.key);
    if (found == this->flows.end() || found->second.generation != job.generation) {
        return;
    }
    auto &flow = found->second;
    flow.answer = job.request;
    flow.shed = shed;
    flow.answerBytes = bytes;
    flow.out.add(bytes);
    this->sendPending(job.key, flow);
}

auto EmulatedUpstream::sendPending(const Key &key, Flow &flow) -> void
{
    for (;;) {
        const auto sequence = flow.out.nextSequence();
        const auto bytes = flow.out.take();
        if (bytes == 0) {
            break;
        }
        auto packet = this->reply(key, flow, {});
        packet.head.sequence = sequence;
        packet.head.dataBytes = static_cast<std::uint16_t>(bytes);
        packet.request = flow.answer;
        packet.bytesTotal = flow.answerBytes;
        packet.shed = flow.shed;
        packet.head.flags.finishes = this->draining;
        flow.unacked = 0;
        this->callbacks.toCaller(packet);
    }
    if (!flow.out.isDone() && !std::exchange(flow.isResendScheduled, true)) {
        this->scheduleResend(key, flow, resendDelayMin);
    }
}

auto EmulatedUpstream::scheduleResend(const Key &key, Flow &flow, Duration pause) -> void
{
    this->clock.later(pause, [this, key, generation = flow.generation, pause] {
        const auto found = this->flows.find(key);
        if (found == this->flows.end() || found->second.generation != generation) {
            return;
        }
        auto &waiting = found->second;
        if (waiting.out.isDone() || waiting.retries >= resendsMax) {
            waiting.isResendScheduled = false;
            return;
        }
        ++waiting.retries;
        waiting.out.rewind();
        this->sendPending(key, waiting);
        this->scheduleResend(key, waiting, std::min(pause * 2, resendDelayMax));
    });
}

auto EmulatedUpstream::reset(const FlowPacket &packet) -> void
{
    if (packet.head.flags.resets) {
        return;
    }
    FlowPacket answer;
    answer.head.service = packet.head.service;
    answer.head.caller = packet.head.caller;
    answer.head.flags.resets = true;
    this->callbacks.toCaller(answer);
}

auto EmulatedUpstream::reply(const Key &key, const Flow &flow, PacketFlags flags) -> FlowPacket
{
    FlowPacket packet;
    packet.head.caller = key.first;
    packet.head.service = key.second;
    packet.head.cookie = flow.cookie;
    packet.head.sequence = flow.out.nextSequence();
    packet.head.acknowledged = flow.expected;
    packet.head.flags = flags;
    packet.head.flags.acknowledges = true;
    return packet;
}

} // namespace flamingograde::emulator
