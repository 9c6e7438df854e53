#include "standins/proxy/faultset.h"

#include "standins/proxy/route.h"
#include "standins/proxy/sides.h"

#include <algorithm>
#include <stdexcept>

namespace standins {

namespace {

auto lowerLimit(double one, double other) -> double
{
    return one <= 0 ? other : std::min(one, other);
}

auto apply(const Fault &fault, Conditions &conditions) -> void
{
    switch (fault.kind) {
    case FaultKind::Cut:
        conditions.cut = true;
        break;
    case FaultKind::Silence:
        conditions.silent = true;
        break;
    case FaultKind::Delay:
        conditions.delay += fault.delay;
        break;
    case FaultKind::Slow:
        conditions.bytesPerSecond = lowerLimit(conditions.bytesPerSecond, fault.bytesPerSecond);
        break;
    case FaultKind::Unknown:
    case FaultKind::SilenceOpen:
    case FaultKind::Lose:
        break;
    }
}

} // namespace

auto FaultSet::add(const Fault &fault) -> std::uint64_t
{
    ++this->lastNumber;
    this->faults.emplace(this->lastNumber, fault);
    return this->lastNumber;
}

auto FaultSet::heal(std::uint64_t number) -> void
{
    if (this->faults.erase(number) == 0) {
        throw std::invalid_argument("no active fault has the number " + std::to_string(number));
    }
}

auto FaultSet::matches(const Fault &fault, const Route &route) const -> bool
{
    const auto &links = fault.links;
    if (!links.empty() && std::find(links.begin(), links.end(), route.link) == links.end()) {
        return false;
    }
    const bool forward = this->sides.matches(fault.from, route.source)
                         && this->sides.matches(fault.to, route.target);
    const bool backward = fault.bothWays && this->sides.matches(fault.from, route.target)
                          && this->sides.matches(fault.to, route.source);
    return forward || backward;
}

auto FaultSet::conditionsOf(const Route &route) const -> Conditions
{
    Conditions conditions;
    for (const auto &[number, fault] : this->faults) {
        if (this->matches(fault, route)) {
            apply(fault, conditions);
        }
    }
    return conditions;
}

} // namespace standins
