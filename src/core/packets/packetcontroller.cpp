/// Periodic work of the packet path.
#include "core/packets/packetcontroller.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/packets/coldsharing.h"
#include "core/packets/flowwatch.h"

#include <flamingograde/config.h>

namespace flamingograde {

namespace {

/// A longer time between two ticks means that the process was paused: openings that were pending
/// then may have been answered, and those answers may still be unread.
constexpr Duration tickGapMax = config::tickPeriod + config::handshakeTimeout;

} // namespace

auto PacketController::handle(Blackboard &board, const Event &event) -> void
{
    if (!std::holds_alternative<Tick>(event) || board.packets.flows.capacity() == 0) {
        return;
    }
    const auto sinceTick = board.now.mono - this->lastTick;
    this->lastTick = board.now.mono;
    if (sinceTick > tickGapMax) {
        suspendEvidence(board);
    }
    checkFlowTimeouts(board);
    updateColdLimits(board);
    updateSubsets(board);
    updateServiceLoads(board);
    for (auto &note : board.pendingLogs) {
        board.addAction(std::move(note));
    }
    board.pendingLogs.clear();
}

} // namespace flamingograde
