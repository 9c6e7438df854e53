/// Named groups of IP addresses, by which faults select connections.
#pragma once

#include "standins/common/asio.h"

#include <map>
#include <string>
#include <vector>

namespace standins {

/// Maps IP addresses to sides. A side is a named group of IP addresses, such as a host or a zone;
/// an address may be on many sides (its host and its zone). The text of an address is always the
/// name of one of its sides.
/// @remarks Not thread safe.
class Sides
{
public:
    /// Adds `ip` to the side `name`.
    auto add(const std::string &name, const asio::ip::address &ip) -> void;
    /// Returns whether `ip` is on one of the sides `names`; always true if `names` is empty.
    [[nodiscard]] auto matches(const std::vector<std::string> &names,
                               const asio::ip::address &ip) const -> bool;
    /// Returns the first side that `ip` was added to, or else its text.
    [[nodiscard]] auto nameOf(const asio::ip::address &ip) const -> std::string;

private:
    /// Returns the sides of `ip` in the order of addition, its text last.
    [[nodiscard]] auto namesOf(const asio::ip::address &ip) const -> std::vector<std::string>;

    std::map<asio::ip::address, std::vector<std::string>> byIp;
};

} // namespace standins
