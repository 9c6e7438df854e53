/// Reading and writing of "IP:PORT".
#pragma once

#include "standins/common/asio.h"

#include <string>

namespace standins {

/// Reads "127.0.0.1:80". @throws std::invalid_argument for any other text.
[[nodiscard]] auto parseEndpoint(const std::string &text) -> Tcp::endpoint;

/// Returns the text that `parseEndpoint` reads.
[[nodiscard]] auto toString(const Tcp::endpoint &endpoint) -> std::string;

/// Opens `socket` and binds it to the IP number `source` and a port that the system chooses when
/// it connects, so that ports are not used up across destinations.
auto bindSource(Tcp::socket &socket, const asio::ip::address &source, ErrorCode &error) -> void;

/// Closes `socket` with a reset instead of an orderly end.
auto resetSocket(Tcp::socket &socket) -> void;

} // namespace standins
