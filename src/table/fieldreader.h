/// Reads the fields of one entry of the table.
#pragma once

#include "table/findinglist.h"
#include "table/place.h"

#include <flamingograde/address.h>

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Which whole numbers a field takes, and which it has when it is missing.
struct NumberRange
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::uint64_t fallback = 0;
};

/// Reads the fields of one entry; each fault becomes a finding and the field's default is taken.
/// @remarks Not thread safe.
class FieldReader
{
public:
    /// @param entry the entry. Precondition: it outlives this reader, as does `list`.
    /// @param noun what the entry is, such as "row".
    /// @param broken whether a line of it is left out: then no field is called missing.
    /// @param list takes the findings.
    FieldReader(const toml::table &entry, std::string_view noun, bool broken, FindingList &list)
        : fields(entry), kind(noun), isBroken(broken), findings(list)
    {}

    /// Reads a name, which must be there.
    /// @returns the name; empty where it is faulty.
    /// Precondition: none.
    [[nodiscard]] auto name(std::string_view key) -> std::string;

    /// Reads an address, which must be there.
    /// @returns the address; an invalid one where it is faulty.
    /// Precondition: none.
    [[nodiscard]] auto address(std::string_view key) -> Address;

    /// Reads a text, which must be there.
    /// @returns the text, which ends with the entry; empty where it is faulty.
    /// Precondition: none.
    [[nodiscard]] auto text(std::string_view key) -> std::string_view;

    /// Reads one of `words`.
    /// @returns its index; `fallback` where it is missing or faulty.
    /// Precondition: none.
    [[nodiscard]] auto word(std::string_view key, const std::vector<std::string_view> &words,
                            std::size_t fallback) -> std::size_t;

    /// Reads a whole number. Precondition: none.
    [[nodiscard]] auto number(std::string_view key, const NumberRange &range) -> std::uint64_t;

    /// Reads a number that may have a fraction, above 0. Precondition: none.
    [[nodiscard]] auto positive(std::string_view key, double fallback) -> double;
    /// Reads a number of at least 0, or returns `fallback` for a missing one. Precondition: none.
    [[nodiscard]] auto nonNegative(std::string_view key, double fallback) -> double;

    /// Reads a boolean. Precondition: none.
    [[nodiscard]] auto flag(std::string_view key, bool fallback) -> bool;

    /// Reports `key` if it is missing. Precondition: none.
    auto require(std::string_view key) -> void;

    /// Reports the fields that are not among `known`. Precondition: none.
    auto refuseUnknown(const std::vector<std::string_view> &known) -> void;

    /// Returns whether the entry has the field. Precondition: none.
    [[nodiscard]] auto has(std::string_view key) const -> bool;

    /// Returns the place of the field's value, or that of the entry. Precondition: none.
    [[nodiscard]] auto place(std::string_view key) const -> Place;

    /// Returns the place of the entry. Precondition: none.
    [[nodiscard]] auto place() const -> Place;

    /// Adds a finding at the field. Precondition: none.
    auto fault(std::string_view key, const std::string &what, std::string mend) -> void;

private:
    [[nodiscard]] auto decimal(std::string_view key, double fallback) const -> double;
    const toml::table &fields;
    std::string_view kind;
    bool isBroken;
    FindingList &findings;
};

/// Returns the place where `region` begins.
/// @remarks Thread safe.
[[nodiscard]] auto placeOf(const toml::source_region &region) -> Place;

} // namespace flamingograde
