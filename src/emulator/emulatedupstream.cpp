/// An upstream that takes flows as packets.
#include "emulator/emulatedupstream.h"

#include "emulator/virtualclock.h"

#include <algorithm>
#include <utility>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

constexpr Duration handshakeTime = 300us;
constexpr Duration resendMin = 200ms;
constexpr Duration resendMax = 1600ms;
constexpr std::uint32_t resendsMax = 8;
constexpr std::uint32_t shedBytes = 150;
constexpr std::uint32_t ackedTogether = 2; ///< Every second packet is acknowledged.

} // namespace

EmulatedUpstream::EmulatedUpstream(VirtualClock &owner, Upstream described,
                                   UpstreamSurroundings around, std::uint64_t seed)
    : clock(owner), self(std::move(described)), surroundings(std::move(around)), random(seed)
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
    ++this->starts;
}

auto EmulatedUpstream::take(InstanceId intended, const FlowPacket &packet) -> void
{
    if (this->state == UpstreamLife::Dark) {
        return;
    }
    if (this->state == UpstreamLife::Crashed) {
        this->reset(packet);
        return;
    }
    if (intended.isValid() && intended != this->self.instance) {
        return;
    }
    const Key key { packet.head.caller, packet.head.service };
    if (packet.head.flags.opens) {
        this->takeOpening(key, packet);
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
    this->takeData(key, found->second, packet);
}

auto EmulatedUpstream::takeOpening(const Key &key, const FlowPacket &packet) -> void
{
    this->surroundings.onOpening(packet);
    if (this->flows.size() >= this->self.connections) {
        return;
    }
    auto [found, added] = this->flows.try_emplace(key);
    auto &flow = found->second;
    if (added || flow.finished) {
        flow = Flow();
        flow.life = ++this->lastLife;
        flow.out.begin(static_cast<std::uint32_t>(this->random()));
        flow.expected = packet.head.sequence + 1;
        flow.began = flow.expected;
    }
    flow.cookie = packet.head.cookie;
    auto answer = this->reply(key, flow, {});
    answer.head.flags.opens = true;
    answer.head.sequence = flow.out.nextSequence();
    this->clock.later(handshakeTime, [this, answer] {
        if (this->state == UpstreamLife::Running) {
            this->surroundings.toCaller(answer);
        }
    });
}

auto EmulatedUpstream::takeData(const Key &key, Flow &flow, const FlowPacket &packet) -> void
{
    if (!flow.open) {
        if (packet.head.acknowledged != flow.out.nextSequence() + 1) {
            return; // The flow opened at another upstream.
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
        this->pump(key, flow);
    }
    if (packet.head.flags.finishes) {
        flow.finished = true;
        this->surroundings.toCaller(this->reply(key, flow, {}));
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
        this->admit({ key, flow.life, packet.request, packet.work, packet.answerBytes });
    }
    if (!isNext || flow.unacked >= ackedTogether) {
        flow.unacked = 0;
        this->surroundings.toCaller(this->reply(key, flow, {}));
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
        this->answer(job, true, shedBytes);
    }
}

auto EmulatedUpstream::start(const Job &job) -> void
{
    ++this->running;
    ++this->runCount;
    this->surroundings.onRun(job.request);
    const auto cold = this->clock.now() < this->coldUntil ? this->coldFactor : 1.0;
    const auto time = static_cast<double>(job.work) * cold * this->slowness;
    this->busyUs += static_cast<std::uint64_t>(time);
    this->clock.later(Duration(static_cast<Duration::rep>(time)), [this, job, ran = this->starts] {
        if (this->state == UpstreamLife::Running && this->starts == ran) {
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
    if (found == this->flows.end() || found->second.life != job.life) {
        return;
    }
    auto &flow = found->second;
    flow.answer = job.request;
    flow.shed = shed;
    flow.answerBytes = bytes;
    flow.out.add(bytes);
    this->pump(job.key, flow);
}

auto EmulatedUpstream::pump(const Key &key, Flow &flow) -> void
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
        this->surroundings.toCaller(packet);
    }
    if (!flow.out.isDone() && !std::exchange(flow.timing, true)) {
        this->watch(key, flow, resendMin);
    }
}

auto EmulatedUpstream::watch(const Key &key, Flow &flow, Duration pause) -> void
{
    this->clock.later(pause, [this, key, life = flow.life, pause] {
        const auto found = this->flows.find(key);
        if (found == this->flows.end() || found->second.life != life) {
            return;
        }
        auto &waiting = found->second;
        if (waiting.out.isDone() || waiting.retries >= resendsMax) {
            waiting.timing = false;
            return;
        }
        ++waiting.retries;
        waiting.out.rewind();
        this->pump(key, waiting);
        this->watch(key, waiting, std::min(pause * 2, resendMax));
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
    this->surroundings.toCaller(answer);
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
