/// Delivers signals as events of the event loop.
#pragma once

#include <functional>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Handles SIGTERM, SIGINT and SIGHUP; ignores SIGPIPE.
/// @remarks Not thread safe. Create at most one per process, before any thread is started.
class SignalWatch
{
public:
    /// @param onTerminate called on SIGTERM and SIGINT.
    /// @param onReload called on SIGHUP.
    SignalWatch(Loop &loop, std::function<void()> onTerminate, std::function<void()> onReload);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    auto operator=(const SignalWatch &) -> SignalWatch & = delete;

private:
    auto readAll() -> void;

    int descriptor;
    st_h2o_socket_t *socket;
    std::function<void()> terminate;
    std::function<void()> reload;
};

} // namespace flamingograde::net
