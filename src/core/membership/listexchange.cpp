/// Compares the views of hosts by their digests.
#include "core/membership/listexchange.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <chrono>

namespace flamingograde {

namespace {

constexpr double bytesPerMember = 72; ///< Encoded size of a member with names of 13 letters.

} // namespace

auto ListExchange::heard(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    auto &record = *board.membership.record(from);
    const auto now = board.now.mono;
    if (gossip.members == board.membership.digest()) {
        record.viewsNotCompared = false;
        record.viewDiffersSince.reset();
        return;
    }
    if (!record.viewDiffersSince) {
        record.viewDiffersSince = now;
    }
    if (!record.viewsNotCompared
        && now - *record.viewDiffersSince < config::viewDifferenceTimeout) {
        return;
    }
    if (this->consumeAllowance(board)) {
        sendPeer(board, from, Ping { 0, makeFullGossip(board, from) });
    } else if (record.viewsNotCompared && isInOwnZone(board, record)) {
        // The hosts of a zone decide together who is home of a cell, so they need the same view.
        sendZoneMembers(board, from);
    } else {
        return;
    }
    record.viewsNotCompared = false;
    record.viewDiffersSince = now;
}

auto ListExchange::consumeAllowance(const Blackboard &board) -> bool
{
    const std::chrono::duration<double> elapsed = board.now.mono - this->refilledAt;
    this->refilledAt = board.now.mono;
    const auto capacity = static_cast<double>(config::listBytesBurst);
    const auto added = elapsed.count() * static_cast<double>(config::listBytesPerSecond);
    this->allowance = std::min(capacity, this->allowance + added);
    const auto bytes = bytesPerMember * static_cast<double>(board.membership.records().size());
    if (this->allowance < std::min(bytes, capacity)) {
        return false;
    }
    this->allowance -= bytes;
    return true;
}

} // namespace flamingograde
