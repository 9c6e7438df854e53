/// Compares views by their digests.
#include "core/membership/listexchange.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <chrono>

namespace flamingograde {

namespace {

constexpr double memberBytes = 72; ///< Of a member in a message, with names of 13 letters.

} // namespace

auto ListExchange::heard(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    auto &record = *board.membership.record(from);
    const auto now = board.now.mono;
    if (gossip.members == board.membership.digest()) {
        record.isNew = false;
        record.differsSince.reset();
        return;
    }
    if (!record.differsSince) {
        record.differsSince = now;
    }
    if (!record.isNew && now - *record.differsSince < config::viewsDiffer) {
        return;
    }
    if (this->takeAllowance(board)) {
        sendPeer(board, from, Ping { 0, makeFullGossip(board, from) });
    } else if (record.isNew && isInOwnZone(board, record)) {
        sendZoneView(board, from); // Hosts of a zone decide together who is home of a cell.
    } else {
        return;
    }
    record.isNew = false;
    record.differsSince = now;
}

auto ListExchange::takeAllowance(const Blackboard &board) -> bool
{
    const std::chrono::duration<double> passed = board.now.mono - this->refilled;
    this->refilled = board.now.mono;
    const auto most = static_cast<double>(config::listBytesAtOnce);
    const auto added = passed.count() * static_cast<double>(config::listBytesPerSecond);
    this->allowance = std::min(most, this->allowance + added);
    const auto bytes = memberBytes * static_cast<double>(board.membership.records().size());
    if (this->allowance < std::min(bytes, most)) {
        return false;
    }
    this->allowance -= bytes;
    return true;
}

} // namespace flamingograde
