/// Strict reading of one decoded map.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace flamingograde {

/// Reads values of the expected type and size, and remembers the first fault.
/// @remarks Not thread safe. After a fault every value is a default one.
class WireReader
{
public:
    /// Returns the field `key` of `map`; faulty where it is missing.
    [[nodiscard]] auto field(const nlohmann::json &map, const char *key) -> const nlohmann::json &;

    /// Returns a whole number from 0 to `max`.
    [[nodiscard]] auto number(const nlohmann::json &value,
                              std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
            -> std::uint64_t;
    /// Returns a whole number of any sign that fits.
    [[nodiscard]] auto signedNumber(const nlohmann::json &value) -> std::int64_t;
    /// Returns a truth value.
    [[nodiscard]] auto flag(const nlohmann::json &value) -> bool;
    /// Returns a text of at most `bytesMax`.
    [[nodiscard]] auto text(const nlohmann::json &value, std::size_t bytesMax) -> std::string;
    /// Returns a name: neither empty nor long, without control characters.
    [[nodiscard]] auto name(const nlohmann::json &value) -> std::string;
    /// Returns a list of at most `sizeMax` entries.
    [[nodiscard]] auto list(const nlohmann::json &value, std::size_t sizeMax)
            -> const nlohmann::json &;
    /// Returns a list of exactly `size` entries, or null where it is another.
    [[nodiscard]] auto tuple(const nlohmann::json &value, std::size_t size)
            -> const nlohmann::json *;
    /// Returns a list of ids.
    template<typename Id>
    [[nodiscard]] auto ids(const nlohmann::json &value, std::size_t sizeMax) -> std::vector<Id>
    {
        std::vector<Id> result;
        for (const auto &entry : this->list(value, sizeMax)) {
            result.push_back(Id(this->number(entry)));
        }
        return result;
    }

    /// Notes a fault; only the first one stays.
    auto fail(const std::string &what) -> void;
    /// Returns the first fault; empty for none.
    [[nodiscard]] auto fault() const -> const std::string & { return this->firstFault; }

private:
    std::string firstFault;
};

} // namespace flamingograde
