/// Tests for the comparison of two tables and for printing a table.
#include <flamingograde/table.h>
#include <flamingograde/tablediff.h>
#include <flamingograde/tableparser.h>
#include <flamingograde/tableprinter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace flamingograde;

namespace {

constexpr std::uint16_t port = 80;

auto address(std::uint32_t last) -> Address
{
    return { 0x0A010100 + last, port };
}

auto makeRow(const std::string &name, const std::string &service, std::uint32_t last) -> Row
{
    Row row;
    row.name = name;
    row.id = RowId::ofName(name);
    row.serviceName = service;
    row.service = ServiceId::ofName(service);
    row.address = address(last);
    row.idempotent = false;
    return row;
}

auto makeUpstream(const std::string &name, const std::string &service, const std::string &zone,
                  std::uint32_t last) -> Upstream
{
    Upstream upstream;
    upstream.name = name;
    upstream.id = UpstreamId::ofName(name);
    upstream.serviceName = service;
    upstream.service = ServiceId::ofName(service);
    upstream.zoneName = zone;
    upstream.zone = ZoneId::ofName(zone);
    upstream.address = address(last);
    return upstream;
}

/// The entries of a sample table, for a test to edit.
struct TableParts
{
    std::vector<Row> rows { makeRow("resolutions", "live", 1), makeRow("papers", "paper", 2) };
    std::vector<Upstream> upstreams { makeUpstream("a", "live", "z1", 11),
                                      makeUpstream("b", "live", "z1", 12),
                                      makeUpstream("c", "live", "z2", 13),
                                      makeUpstream("d", "live", "z2", 14),
                                      makeUpstream("p", "paper", "z1", 15) };
    std::vector<TokenKey> keys { { 1, {}, true } };

    [[nodiscard]] auto table() const -> Table
    {
        return { this->rows, this->upstreams, this->keys };
    }
};

/// Returns the changes from the sample table to `after`.
auto changesTo(const TableParts &after) -> std::vector<std::string>
{
    std::vector<std::string> texts;
    for (const auto &change : diffTables(TableParts().table(), after.table())) {
        texts.push_back(change.toString());
    }
    return texts;
}

/// Returns whether the text of a change begins with `text`.
auto hasChange(const std::vector<std::string> &changes, const std::string &text) -> bool
{
    return std::any_of(changes.begin(), changes.end(),
                       [&text](const auto &change) { return change.rfind(text, 0) == 0; });
}

} // namespace

TEST_CASE("the diff of equal tables is empty", "[tablediff]")
{
    CHECK(changesTo(TableParts()).empty());
}

TEST_CASE("the diff lists each changed field", "[tablediff]")
{
    TableParts after;
    after.rows[0].weight = 4;
    after.rows[0].queue = 7;
    after.rows[1].deadline = std::chrono::seconds(9);
    after.upstreams[4].connections = 5;
    after.keys.push_back({ 2, {}, false });
    CHECK(changesTo(after)
          == std::vector<std::string> {
                  "token key 2 added, for verification only", "row \"resolutions\": weight 1 -> 4",
                  "row \"resolutions\": queue 100 -> 7", "row \"papers\": deadline_ms 5000 -> 9000",
                  "upstream \"p\": connections 2000 -> 5" });
}

TEST_CASE("the diff lists added and removed entries", "[tablediff]")
{
    TableParts after;
    after.rows[1] = makeRow("late", "paper", 3);
    after.upstreams[4] = makeUpstream("q", "paper", "z1", 16);
    after.upstreams.push_back(makeUpstream("r", "papr", "z1", 17));
    const auto changes = changesTo(after);
    CHECK(hasChange(changes, "row \"late\" added: request of service \"paper\" at 10.1.1.3:80"));
    CHECK(hasChange(changes, "warning: row \"papers\" removed: 10.1.1.2:80"));
    CHECK(hasChange(changes, "upstream \"q\" added, active: service \"paper\" in zone z1 at "));
    CHECK(hasChange(changes, "warning: upstream \"r\" added, active: service \"papr\""));
    CHECK(hasChange(changes,
                    "warning: upstream \"p\" removed from service \"paper\": it was active"));
}

TEST_CASE("an address that moves to another service is a warning", "[tablediff]")
{
    TableParts after;
    after.upstreams[4].address = address(99);
    after.upstreams.push_back(makeUpstream("e", "live", "z1", 15));
    CHECK(hasChange(changesTo(after),
                    "warning: address 10.1.1.15:80: service \"paper\" -> \"live\""));
    TableParts moved;
    moved.rows[1].serviceName = "live";
    moved.rows[1].service = ServiceId::ofName("live");
    CHECK(hasChange(changesTo(moved), "warning: row \"papers\": service paper -> live"));
}

TEST_CASE("a service without an active upstream is a warning", "[tablediff]")
{
    TableParts after;
    after.upstreams[4].state = UpstreamState::Draining;
    const auto changes = changesTo(after);
    CHECK(hasChange(changes, "upstream \"p\": state active -> draining"));
    CHECK(hasChange(changes, "warning: service \"paper\" has no active upstream"));
}

TEST_CASE("a signing key that hosts could not verify before is a warning", "[tablediff]")
{
    TableParts after;
    after.keys = { { 1, {}, false }, { 2, {}, true } };
    const auto changes = changesTo(after);
    CHECK(hasChange(changes, "token key 1: no longer signs tokens, only verifies them"));
    CHECK(hasChange(changes, "warning: token key 2 added and signs at once"));
    after.keys = { { 1, { 7 }, true } };
    CHECK(hasChange(changesTo(after), "warning: token key 1: secret changed"));
    after.keys = { { 2, {}, true } };
    CHECK(hasChange(changesTo(after), "warning: token key 1 removed"));
}

TEST_CASE("no warning is given when a token key is rotated in three edits", "[tablediff]")
{
    const std::vector<std::vector<TokenKey>> steps { { { 1, {}, true } },
                                                     { { 1, {}, true }, { 2, { 7 }, false } },
                                                     { { 1, {}, false }, { 2, { 7 }, true } },
                                                     { { 2, { 7 }, true } } };
    TableParts before;
    for (const auto &keys : steps) {
        TableParts after;
        after.keys = keys;
        for (const auto &change : diffTables(before.table(), after.table())) {
            CHECK_FALSE(change.isDangerous());
        }
        before = after;
    }
}

TEST_CASE("a change of slots that moves idempotency keys between zones is a warning", "[tablediff]")
{
    TableParts after;
    after.upstreams[0].state = UpstreamState::Draining;
    const auto changes = changesTo(after);
    CHECK(hasChange(changes, "service \"live\": active slots 8 -> 6"));
    // The share of z1 falls from 1/2 to 1/3 of the keys, so 1/6 of all keys move.
    CHECK(hasChange(changes, "warning: service \"live\": about 17% of its idempotency keys move"));
    after.upstreams[2].state = UpstreamState::Draining;
    CHECK(changesTo(after).size() == 3);
    after.upstreams[1].state = UpstreamState::Draining;
    CHECK(hasChange(changesTo(after), "warning: service \"live\": active slots 8 -> 2"));
}

TEST_CASE("making a row idempotent is a warning", "[tablediff]")
{
    TableParts after;
    after.rows[0].idempotent = true;
    CHECK(hasChange(changesTo(after), "warning: row \"resolutions\": idempotent false -> true"));
}

TEST_CASE("a table is printed in aligned columns without secrets", "[tableprinter]")
{
    TableParts parts;
    parts.keys[0].secret.fill(0xAB);
    parts.upstreams[0].state = UpstreamState::Draining;
    const auto text = printTable(parts.table());
    CHECK(text.find("ROW          SERVICE  ADDRESS      KIND ") == 0);
    CHECK(text.find("\npapers       paper    10.1.1.2:80  request  false ") != std::string::npos);
    CHECK(text.find("\na         live     z1    10.1.1.11:80      2         2000  draining\n")
          != std::string::npos);
    CHECK(text.find("\nlive     z1            2       1      2         2000    33%\n")
          != std::string::npos);
    CHECK(text.find("abab") == std::string::npos);
}
