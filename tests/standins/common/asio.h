/// Namespace and type aliases of Boost.Asio and the JSON library, shared by all stand-ins.
#pragma once

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace standins {

namespace asio = boost::asio;

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Json = nlohmann::json;

} // namespace standins
