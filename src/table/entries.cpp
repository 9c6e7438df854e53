/// Iterates over the entries of array sections and reports unknown sections.
#include "table/entries.h"

#include "table/nearest.h"

#include <algorithm>
#include <string>

namespace flamingograde {

auto forEachEntry(const ParsedToml &text, std::string_view section, FindingList &findings,
                  const std::function<void(FieldReader &)> &readEntry) -> void
{
    const auto *node = text.root.get(section);
    if (node == nullptr) {
        return;
    }
    const auto name = std::string(section);
    const auto hint = "begin each entry with [[" + name + "]]";
    const auto *entries = node->as_array();
    if (entries == nullptr) {
        findings.add(positionOf(node->source()), name + " is not a list of entries", hint);
        return;
    }
    for (const auto &entry : *entries) {
        const auto *fields = entry.as_table();
        const auto position = positionOf(entry.source());
        if (fields == nullptr) {
            findings.add(position, name + " has an element that is not an entry with fields", hint);
            continue;
        }
        const auto isIncomplete = text.sectionsWithErrors.count(position.line) != 0;
        FieldReader reader(*fields, section, isIncomplete, findings);
        readEntry(reader);
    }
}

auto reportUnknownSections(const ParsedToml &text, const std::vector<std::string_view> &known,
                           std::string_view subject, bool areLists, FindingList &findings) -> void
{
    for (const auto &[key, node] : text.root) {
        const auto name = key.str();
        const auto isKnown = std::find(known.begin(), known.end(), name) != known.end();
        const auto isPlaceholder =
                !text.hasNoSyntaxErrors && name == ParsedToml::placeholderSection;
        if (isKnown || isPlaceholder) {
            continue;
        }
        const auto suggestion = std::string(nearestWord(name, known));
        const auto header = areLists ? "[[" + suggestion + "]]" : "[" + suggestion + "]";
        findings.add(positionOf(key.source()),
                     std::string(subject) + " no section \"" + std::string(name) + "\"",
                     suggestion.empty() ? "the sections are " + joinWords(known)
                                        : "did you mean " + header + "?");
    }
}

} // namespace flamingograde
