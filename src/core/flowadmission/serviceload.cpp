/// Admission of flows by target, urgency and caller.
#include "core/flowadmission/serviceload.h"

#include <algorithm>
#include <bitset>
#include <chrono>

namespace flamingograde {

namespace {

/// Reciprocals of a new sample's weight in the mean times.
constexpr auto handshakeDivisor = 10;
constexpr auto responseDivisor = 50; ///< Covers several upstreams.

auto addToMean(Duration &mean, Duration sample, int divisor) -> void
{
    mean = mean == Duration(0) ? sample : mean + (sample - mean) / divisor;
}

auto countBits(std::uint32_t bits) -> unsigned
{
    return static_cast<unsigned>(std::bitset<32>(bits).count());
}

} // namespace

auto ServiceLoad::times(MonoTime now) const -> QueueTimes
{
    QueueTimes result;
    result.handshake = this->handshake;
    if (const auto upper = this->slotTime.upperEstimate(now)) {
        result.slotTime = this->slotTime.mean();
        result.spread = *upper - this->slotTime.mean();
    }
    return result;
}

auto ServiceLoad::levelOf(const FlowRequest &request) -> std::size_t
{
    return std::min(request.urgency, config::urgencyMax);
}

auto ServiceLoad::isBelowFloor(std::size_t level) const -> bool
{
    return this->given[level].recent() < config::urgencyFloor * this->givenTotal;
}

auto ServiceLoad::callerPart(const FlowRequest &request) const -> double
{
    const auto found = this->callers.find(levelOf(request));
    return found == this->callers.end() ? 1.0 : found->second.roomPart(request.callerIp);
}

auto ServiceLoad::limitFor(const FlowRequest &request, MonoTime now) const -> double
{
    const auto bit = 1U << levelOf(request);
    const auto asking = this->activeLevels | bit;
    const auto top = this->topLimit(request, now);
    return limitOfLevel(top, countBits(asking & (bit - 1)), countBits(asking));
}

auto ServiceLoad::assess(const FlowRequest &request, const HostRoom &room, MonoTime now) const
        -> Admission
{
    const auto load = room.loadWithOneMore();
    if (load <= config::roomPerSlot) {
        return Admission::Admitted;
    }
    const auto limit = this->limitFor(request, now);
    const auto part = this->callerPart(request);
    if (load <= config::roomPerSlot + (limit - config::roomPerSlot) * part) {
        return Admission::Admitted;
    }
    if (load <= limit) {
        return Admission::RefusedByShare;
    }
    if (load > this->topLimit(request, now)) {
        return Admission::RefusedByTarget;
    }
    return this->isBelowFloor(levelOf(request)) ? Admission::AdmittedByFloor
                                                : Admission::RefusedByUrgency;
}

auto ServiceLoad::decide(const FlowRequest &request, const HostRoom &room, MonoTime now)
        -> Admission
{
    const auto level = levelOf(request);
    const auto admission = this->assess(request, room, now);
    const auto isGiven = isAdmitted(admission);
    ++this->flows[static_cast<std::size_t>(admission)];
    this->asked[level].add();
    this->callers[level].note(request.callerIp, isGiven);
    if (isGiven) {
        this->given[level].add();
        this->givenTotal += 1;
    } else {
        this->demand.add();
        this->overload.noteRefusal(now);
    }
    return admission;
}

/// Returns whether an answer came too soon to be the result of any work: a slot was not free, and
/// the answer took no longer than a round trip.
auto ServiceLoad::isShed(Duration served, double load) const -> bool
{
    return load >= 1 && served * config::shedFraction < this->slotTime.mean();
}

auto ServiceLoad::noteShed(double load) -> void
{
    // The load of a moment is only roughly known, so the limit follows in steps.
    const auto from = std::min(this->shedLimit, std::max(load, config::unmeasuredPerSlot));
    this->shedLimit = std::max(from * config::shedStep, config::shedLimitMin);
}

auto ServiceLoad::topLimit(const FlowRequest &request, MonoTime now) const -> double
{
    return std::min(queueLimit(this->times(now), request.goal), this->shedLimit);
}

auto ServiceLoad::noteResponse(Duration response, double load, MonoTime now) -> void
{
    const std::chrono::duration<double> served = std::max(response - this->handshake, Duration(0));
    if (this->isShed(std::chrono::duration_cast<Duration>(served), load)) {
        this->noteShed(load);
        return;
    }
    const auto time = std::chrono::duration_cast<Duration>(served / std::max(load, 1.0));
    if (load < 1) {
        this->slotTime.sample(time, now);
    } else {
        this->slotTime.sampleMean(time, now);
    }
    addToMean(this->response, response, responseDivisor);
}

auto ServiceLoad::noteHandshake(Duration time) -> void
{
    addToMean(this->handshake, time, handshakeDivisor);
}

auto ServiceLoad::tick(MonoTime now) -> void
{
    const auto passed = this->lastTick == MonoTime() ? Duration(0) : now - this->lastTick;
    this->lastTick = now;
    this->demand.decay(passed);
    const std::chrono::duration<double> seconds = passed;
    this->shedLimit = std::min(
            this->shedLimit * (1 + config::shedRecoveryPerSecond * seconds.count()), shedLimitMax);
    for (auto &[level, shares] : this->callers) {
        shares.decay(passed);
    }
    this->givenTotal = 0;
    this->activeLevels = 0;
    for (std::size_t level = 0; level < levels; ++level) {
        this->asked[level].decay(passed);
        this->given[level].decay(passed);
        this->givenTotal += this->given[level].recent();
        const auto isActive = this->asked[level].recent() >= config::urgencyActive;
        this->activeLevels |= isActive ? 1U << level : 0U;
    }
}

} // namespace flamingograde
