/// Configuration and endpoints shared by all websockets between hosts.
#pragma once

#include <flamingograde/config.h>

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace flamingograde::net {

// NOLINTBEGIN(readability-identifier-naming): websocketpp defines the names.

/// websocketpp configuration: single-threaded, no logging, bounded message size.
struct PeerConfig : websocketpp::config::core_client
{
    using type = PeerConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type =
            websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;

    struct transport_config : websocketpp::config::core_client::transport_config
    {
        using concurrency_type = PeerConfig::concurrency_type;
        using elog_type = PeerConfig::elog_type;
        using alog_type = PeerConfig::alog_type;
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;

    static const bool enable_multithreading = false;
    static const std::size_t max_message_size = config::peerMessageMax;
    static const std::size_t max_http_body_size = 0;
};

// NOLINTEND(readability-identifier-naming)

/// Creates the websocket connections of this host.
/// @remarks Not thread safe. Must outlive the connections.
struct PeerEndpoints
{
    using Connection = websocketpp::connection<PeerConfig>;

    websocketpp::server<PeerConfig> server;
    websocketpp::client<PeerConfig> client;
};

} // namespace flamingograde::net
