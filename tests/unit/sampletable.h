/// Sample tables for tests: two services in one or two zones.
#pragma once

#include <flamingograde/tableparser.h>

#include <catch2/catch.hpp>

#include <string>

namespace flamingograde {

inline constexpr auto feedAddress = "10.9.0.1:80";
inline constexpr auto readAddress = "10.9.0.2:80";
inline constexpr auto voteAddress = "10.9.0.3:80";
inline constexpr auto uploadAddress = "10.9.0.4:80";

/// Returns the TOML of one upstream.
/// @param number the last byte of its IPv4 address.
/// @param more further fields, in TOML.
inline auto upstreamText(const std::string &name, const std::string &service,
                         const std::string &zone, int number, const std::string &more = {})
        -> std::string
{
    return "[[upstream]]\nname = \"" + name + "\"\nservice = \"" + service + "\"\nzone = \"" + zone
           + "\"\naddress = \"10.1.1." + std::to_string(number) + ":80\"\n" + more + "\n";
}

/// Returns the TOML of the four sample rows and of one token key for each digit of `keyIds`; the
/// last key signs.
/// @param voteMore further fields of the row "votes", in TOML.
inline auto rowsText(const std::string &keyIds = "1", const std::string &voteMore = {})
        -> std::string
{
    std::string text;
    for (const auto id : keyIds) {
        text += std::string("[[token_key]]\nid = ") + id
                + "\nsecret = \"00112233445566778899aabbccddee0" + id
                + "\"\nsigning = " + (id == keyIds.back() ? "true" : "false") + "\n";
    }
    const auto row = [&](const std::string &name, const std::string &service,
                         const std::string &address, const std::string &more) {
        text += "[[row]]\nname = \"" + name + "\"\nservice = \"" + service + "\"\naddress = \""
                + address + "\"\n" + more;
    };
    row("feed", "packs", feedAddress, "kind = \"feed\"\n");
    row("reads", "packs", readAddress, "kind = \"request\"\n");
    row("votes", "packs", voteAddress, "kind = \"request\"\nidempotent = false\n" + voteMore);
    row("papers", "intake", uploadAddress, "kind = \"upload\"\n");
    return text;
}

/// Parses `text`; fails the test if it has errors.
inline auto tableOf(const std::string &text) -> Table
{
    auto table = parseTable(text, "table");
    if (!table) {
        FAIL(table.error().front().toString());
    }
    return *table;
}

/// Returns the TOML of a table with three upstreams of "packs" and one of "intake" in each of the
/// zones a and b.
inline auto sampleTable() -> std::string
{
    auto text = rowsText();
    for (int i = 1; i <= 3; ++i) {
        text += upstreamText("pa" + std::to_string(i), "packs", "a", i);
        text += upstreamText("pb" + std::to_string(i), "packs", "b", 10 + i);
    }
    text += upstreamText("ia1", "intake", "a", 21);
    text += upstreamText("ib1", "intake", "b", 22);
    return text;
}

/// Returns the TOML of a table with three upstreams of "packs" and one of "intake" in zone a.
inline auto oneZoneTable() -> std::string
{
    auto text = rowsText();
    for (int i = 1; i <= 3; ++i) {
        text += upstreamText("pa" + std::to_string(i), "packs", "a", i);
    }
    return text + upstreamText("ia1", "intake", "a", 21);
}

/// Returns the TOML of a table whose row "votes" has a deadline of 300 s, longer than the stop
/// timeout of a host.
inline auto longDeadlineTable() -> std::string
{
    return rowsText("1", "deadline_ms = 300000\n") + upstreamText("pa1", "packs", "a", 1)
           + upstreamText("ia1", "intake", "a", 2);
}

} // namespace flamingograde
