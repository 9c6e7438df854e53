/// Parses a routing table from TOML.
#include <flamingograde/tableparser.h>

#include "table/findinglist.h"
#include "table/parsedtoml.h"
#include "table/tablereader.h"

#include <flamingograde/config.h>

#include <string>

namespace flamingograde {

auto parseTable(std::string_view text, std::string_view file) -> tl::expected<Table, Findings>
{
    FindingList findings(file);
    if (text.size() > config::tableBytesMax) {
        findings.add({ 1, 1 },
                     "the table has " + std::to_string(text.size()) + " bytes, more than "
                             + std::to_string(config::tableBytesMax),
                     "split it by service");
        return tl::unexpected(findings.takeSorted());
    }
    const auto parsed = parseTomlWithErrors(text, findings);
    auto table = TableReader(parsed, findings).take();
    if (!findings.isEmpty()) {
        return tl::unexpected(findings.takeSorted());
    }
    return table;
}

} // namespace flamingograde
