/// Notices callers that leave while their request is under way.
#pragma once

#include <flamingograde/ids.h>

#include <functional>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Watches the descriptors of HTTP/1 callers for their end, which h2o does not look at while a
/// request is under way.
/// @remarks Not thread safe.
class LeaveWatch
{
public:
    using Left = std::function<void(ExchangeId)>;

    /// @param callback told that the caller of an exchange left; it may have ended long ago.
    LeaveWatch(Loop &loop, Left callback);
    ~LeaveWatch();
    LeaveWatch(const LeaveWatch &) = delete;
    auto operator=(const LeaveWatch &) -> LeaveWatch & = delete;

    /// Watches `descriptor` for `exchange` in place of an earlier one, until the descriptor is
    /// closed. Precondition: the descriptor is open.
    auto watch(int descriptor, ExchangeId exchange) -> void;

private:
    auto readAll() -> void;

    int poll;
    st_h2o_socket_t *socket;
    Left left;
};

} // namespace flamingograde::net
