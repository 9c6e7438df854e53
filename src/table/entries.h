/// Iterates over the entries of array sections and reports unknown sections.
#pragma once

#include "table/fieldreader.h"
#include "table/findinglist.h"
#include "table/parsedtoml.h"

#include <functional>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Calls `readEntry` for each [[section]] entry; an element that is not an entry with fields is
/// added to `findings`. Does nothing if the section is missing.
/// Precondition: `text` and `findings` outlive the call.
/// @remarks Thread safe as long as `findings` is not shared.
auto forEachEntry(const ParsedToml &text, std::string_view section, FindingList &findings,
                  const std::function<void(FieldReader &)> &readEntry) -> void;

/// Adds a finding for each section that is not in `known` and suggests the known section with the
/// most similar name.
/// @param subject how the message begins, such as "a table has".
/// @param areLists whether the sections are arrays of entries; the suggestion then has [[ ]].
/// Precondition: `text` and `findings` outlive the call.
/// @remarks Thread safe as long as `findings` is not shared.
auto reportUnknownSections(const ParsedToml &text, const std::vector<std::string_view> &known,
                           std::string_view subject, bool areLists, FindingList &findings) -> void;

} // namespace flamingograde
