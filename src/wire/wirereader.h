/// Typed access to the values of a decoded message, with checks of type and size.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace flamingograde {

/// Reads values of a decoded message, and records the first error. A value of the wrong type or
/// size is an error.
/// @remarks Not thread safe. Reading goes on after an error, so callers check `fault` after the
/// last value; if it is set, none of the values may be used.
class WireReader
{
public:
    /// Returns the field `key` of `map`; records an error if it is missing.
    [[nodiscard]] auto field(const nlohmann::json &map, const char *key) -> const nlohmann::json &;

    /// Reads an integer from 0 to `max`.
    [[nodiscard]] auto number(const nlohmann::json &value,
                              std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
            -> std::uint64_t;
    /// Reads a signed integer of 64 bits.
    [[nodiscard]] auto signedNumber(const nlohmann::json &value) -> std::int64_t;
    /// Reads a boolean.
    [[nodiscard]] auto flag(const nlohmann::json &value) -> bool;
    /// Reads a string of at most `bytesMax` bytes.
    [[nodiscard]] auto text(const nlohmann::json &value, std::size_t bytesMax) -> std::string;
    /// Reads a name: a string of 1 to 255 bytes without control characters.
    [[nodiscard]] auto name(const nlohmann::json &value) -> std::string;
    /// Reads an array of at most `sizeMax` elements.
    [[nodiscard]] auto list(const nlohmann::json &value, std::size_t sizeMax)
            -> const nlohmann::json &;
    /// Reads an array of exactly `size` elements; null if it is anything else.
    [[nodiscard]] auto tuple(const nlohmann::json &value, std::size_t size)
            -> const nlohmann::json *;
    /// Reads an array of at most `sizeMax` IDs.
    template<typename Id>
    [[nodiscard]] auto ids(const nlohmann::json &value, std::size_t sizeMax) -> std::vector<Id>
    {
        std::vector<Id> result;
        for (const auto &entry : this->list(value, sizeMax)) {
            result.push_back(Id(this->number(entry)));
        }
        return result;
    }

    /// Records an error; only the first one is kept.
    auto fail(const std::string &what) -> void;
    /// Returns the first error; empty if there is none.
    [[nodiscard]] auto fault() const -> const std::string & { return this->firstFault; }

private:
    std::string firstFault;
};

} // namespace flamingograde
