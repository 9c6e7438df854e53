/// The names of IP numbers.
#pragma once

#include "standins/common/asio.h"

#include <map>
#include <string>
#include <vector>

namespace standins {

/// Knows which sides an IP number belongs to; a side may have many numbers, and a number be on
/// many sides (its host and its zone). An IP number's own text is always one of its sides.
/// @remarks Not thread safe.
class Sides
{
public:
    /// Adds `ip` to the side `name`.
    auto add(const std::string &name, const asio::ip::address &ip) -> void;
    /// Returns whether `ip` is on one of `names`; always true for no names.
    [[nodiscard]] auto matches(const std::vector<std::string> &names,
                               const asio::ip::address &ip) const -> bool;
    /// Returns the side that `ip` was added to first, or its text.
    [[nodiscard]] auto nameOf(const asio::ip::address &ip) const -> std::string;

private:
    /// Returns the sides of `ip`, its text last.
    [[nodiscard]] auto namesOf(const asio::ip::address &ip) const -> std::vector<std::string>;

    std::map<asio::ip::address, std::vector<std::string>> byIp;
};

} // namespace standins
