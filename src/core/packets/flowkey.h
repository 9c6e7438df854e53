/// Identity of a flow.
#pragma once

#include <flamingograde/packethead.h>

#include <cstdint>

namespace flamingograde {

/// Addresses and ports of both ends of a flow.
struct FlowKey
{
    std::uint32_t callerIp = 0;
    std::uint32_t serviceIp = 0;
    std::uint16_t callerPort = 0;
    std::uint16_t servicePort = 0;

    /// Returns the key of the flow that a caller's packet belongs to. Precondition: none. Thread
    /// safe.
    [[nodiscard]] static auto of(const PacketHead &head) -> FlowKey
    {
        return { head.caller.ip, head.service.ip, head.caller.port, head.service.port };
    }

    /// Returns a uniformly distributed hash, the same on every host. Precondition: none.
    [[nodiscard]] auto hash() const -> std::uint64_t
    {
        constexpr auto ipBits = 32U;
        constexpr auto portBits = 16U;
        constexpr auto shift = 32U;
        constexpr std::uint64_t first =
                0x9e3779b97f4a7c15; // 2^64 divided by the golden ratio, as in Fibonacci hashing.
        constexpr std::uint64_t second = 0xbf58476d1ce4e5b9; // A multiplier of splitmix64.
        const auto ips = (static_cast<std::uint64_t>(this->callerIp) << ipBits) | this->serviceIp;
        const auto ports =
                (static_cast<std::uint64_t>(this->callerPort) << portBits) | this->servicePort;
        auto mixed = (ips + ports * first) * second;
        mixed = (mixed ^ (mixed >> shift)) * first;
        return mixed ^ (mixed >> shift);
    }

    friend auto operator==(const FlowKey &a, const FlowKey &b) -> bool
    {
        return a.callerIp == b.callerIp && a.serviceIp == b.serviceIp
               && a.callerPort == b.callerPort && a.servicePort == b.servicePort;
    }
};

} // namespace flamingograde
