/// The readiness checks by which the network fabric decides whether one host gets packets.
#pragma once

#include "standins/common/asio.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace standins {

/// Checks twice a second whether a host is ready. One success puts it into rotation; two
/// consecutive failures take it out.
/// @remarks Not thread safe.
class HostCheck
{
public:
    HostCheck(asio::io_context &ioContext, const Tcp::endpoint &target, std::string path);

    /// Returns whether the fabric sends packets to the host.
    [[nodiscard]] auto isInRotation() const -> bool { return this->inRotation; }

private:
    struct Check;

    auto startCheck() -> void;
    auto finishCheck(bool ready) -> void;

    asio::io_context &loop;
    Tcp::endpoint hostEndpoint;
    std::string request;
    asio::steady_timer timer;
    std::shared_ptr<Check> activeCheck;
    std::uint32_t consecutiveFailures = 2;
    bool inRotation = false;
};

} // namespace standins
