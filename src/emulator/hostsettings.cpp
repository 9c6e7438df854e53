/// Assigns names and addresses to emulated hosts.
#include "emulator/hostsettings.h"

#include <cstdint>

namespace flamingograde::emulator {

namespace {

constexpr std::uint32_t hostNetwork = 0x0a010000; ///< 10.1.0.0.
constexpr std::uint16_t peerPort = 7001;

auto peerAddress(std::size_t number) -> Address
{
    return { hostNetwork + static_cast<std::uint32_t>(number) + 1, peerPort };
}

} // namespace

auto hostSettings(const std::string &zone, std::size_t number,
                  const std::vector<std::size_t> &seeds) -> Init
{
    Init init;
    init.self.name = "host-" + std::to_string(number);
    init.self.id = HostId::ofName(init.self.name);
    init.self.zoneName = zone;
    init.self.zone = ZoneId::ofName(zone);
    init.self.peer = peerAddress(number);
    for (const auto seed : seeds) {
        init.seedAddresses.push_back(peerAddress(seed));
    }
    init.readsDirectory = true;
    return init;
}

} // namespace flamingograde::emulator
