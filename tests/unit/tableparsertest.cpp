/// Tests for the table parser: the values it reads, and the message and position of each error.
#include "tabletext.h"

#include "table/idnames.h"

#include <flamingograde/config.h>
#include <flamingograde/tablediff.h>
#include <flamingograde/tableparser.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>
#include <tuple>

using namespace flamingograde;

namespace {

const std::string validText = R"([[token_key]]
id      = 1
secret  = "00112233445566778899aabbccddeeff"
signing = true

[[token_key]]
id      = 2
secret  = "0f0e0d0c0b0a09080706050403020100"

[[row]]
name        = "feed"
service     = "live"
address     = "10.9.0.1:80"
kind        = "feed"

[[row]]
name        = "resolutions"
service     = "live"
address     = "10.9.0.2:80"
kind        = "request"
idempotent  = false
weight      = 3
urgency     = 5
concurrent  = 7
queue       = 8
deadline_ms = 900
body_max    = 1000

[[upstream]]
name        = "up-1"
service     = "live"
zone        = "z1"
address     = "10.1.1.1:80"
slots       = 4
connections = 50
state       = "draining"

[[upstream]]
name        = "up-2"
service     = "live"
zone        = "z2"
address     = "10.1.1.2:80"
)";

auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// Returns the line and column of the first `mark` in `text`, counted from 1.
auto placeOf(const std::string &text, const std::string &mark)
        -> std::pair<std::uint32_t, std::uint32_t>
{
    const auto at = text.find(mark);
    REQUIRE(at != std::string::npos);
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<long>(at), '\n');
    const auto lineStart = at == 0 ? std::string::npos : text.rfind('\n', at - 1);
    const auto column = lineStart == std::string::npos ? at + 1 : at - lineStart;
    return { static_cast<std::uint32_t>(line), static_cast<std::uint32_t>(column) };
}

auto isSorted(const Findings &findings) -> bool
{
    return std::is_sorted(findings.begin(), findings.end(), [](const auto &a, const auto &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
}

auto readExample(const std::string &name) -> std::string
{
    std::ifstream file(std::string(FLAMINGOGRADE_SOURCE_FOLDER) + "/examples/" + name);
    REQUIRE(file.is_open());
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

/// An edit of `validText` that causes exactly one error.
struct InvalidEdit
{
    std::string from;
    std::string to;
    std::string mark;    ///< The text at whose start the finding is located.
    std::string message; ///< A part of the message.
    std::string hint;    ///< A part of the hint.
};

const std::vector<InvalidEdit> invalidEdits {
    { "\"feed\"", "\"a b\"", "\"a b\"", "not a name", "letters" },
    { "\"feed\"", "\"" + std::string(65, 'x') + "\"", "\"xx", "not a name", "1 to 64" },
    { "\"feed\"", "7", "7\nservice", "not a text string", "quotation" },
    { "\"up-2\"", "\"up-1\"", "\"up-1\"\nservice     = \"live\"\nzone        = \"z2", "line 30",
      "own name" },
    { "\"up-2\"", "\"feed\"", "\"feed\"\nservice     = \"live\"\nzone        = \"z2", "line 11",
      "own name" },
    { "10.9.0.2", "10.9.0.1", "\"10.9.0.1:80\"\nkind        = \"request", "line 13",
      "own address" },
    { "\"10.1.1.2:80\"", "\"10.9.0.1:80\" # again", "\"10.9.0.1:80\" # again",
      "address is the same as in line 13", "own address" },
    { "10.9.0.2:80", "10.9.0:80", "\"10.9.0:80", "no IPv4", "IP:PORT" },
    { "10.9.0.2:80", "10.9.0.2", "\"10.9.0.2\"", "no port", "IP:PORT" },
    { "10.9.0.2:80", "10.9.0.2:0", "\"10.9.0.2:0", "port 0", "1 to 65535" },
    { "10.9.0.2:80", "10.9.0.2:65536", "\"10.9.0.2:65536", "no port from", "IP:PORT" },
    { "10.9.0.2:80", "0.0.0.0:80", "\"0.0.0.0", "no host", "IP:PORT" },
    { "10.9.0.2:80", "239.0.0.2:80", "\"239", "unicast address of a host", "unicast" },
    { "kind        = \"feed\"\n", "", "[[row]]", "has no kind", "add a line" },
    { "zone        = \"z2\"\n", "", "[[upstream]]\nname        = \"up-2", "no zone", "add" },
    { "\"request\"", "\"reqest\"", "\"reqest\"", "kind", "\"request\"?" },
    { "\"draining\"", "\"off\"", "\"off\"", "state", "active or draining" },
    { "kind        = \"feed\"", "kind = \"feed\"\nidempotent = false", "false", "always idempotent",
      "leave it out" },
    { "weight      = 3", "weight = 0", "0\nurgency", "weight is 0", "from 1 to 1000" },
    { "weight      = 3", "weight = 1001", "1001", "weight is 1001", "from 1 to 1000" },
    { "weight      = 3", "weight = 3.0", "3.0", "whole number", "from 1 to 1000" },
    { "urgency     = 5", "urgency = 10", "10\nconcurrent", "urgency is 10", "0 to 9" },
    { "deadline_ms = 900", "deadline_ms = 0", "0\nbody", "deadline_ms is 0", "1 to 3600000" },
    { "body_max    = 1000", "body_max = 67108865", "67108865", "body_max", "0 to 67108864" },
    { "slots       = 4", "slots = -1", "-1\nconn", "slots is -1", "from 1 to" },
    { "idempotent  = false", "idempotent = \"no\"", "\"no\"", "neither true nor false", "true" },
    { "weight", "wieght", "wieght", "no field \"wieght\"", "\"weight\"?" },
    { "urgency", "colour", "colour", "no field", "its fields are" },
    { "[[upstream]]\nname        = \"up-2", "[[upstraem]]\nname        = \"up-2", "upstraem",
      "no section", "[[upstream]]?" },
    { "id      = 2", "id      = 1", "1\nsecret  = \"0f", "line 2", "own id" },
    { "id      = 2", "id      = 256", "256", "id is 256", "0 to 255" },
    { "aabbccddeeff\"", "aabbccddee\"", "\"00112233", "secret", "32 hexadecimal" },
    { "aabbccddeeff\"", "aabbccddeexx\"", "\"00112233", "secret", "32 hexadecimal" },
    { "signing = true", "signing = false", "[[token_key]]", "no token key signs",
      "signing = true" },
    { "id      = 2", "id = 2\nsigning = true", "true\nsecret  = \"0f", "line 4", "exactly one" },
    { "service     = \"live\"\naddress     = \"10.9.0.2", "service = \"lve\"\naddress = \"10.9.0.2",
      "\"lve\"", "service \"lve\" has no upstream", "[[upstream]]" },
    { "weight      = 3", "weight = = 3", "= 3", "", "TOML" },
    { "weight      = 3", "name = 3", "3\nurgency", "redefine", "TOML" },
};

} // namespace

TEST_CASE("every field of a valid table is read", "[table]")
{
    const auto table = parseTable(validText, "good");
    REQUIRE(table);
    REQUIRE(table->rows().size() == 2);
    const auto &row = table->rows()[1];
    CHECK(row.id == RowId::ofName("resolutions"));
    CHECK(row.service == ServiceId::ofName("live"));
    CHECK(row.kind == RequestKind::Request);
    CHECK_FALSE(row.idempotent);
    CHECK(std::tuple(row.weight, row.urgency, row.concurrent, row.queue)
          == std::tuple(3U, 5U, 7U, 8U));
    CHECK(row.deadline == std::chrono::milliseconds(900));
    CHECK(row.bodyMax == 1000);
    CHECK(row.line == 16);
    const auto &upstream = table->upstreams()[0];
    CHECK(std::tuple(upstream.slots, upstream.connections, upstream.state)
          == std::tuple(4U, 50U, UpstreamState::Draining));
    CHECK(table->rowAt(row.address) == &row);
    CHECK(table->upstream(upstream.id) == &upstream);
    CHECK(table->upstreamsOf(row.service) == std::vector<std::size_t> { 0, 1 });
    CHECK(table->upstreamsOf(upstream.cell()) == std::vector<std::size_t> { 0 });
    CHECK(table->zonesOf(row.service)
          == std::vector<ZoneId> { ZoneId::ofName("z1"), ZoneId::ofName("z2") });
    CHECK(table->rowAt(upstream.address) == nullptr);
    CHECK(table->zonesOf(ServiceId::ofName("none")).empty());
    CHECK(table->tokenKeys()[0].signing);
    CHECK(table->tokenKeys()[1].secret[0] == 0x0F);
}

TEST_CASE("each error is reported once, with its position and a hint", "[table]")
{
    for (const auto &edit : invalidEdits) {
        const auto text = replaced(validText, edit.from, edit.to);
        INFO(edit.to);
        const auto table = parseTable(text, "bad.toml");
        REQUIRE_FALSE(table);
        REQUIRE(table.error().size() == 1);
        const auto &finding = table.error().front();
        INFO(finding.toString());
        const auto [line, column] = placeOf(text, edit.mark);
        CHECK(finding.line == line);
        CHECK(finding.column == column);
        CHECK(finding.message.find(edit.message) != std::string::npos);
        CHECK(finding.hint.find(edit.hint) != std::string::npos);
    }
}

TEST_CASE("a text with many errors causes one finding for each, sorted by position", "[table]")
{
    auto text = validText;
    std::size_t edits = 0;
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
                 { "id      = 2", "id = 999" },
                 { "\"10.9.0.1:80\"", "\"nowhere\"" },
                 { "weight      = 3", "weight = 5000" },
                 { "urgency", "urgencey" },
                 { "concurrent  = 7", "concurrent = seven" },
                 { "queue       = 8", "queue =" },
                 { "\"z1\"", "'z 1'" },
                 { "slots       = 4", "slots = 4 4" },
                 { "\"draining\"", "\"drained\"" },
                 { "10.1.1.2", "10.1.1.1" } }) {
        text = replaced(text, from, to);
        ++edits;
    }
    const auto table = parseTable(text, "bad.toml");
    REQUIRE_FALSE(table);
    CHECK(table.error().size() == edits);
    CHECK(isSorted(table.error()));
    CHECK(table.error().front().toString()
          == "bad.toml:7:6: id is 999, out of range (give a whole number from 0 to 255)");
}

TEST_CASE("a section header that cannot be parsed does not hide errors in other sections",
          "[table]")
{
    const auto text = replaced(replaced(validText, "[[row]]", "[[row"), "\"z2\"", "2");
    const auto table = parseTable(text, "bad.toml");
    REQUIRE_FALSE(table);
    REQUIRE(table.error().size() == 2);
    CHECK(table.error()[0].line == placeOf(text, "[[row").first);
    CHECK(table.error()[1].message == "zone is not a text string");
}

TEST_CASE("section headers with single brackets are reported", "[table]")
{
    auto text = validText;
    for (int i = 0; i < 2; ++i) {
        text = replaced(replaced(text, "[[row]]", "[row]"), "[[upstream]]", "[upstream]");
    }
    const auto table = parseTable(text, "bad.toml");
    REQUIRE_FALSE(table);
    REQUIRE(table.error().size() == 4);
    CHECK(table.error()[0].hint == "begin each entry with [[row]]");
    CHECK(table.error()[3].message.find("redefine") != std::string::npos);
}

TEST_CASE("a table that is empty, too large or without lists of entries is refused", "[table]")
{
    const auto empty = parseTable("", "empty");
    REQUIRE_FALSE(empty);
    CHECK(empty.error().size() == 2);
    const auto large = parseTable(std::string(config::tableBytesMax + 1, '\n'), "large");
    REQUIRE_FALSE(large);
    CHECK(large.error()[0].toString()
          == "large:1:1: the table has 1000001 bytes, more than 1000000 (split it by service)");
    const auto single = parseTable("row = 3\nupstream = [1]\n[token_key]\n", "single");
    REQUIRE_FALSE(single);
    CHECK(single.error().size() == 5);
}

TEST_CASE("a large text of nothing but errors is refused with a limited number of findings",
          "[table]")
{
    std::string headers;
    while (headers.size() + 8 < config::tableBytesMax) {
        headers += "[[row]]\n";
    }
    const auto table = parseTable(headers, "headers");
    REQUIRE_FALSE(table);
    CHECK(table.error().size() == config::findingsMax + 1);
    CHECK(table.error().back().hint == "fix these first");
    const auto broken = parseTable(std::string(config::tableBytesMax, '['), "broken");
    REQUIRE_FALSE(broken);
    const auto lines = parseTable(replaced(headers, "[[row]]", "x") + "=", "lines");
    REQUIRE_FALSE(lines);
    CHECK(lines.error().front().line == 1);
}

TEST_CASE("IdNames returns the first name when two names have the same id", "[table]")
{
    IdNames<RowId> names;
    CHECK(names.record(RowId(7), "a").empty());
    CHECK(names.record(RowId(7), "a").empty());
    CHECK(names.record(RowId(7), "b") == "a");
}

TEST_CASE("a table without an active upstream is valid", "[table]")
{
    CHECK(parseTable(
            replaced(validText, "\"10.1.1.2:80\"", "\"10.1.1.2:80\"\nstate = \"draining\""),
            "drained"));
}

TEST_CASE("parsing a written table returns an equal table", "[table]")
{
    for (const auto &text : { validText, readExample("association.toml"),
                              readExample("hamsaya.toml"), writeTable(makeTable(1, 20, 10, 3)) }) {
        const auto table = parseTable(text, "text");
        REQUIRE(table);
        const auto again = parseTable(writeTable(*table), "again");
        REQUIRE(again);
        CHECK(again->upstreams().size() == table->upstreams().size());
        CHECK(diffTables(*table, *again).empty());
    }
}

TEST_CASE("the example tables have no errors and the expected number of entries", "[table]")
{
    for (const auto &[file, zones, service] :
         { std::tuple { "association.toml", 4U, "live-pack" },
           std::tuple { "hamsaya.toml", 3U, "notice-desk" } }) {
        const auto table = parseTable(readExample(file), file);
        REQUIRE(table);
        CHECK(table->rows().size() == 5);
        CHECK(table->upstreams().size() == 18);
        CHECK(table->upstreamsOf(ServiceId::ofName(service)).size() == 14);
        CHECK(table->zonesOf(ServiceId::ofName(service)).size() == zones);
    }
}

TEST_CASE("parsing randomly damaged tables does not throw, and its findings are sorted", "[table]")
{
    constexpr int mutations = 5000;
    constexpr std::string_view characters = "[]\"'=.{}#\\\n\t \x01\x80\xff"
                                            "0-ex,";
    const auto example = readExample("association.toml");
    std::mt19937 random(11);
    std::size_t refused = 0;
    for (int i = 0; i < mutations; ++i) {
        auto text = i % 2 == 0 ? validText : example;
        for (auto edits = 1 + random() % 8; edits > 0; --edits) {
            const auto at = random() % text.size();
            const auto length = random() % 12;
            switch (random() % 4) {
            case 0:
                text.erase(at, length);
                break;
            case 1:
                text.insert(at, text.substr(random() % text.size(), length));
                break;
            case 2:
                text[at] = static_cast<char>(random());
                break;
            default:
                text.insert(at, 1 + random() % 3, characters[random() % characters.size()]);
            }
        }
        tl::expected<Table, Findings> table;
        REQUIRE_NOTHROW(table = parseTable(text, "damaged"));
        if (!table) {
            ++refused;
            REQUIRE_FALSE(table.error().empty());
            REQUIRE(isSorted(table.error()));
        }
    }
    CHECK(refused > mutations / 2);
}
