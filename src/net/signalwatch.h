/// Signals as events of the loop.
#pragma once

#include <functional>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Takes SIGTERM, SIGINT and SIGHUP; ignores SIGPIPE.
/// @remarks Not thread safe. One in a process, made before anything starts a thread.
class SignalWatch
{
public:
    /// @param onTerminate told of SIGTERM and SIGINT.
    /// @param onReload told of SIGHUP.
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
