/// The fabric's readiness checks of one host.
#pragma once

#include "standins/common/asio.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace standins {

/// Asks a host twice a second whether it is ready; two misses take it out of rotation.
/// @remarks Not thread safe.
class HostCheck
{
public:
    HostCheck(asio::io_context &owner, const Tcp::endpoint &target, std::string path);

    /// Returns whether the host gets packets.
    [[nodiscard]] auto isInRotation() const -> bool { return this->inRotation; }

private:
    struct Call;

    auto begin() -> void;
    auto end(bool ready) -> void;

    asio::io_context &loop;
    Tcp::endpoint host;
    std::string request;
    asio::steady_timer timer;
    std::shared_ptr<Call> call;
    std::uint32_t misses = 2;
    bool inRotation = false;
};

} // namespace standins
