/// The controllers in the order in which they run.
#pragma once

#include "core/directory/directorycontroller.h"
#include "core/membership/membershipcontroller.h"
#include "core/overlay/overlaycontroller.h"
#include "core/packets/packetcontroller.h"
#include "core/requestcontrollers.h"
#include "core/stop/stopcontroller.h"

#include <flamingograde/event.h>

#include <optional>
#include <variant>

namespace flamingograde {

class Blackboard;
struct Init;

/// Owns the controllers. Each reads and writes the blackboard; none calls another.
///
/// A host that reads a directory has no HTTP rows: it runs no request controllers, and it uses
/// `OverlayController` for membership, which needs no agreement between hosts.
/// @remarks Not thread safe.
class Controllers
{
public:
    /// Precondition: none.
    explicit Controllers(const Init &init);

    /// Passes the event to each controller; exchanges that one passes on to another are processed
    /// within the call. Precondition: none.
    auto run(Blackboard &board, const Event &event) -> void;

private:
    std::optional<RequestControllers> requests;
    std::optional<DirectoryController> directory;
    std::variant<MembershipController, OverlayController> membership;
    StopController stop;
    PacketController packet;
};

} // namespace flamingograde
