/// What an edit changes, in words, and how tables are printed.
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

/// The parts of a table, to be edited.
struct Parts
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

auto changesTo(const Parts &after) -> std::vector<std::string>
{
    std::vector<std::string> texts;
    for (const auto &change : diffTables(Parts().table(), after.table())) {
        texts.push_back(change.toString());
    }
    return texts;
}

/// Returns whether a change begins with `text`.
auto says(const std::vector<std::string> &changes, const std::string &text) -> bool
{
    return std::any_of(changes.begin(), changes.end(),
                       [&text](const auto &change) { return change.rfind(text, 0) == 0; });
}

} // namespace

TEST_CASE("equal tables have no changes", "[tablediff]")
{
    CHECK(changesTo(Parts()).empty());
}

TEST_CASE("plain edits are told field by field", "[tablediff]")
{
    Parts after;
    after.rows[0].weight = 4;
    after.rows[0].queue = 7;
    after.rows[1].deadline = std::chrono::seconds(9);
    after.upstreams[4].connections = 5;
    after.keys.push_back({ 2, {}, false });
    CHECK(changesTo(after)
          == std::vector<std::string> {
                  "token key 2 added, to verify only", "row \"resolutions\": weight 1 -> 4",
                  "row \"resolutions\": queue 100 -> 7", "row \"papers\": deadline_ms 5000 -> 9000",
                  "upstream \"p\": connections 2000 -> 5" });
}

TEST_CASE("added and removed entries are told", "[tablediff]")
{
    Parts after;
    after.rows[1] = makeRow("late", "paper", 3);
    after.upstreams[4] = makeUpstream("q", "paper", "z1", 16);
    after.upstreams.push_back(makeUpstream("r", "papr", "z1", 17));
    const auto changes = changesTo(after);
    CHECK(says(changes, "row \"late\" added: request of service \"paper\" at 10.1.1.3:80"));
    CHECK(says(changes, "warning: row \"papers\" removed: 10.1.1.2:80"));
    CHECK(says(changes, "upstream \"q\" added, active: service \"paper\" in zone z1 at "));
    CHECK(says(changes, "warning: upstream \"r\" added, active: service \"papr\""));
    CHECK(says(changes, "warning: upstream \"p\" removed from service \"paper\": it was active"));
}

TEST_CASE("an address that reaches another service is a warning", "[tablediff]")
{
    Parts after;
    after.upstreams[4].address = address(99);
    after.upstreams.push_back(makeUpstream("e", "live", "z1", 15));
    CHECK(says(changesTo(after), "warning: address 10.1.1.15:80: service \"paper\" -> \"live\""));
    Parts moved;
    moved.rows[1].serviceName = "live";
    moved.rows[1].service = ServiceId::ofName("live");
    CHECK(says(changesTo(moved), "warning: row \"papers\": service paper -> live"));
}

TEST_CASE("a service without active upstream is a warning", "[tablediff]")
{
    Parts after;
    after.upstreams[4].state = UpstreamState::Draining;
    const auto changes = changesTo(after);
    CHECK(says(changes, "upstream \"p\": state active -> draining"));
    CHECK(says(changes, "warning: service \"paper\" has no active upstream"));
}

TEST_CASE("a signing key that did not verify before is a warning", "[tablediff]")
{
    Parts after;
    after.keys = { { 1, {}, false }, { 2, {}, true } };
    const auto changes = changesTo(after);
    CHECK(says(changes, "token key 1: only verifies"));
    CHECK(says(changes, "warning: token key 2 added and signs at once"));
    after.keys = { { 1, { 7 }, true } };
    CHECK(says(changesTo(after), "warning: token key 1: another secret"));
    after.keys = { { 2, {}, true } };
    CHECK(says(changesTo(after), "warning: token key 1 removed"));
}

TEST_CASE("a key is rolled without a warning in three edits", "[tablediff]")
{
    const std::vector<std::vector<TokenKey>> steps { { { 1, {}, true } },
                                                     { { 1, {}, true }, { 2, { 7 }, false } },
                                                     { { 1, {}, false }, { 2, { 7 }, true } },
                                                     { { 2, { 7 }, true } } };
    Parts before;
    for (const auto &keys : steps) {
        Parts after;
        after.keys = keys;
        for (const auto &change : diffTables(before.table(), after.table())) {
            CHECK_FALSE(change.isDangerous());
        }
        before = after;
    }
}

TEST_CASE("slots that shift keys between zones are a warning", "[tablediff]")
{
    Parts after;
    after.upstreams[0].state = UpstreamState::Draining;
    const auto changes = changesTo(after);
    CHECK(says(changes, "service \"live\": active slots 8 -> 6"));
    // z1 falls from 1/2 to 1/3 of the keys, so that 1/6 of them move.
    CHECK(says(changes, "warning: service \"live\": about 17% of its idempotency keys move"));
    after.upstreams[2].state = UpstreamState::Draining;
    CHECK(changesTo(after).size() == 3);
    after.upstreams[1].state = UpstreamState::Draining;
    CHECK(says(changesTo(after), "warning: service \"live\": active slots 8 -> 2"));
}

TEST_CASE("a row that may be run more than once is a warning", "[tablediff]")
{
    Parts after;
    after.rows[0].idempotent = true;
    CHECK(says(changesTo(after), "warning: row \"resolutions\": idempotent false -> true"));
}

TEST_CASE("a table is printed in aligned columns without secrets", "[tableprinter]")
{
    Parts parts;
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
