/// A listening socket that hands on each connection.
#pragma once

#include "standins/common/asio.h"

#include <functional>
#include <string>

namespace standins {

/// Accepts connections until it is destroyed.
/// @remarks Not thread safe.
class Listener
{
public:
    using Handler = std::function<void(Tcp::socket)>;

    /// Listens on `address`. @throws boost::system::system_error where that fails.
    Listener(asio::io_context &loop, const std::string &address, Handler handler);

    /// Returns the bound address.
    [[nodiscard]] auto address() const -> std::string;

private:
    auto accept() -> void;
    auto acceptLater(const ErrorCode &error) -> void;

    Tcp::acceptor acceptor;
    asio::steady_timer pause;
    Handler handler;
    bool failing = false; ///< The last accept failed; told once.
};

} // namespace standins
