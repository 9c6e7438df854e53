/// A listening socket whose connections speak HTTP/1.1.
#pragma once

#include "standins/common/httpconnection.h"
#include "standins/common/listener.h"

#include <memory>
#include <string>
#include <utility>

namespace standins {

/// Hands each request of each connection to one handler.
/// @remarks Not thread safe.
class HttpServer
{
public:
    /// Listens on `address`. @throws boost::system::system_error where that fails.
    HttpServer(asio::io_context &loop, const std::string &address, HttpConnection::Handler handler)
        : handler(std::make_shared<const HttpConnection::Handler>(std::move(handler))),
          listener(loop, address, [handler = this->handler](Tcp::socket socket) {
              std::make_shared<HttpConnection>(std::move(socket), handler)->start();
          })
    {}

    /// Returns the bound address.
    [[nodiscard]] auto address() const -> std::string { return this->listener.address(); }

private:
    std::shared_ptr<const HttpConnection::Handler> handler;
    Listener listener;
};

} // namespace standins
