/// The callers of all zones and the pace of their requests.
#pragma once

#include "emulator/emulatedcaller.h"
#include "emulator/loadkind.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde::emulator {

class VirtualClock;

/// Where callers' packets and results go.
struct PoolSurroundings
{
    std::function<void(std::size_t caller, const FlowPacket &)> toFabric;
    std::function<void(std::size_t caller, const RequestResult &)> onEnd;
    std::function<void(std::size_t caller, std::uint32_t ip)> onAdded; ///< May be empty.
};

/// Begins requests at random times and gives each to a free caller of its zone and kind.
/// @remarks Not thread safe.
class CallerPool
{
public:
    /// @param firstIp callers have this IP number and those after it.
    CallerPool(VirtualClock &owner, std::uint32_t firstIp, std::uint64_t seed,
               PoolSurroundings around);

    /// Begins requests of a zone. Precondition: `kinds` and what they point to stay until `stop`.
    auto begin(const std::string &zone, double perSecond, std::vector<const LoadKind *> kinds)
            -> void;
    /// Begins no more requests; those under way go on. Precondition: none.
    auto stop() -> void { this->running = false; }

    /// Returns the caller with an IP number, or null. Precondition: none.
    [[nodiscard]] auto find(std::uint32_t ip) -> EmulatedCaller *;
    /// Returns the zone of a caller. Precondition: it is one.
    [[nodiscard]] auto zoneOf(std::size_t caller) const -> const std::string &
    {
        return this->callers[caller].zone;
    }

    double factor = 1; ///< Of all zones' pace.

private:
    struct Seat
    {
        std::unique_ptr<EmulatedCaller> process;
        std::string zone;
    };

    auto arrive(const std::string &zone, double perSecond,
                const std::vector<const LoadKind *> &kinds) -> void;
    auto callerFor(const std::string &zone, const LoadKind &kind) -> EmulatedCaller &;
    auto add(const std::string &zone) -> void;

    VirtualClock &clock;
    std::uint32_t netIp;
    std::mt19937_64 random;
    PoolSurroundings surroundings;
    std::vector<Seat> callers;
    std::map<std::pair<std::string, const LoadKind *>, std::vector<std::size_t>> pools;
    std::uint64_t lastRequest = 0;
    std::uint16_t lastPort = 1024;
    bool running = true;
};

} // namespace flamingograde::emulator
