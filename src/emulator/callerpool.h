/// Pool of emulated callers that generates the request load of all zones.
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

/// Callbacks for the packets and results of the pool's callers.
struct CallerPoolCallbacks
{
    std::function<void(std::size_t caller, const FlowPacket &)> toFabric;
    std::function<void(std::size_t caller, const RequestResult &)> onEnd;
    std::function<void(std::size_t caller, std::uint32_t ip)> onAdded; ///< May be empty.
};

/// Generates requests with exponentially distributed gaps (Poisson arrivals) and assigns each to an
/// idle caller of the same zone and load kind; adds callers when none is idle.
/// @remarks Not thread safe.
class CallerPool
{
public:
    /// @param firstIp IP address of the first caller; later callers get consecutive addresses.
    CallerPool(VirtualClock &virtualClock, std::uint32_t firstIp, std::uint64_t seed,
               CallerPoolCallbacks handlers);

    /// Starts generating requests for a zone.
    /// Precondition: the objects that `kinds` points to outlive the call to `stop`.
    auto begin(const std::string &zone, double perSecond, std::vector<const LoadKind *> kinds)
            -> void;
    /// Stops generating requests; requests in progress continue. Precondition: none.
    auto stop() -> void { this->running = false; }

    /// Returns the caller with an IP address, or null if there is none. Precondition: none.
    [[nodiscard]] auto find(std::uint32_t ip) -> EmulatedCaller *;
    /// Returns the zone of a caller. Precondition: `caller` is a valid index.
    [[nodiscard]] auto zoneOf(std::size_t caller) const -> const std::string &
    {
        return this->callers[caller].zone;
    }

    double factor = 1; ///< Multiplies the request rate of every zone.

private:
    struct CallerEntry
    {
        std::unique_ptr<EmulatedCaller> process;
        std::string zone;
    };

    auto generateRequest(const std::string &zone, double perSecond,
                         const std::vector<const LoadKind *> &kinds) -> void;
    auto acquireCaller(const std::string &zone, const LoadKind &kind) -> EmulatedCaller &;
    auto add(const std::string &zone) -> void;

    VirtualClock &clock;
    std::uint32_t baseIp;
    std::mt19937_64 random;
    CallerPoolCallbacks callbacks;
    std::vector<CallerEntry> callers;
    std::map<std::pair<std::string, const LoadKind *>, std::vector<std::size_t>> pools;
    std::uint64_t lastRequest = 0;
    std::uint16_t lastPort = 1024;
    bool running = true;
};

} // namespace flamingograde::emulator
