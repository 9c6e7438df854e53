/// Ticks of the packet path.
#include "core/packets/packetcontroller.h"

#include "core/blackboard.h"
#include "core/packets/coldsharing.h"
#include "core/packets/flowwatch.h"

#include <flamingograde/config.h>

namespace flamingograde {

namespace {

/// A tick later than this says that the process did not run: what waited for an answer then may
/// have been answered.
constexpr Duration lateTick = config::tickPeriod + config::handshakePatience;

} // namespace

auto PacketController::handle(Blackboard &board, const Event &event) -> void
{
    if (!std::holds_alternative<Tick>(event) || board.packets.flows.capacity() == 0) {
        return;
    }
    const auto sinceTick = board.now.mono - this->lastTick;
    this->lastTick = board.now.mono;
    if (sinceTick > lateTick) {
        distrustOpenings(board);
    }
    reviewFlows(board);
    reviewColdUpstreams(board);
    for (auto &note : board.notes) {
        board.act(std::move(note));
    }
    board.notes.clear();
}

} // namespace flamingograde
