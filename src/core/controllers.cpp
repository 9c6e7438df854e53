/// Runs the controllers.
#include "core/controllers.h"

#include "core/blackboard.h"

namespace flamingograde {

Controllers::Controllers(const Init &init)
{
    if (init.readsDirectory) {
        this->directory.emplace();
        this->membership.emplace<OverlayController>();
    } else {
        this->requests.emplace(init.policy);
    }
}

auto Controllers::run(Blackboard &board, const Event &event) -> void
{
    if (this->requests) {
        this->requests->configure(board, event);
    }
    std::visit([&](auto &membership) { membership.handle(board, event); }, this->membership);
    if (this->directory) {
        this->directory->handle(board, event);
    }
    if (this->requests) {
        this->requests->claim(board, event);
    }
    this->stop.handle(board, event);
    this->packet.handle(board, event);
    if (this->requests) {
        this->requests->serve(board, event);
    }
}

} // namespace flamingograde
