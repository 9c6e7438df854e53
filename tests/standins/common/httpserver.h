/// A minimal HTTP/1.1 server.
#pragma once

#include "standins/common/httpconnection.h"
#include "standins/common/listener.h"

#include <memory>
#include <string>
#include <utility>

namespace standins {

/// Accepts connections and passes the requests of all of them to one handler.
/// @remarks Not thread safe.
class HttpServer
{
public:
    /// Listens on `address`. @throws boost::system::system_error if that fails.
    HttpServer(asio::io_context &loop, const std::string &address, HttpConnection::Handler handler)
        : handler(std::make_shared<const HttpConnection::Handler>(std::move(handler))),
          listener(loop, address, [handler = this->handler](Tcp::socket socket) {
              std::make_shared<HttpConnection>(std::move(socket), handler)->start();
          })
    {}

    /// Returns the bound address as "IP:PORT".
    [[nodiscard]] auto address() const -> std::string { return this->listener.address(); }

private:
    std::shared_ptr<const HttpConnection::Handler> handler;
    Listener listener;
};

} // namespace standins
