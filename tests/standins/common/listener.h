/// A listening TCP socket that passes each accepted connection to a handler.
#pragma once

#include "standins/common/asio.h"

#include <functional>
#include <string>

namespace standins {

/// Accepts connections until it is destroyed. A failed accept is retried after a delay.
/// @remarks Not thread safe.
class Listener
{
public:
    using Handler = std::function<void(Tcp::socket)>;

    /// Listens on `address`. @throws boost::system::system_error if that fails.
    Listener(asio::io_context &loop, const std::string &address, Handler handler);

    /// Returns the bound address as "IP:PORT".
    [[nodiscard]] auto address() const -> std::string;

private:
    auto accept() -> void;
    auto acceptAfterDelay(const ErrorCode &error) -> void;

    Tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    Handler handler;
    bool lastAcceptFailed = false; ///< Only the first of consecutive failures is printed.
};

} // namespace standins
