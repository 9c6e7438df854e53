/// The settings of a host.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/finding.h>
#include <flamingograde/init.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingograde {

/// How much is logged.
enum class LogLevel : std::uint8_t {
    Error,
    Warn,
    Info,
    Debug,
};

/// What a host is told in its settings file. docs/SETTINGS.md describes the file.
struct Settings
{
    Init init; ///< For the deciding library; `self` has the advertised addresses
               ///< that the file names, the others are invalid.
    bool servicesFromTable = true;    ///< Rows are served at their own addresses.
    Address services;                 ///< Otherwise: the IP number on whose free ports they are.
    Address peer;                     ///< Where to listen for hosts' connections.
    Address relay;                    ///< Where to listen for relayed requests.
    Address admin;                    ///< Where to listen for operators.
    Address ready;                    ///< Where the fabric asks whether to send; invalid: nowhere.
    std::string readyPath = "/ready"; ///< What the fabric asks for.
    Address packets;              ///< Where callers' packets come in; invalid: none are carried.
    std::uint16_t callerPort = 0; ///< Of callers' hosts, for packets to them.
    Address source;               ///< Of outgoing connections; invalid: the system's choice.
    Address platform;             ///< Where the platform is read.
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and checks the settings in `text`.
/// @param file the name that findings carry.
/// @returns the settings, or every fault found.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto parseSettings(std::string_view text, std::string_view file)
        -> tl::expected<Settings, Findings>;

} // namespace flamingograde
