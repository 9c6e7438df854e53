/// Builds a routing table from parsed TOML.
#pragma once

#include "table/findinglist.h"
#include "table/firstuses.h"
#include "table/idnames.h"
#include "table/parsedtoml.h"

#include <flamingograde/address.h>
#include <flamingograde/row.h>
#include <flamingograde/table.h>
#include <flamingograde/tokenkey.h>
#include <flamingograde/upstream.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace flamingograde {

class FieldReader;

/// Reads the entries of one table and validates each entry, then the entries against each other.
/// @remarks Not thread safe.
class TableReader
{
public:
    /// @param parsed the parsed text. Precondition: it outlives this reader, as does `list`.
    /// @param list receives the findings.
    TableReader(const ParsedToml &parsed, FindingList &list) : text(parsed), findings(list) {}

    /// Reads and validates all entries. Precondition: not called before.
    /// @returns the table; valid only if the list has no findings.
    [[nodiscard]] auto take() -> Table;

private:
    using ReadEntry = void (TableReader::*)(FieldReader &);

    auto readTokenKey(FieldReader &fields) -> void;
    auto readSecret(FieldReader &fields, TokenKey &key) -> void;
    auto readRow(FieldReader &fields) -> void;
    auto readLimits(FieldReader &fields, Row &row) -> void;
    auto readUpstream(FieldReader &fields) -> void;
    auto checkName(FieldReader &fields, const std::string &name) -> void;
    auto checkAddress(FieldReader &fields, Address address) -> void;
    auto checkService(FieldReader &fields, ServiceId id, const std::string &name) -> void;
    auto checkId(FieldReader &fields, std::string_view key, std::string_view other) -> void;
    auto checkSigningKeys() -> void;
    auto checkRows() -> void;

    const ParsedToml &text;
    FindingList &findings;
    std::vector<Row> rows;
    std::vector<TextPosition> rowServices; ///< Position of each row's service name.
    std::vector<Upstream> upstreams;
    std::vector<TokenKey> keys;
    std::vector<TextPosition> signingKeys; ///< Position of each `signing = true`.
    FirstUses<std::string> names;
    FirstUses<Address> addresses;
    FirstUses<std::uint8_t> keyIds;
    IdNames<RowId> rowIds;
    IdNames<UpstreamId> upstreamIds;
    IdNames<ServiceId> serviceIds;
    IdNames<ZoneId> zoneIds;
    IdNames<CellId> cellIds;
};

} // namespace flamingograde
