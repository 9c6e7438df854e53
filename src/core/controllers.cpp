/// Creates the controllers that a host needs and runs them on each event.
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
        this->requests->handleConfiguration(board, event);
    }
    std::visit([&](auto &membership) { membership.handle(board, event); }, this->membership);
    if (this->directory) {
        this->directory->handle(board, event);
    }
    if (this->requests) {
        this->requests->handleTenure(board, event);
    }
    this->stop.handle(board, event);
    this->packet.handle(board, event);
    if (this->requests) {
        this->requests->handleRequests(board, event);
    }
}

} // namespace flamingograde
