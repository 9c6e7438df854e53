/// Conversion of TCP endpoints from and to "IP:PORT", and helpers for TCP sockets.
#pragma once

#include "standins/common/asio.h"

#include <string>

namespace standins {

/// Parses an endpoint such as "127.0.0.1:80". @throws std::invalid_argument for any other text.
[[nodiscard]] auto parseEndpoint(const std::string &text) -> Tcp::endpoint;

/// Returns `endpoint` in the form that `parseEndpoint` accepts.
[[nodiscard]] auto toString(const Tcp::endpoint &endpoint) -> std::string;

/// Opens `socket` and binds it to the IPv4 address `source`. The port is left to the kernel, which
/// chooses it at connect time (`IP_BIND_ADDRESS_NO_PORT`): a local port can then be shared between
/// destinations, so that connections to many destinations don't exhaust the local ports.
auto bindSource(Tcp::socket &socket, const asio::ip::address &source, ErrorCode &error) -> void;

/// Closes `socket` with a TCP reset (RST) instead of an orderly shutdown.
auto resetSocket(Tcp::socket &socket) -> void;

} // namespace standins
