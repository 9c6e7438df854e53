/// Reads and validates the fields of one TOML entry.
#pragma once

#include "table/findinglist.h"
#include "table/textposition.h"

#include <flamingograde/address.h>

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// The integers that a field accepts, and its value if the field is missing.
struct NumberRange
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::uint64_t fallback = 0;
};

/// Reads the fields of one entry. Each invalid value is added to the findings, and the field gets
/// its default instead.
/// @remarks Not thread safe.
class FieldReader
{
public:
    /// @param entry the entry. Precondition: it outlives this reader, as does `list`.
    /// @param sectionName the section that the entry belongs to, such as "row"; used in messages.
    /// @param incomplete whether a line of the entry was removed because of a syntax error: missing
    ///     fields are then not reported.
    /// @param list receives the findings.
    FieldReader(const toml::table &entry, std::string_view sectionName, bool incomplete,
                FindingList &list)
        : fields(entry), entryKind(sectionName), isIncomplete(incomplete), findings(list)
    {}

    /// Reads a name from a required field.
    /// @returns the name; empty if it is missing or invalid.
    /// Precondition: none.
    [[nodiscard]] auto name(std::string_view key) -> std::string;

    /// Reads a unicast IPv4 address with a port from a required field.
    /// @returns the address; an invalid one if it is missing or not accepted.
    /// Precondition: none.
    [[nodiscard]] auto address(std::string_view key) -> Address;

    /// Reads a string from a required field.
    /// @returns the string, valid as long as the entry; empty if it is missing or not a string.
    /// Precondition: none.
    [[nodiscard]] auto text(std::string_view key) -> std::string_view;

    /// Reads a string that must be one of `words`.
    /// @returns its index in `words`; `fallback` if it is missing or not in `words`.
    /// Precondition: none.
    [[nodiscard]] auto enumValue(std::string_view key, const std::vector<std::string_view> &words,
                                 std::size_t fallback) -> std::size_t;

    /// Reads an integer within `range`.
    /// @returns the integer; `range.fallback` if it is missing or out of range.
    /// Precondition: none.
    [[nodiscard]] auto number(std::string_view key, const NumberRange &range) -> std::uint64_t;

    /// Reads an integer or decimal number greater than 0.
    /// @returns the number; `fallback` if it is missing or invalid.
    /// Precondition: none.
    [[nodiscard]] auto positive(std::string_view key, double fallback) -> double;
    /// Reads an integer or decimal number of at least 0.
    /// @returns the number; `fallback` if it is missing or invalid.
    /// Precondition: none.
    [[nodiscard]] auto nonNegative(std::string_view key, double fallback) -> double;

    /// Reads a boolean.
    /// @returns the value; `fallback` if it is missing or not a boolean.
    /// Precondition: none.
    [[nodiscard]] auto flag(std::string_view key, bool fallback) -> bool;

    /// Adds a finding if the field `key` is missing, unless the entry is incomplete.
    /// Precondition: none.
    auto require(std::string_view key) -> void;

    /// Adds a finding for each field that is not in `known` and suggests the known field with the
    /// most similar name. Precondition: none.
    auto reportUnknownFields(const std::vector<std::string_view> &known) -> void;

    /// Returns whether the entry has the field. Precondition: none.
    [[nodiscard]] auto has(std::string_view key) const -> bool;

    /// Returns the position of the field's value, or of the entry if the field is missing.
    /// Precondition: none.
    [[nodiscard]] auto position(std::string_view key) const -> TextPosition;

    /// Returns the position of the entry in the text. Precondition: none.
    [[nodiscard]] auto position() const -> TextPosition;

    /// Adds a finding at the position of the field `key`.
    /// @param what the error; the message begins with the name of the field.
    /// @param hint how to correct it.
    /// Precondition: none.
    auto addFinding(std::string_view key, const std::string &what, std::string hint) -> void;

private:
    [[nodiscard]] auto decimal(std::string_view key, double fallback) const -> double;
    const toml::table &fields;
    std::string_view entryKind;
    bool isIncomplete;
    FindingList &findings;
};

/// Returns the position at which `region` begins.
/// @remarks Thread safe.
[[nodiscard]] auto positionOf(const toml::source_region &region) -> TextPosition;

} // namespace flamingograde
