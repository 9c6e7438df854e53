/// Settings of a host and their parser.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/finding.h>
#include <flamingograde/init.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingograde {

/// Least severe level that is logged.
enum class LogLevel : std::uint8_t {
    Error,
    Warn,
    Info,
    Debug,
};

/// Contents of a host's settings file, which docs/SETTINGS.md describes.
struct Settings
{
    Init init; ///< Passed to the balancer. In `self`, an advertised address that the file does
               ///< not name is invalid.
    bool servicesFromTable = true; ///< Listen for each row at its own address in the table.
    Address services;              ///< Unless `servicesFromTable`: rows use free ports of this IP.
    Address peer;                  ///< Listening address for connections of other hosts.
    Address relay;                 ///< Listening address for relayed requests.
    Address admin;                 ///< Listening address for operators' requests.
    Address ready; ///< Listening address for the fabric's readiness checks; invalid: none.
    std::string readyPath = "/ready"; ///< Path of the readiness check.
    Address packets; ///< Listening address for callers' packets; invalid: packets are not carried.
    std::uint16_t callerPort = 0; ///< Port of callers' hosts to which packets are sent.
    Address source;   ///< Source of outgoing connections; invalid: chosen by the system.
    Address platform; ///< Address of the platform.
    LogLevel logLevel = LogLevel::Info;
};

/// Parses and validates the settings in `text`.
/// @param file the file name that findings report.
/// @returns the settings, or all errors found.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto parseSettings(std::string_view text, std::string_view file)
        -> tl::expected<Settings, Findings>;

} // namespace flamingograde
