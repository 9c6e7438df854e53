/// Builds tables and writes them as TOML, for tests and benchmarks.
#pragma once

#include "table/formatting.h"

#include <flamingograde/table.h>

#include <cstddef>
#include <sstream>
#include <string>

namespace flamingograde {

/// Returns `table` as TOML that `parseTable` accepts.
inline auto writeTable(const Table &table) -> std::string
{
    std::ostringstream text;
    for (const auto &key : table.tokenKeys()) {
        text << "[[token_key]]\nid = " << +key.id << "\nsecret = \"" << std::hex;
        for (const auto byte : key.secret) {
            text << (byte >> 4U) << (byte & 15U);
        }
        text << std::dec << "\"\nsigning = " << toString(key.signing) << "\n";
    }
    for (const auto &row : table.rows()) {
        text << "[[row]]\nname = \"" << row.name << "\"\nservice = \"" << row.serviceName
             << "\"\naddress = \"" << row.address.toString() << "\"\nkind = \""
             << toString(row.kind) << "\"\nidempotent = " << toString(row.idempotent)
             << "\nweight = " << row.weight << "\nurgency = " << row.urgency
             << "\nconcurrent = " << row.concurrent << "\nqueue = " << row.queue
             << "\ndeadline_ms = " << toMilliseconds(row.deadline) << "\nbody_max = " << row.bodyMax
             << "\n";
    }
    for (const auto &upstream : table.upstreams()) {
        text << "[[upstream]]\nname = \"" << upstream.name << "\"\nservice = \""
             << upstream.serviceName << "\"\nzone = \"" << upstream.zoneName << "\"\naddress = \""
             << upstream.address.toString() << "\"\nslots = " << upstream.slots
             << "\nconnections = " << upstream.connections << "\nstate = \""
             << toString(upstream.state) << "\"\n";
    }
    return text.str();
}

/// Returns one part of a large table: `services` services, each with one row and
/// `upstreamsPerService` upstreams, which are spread over `zones` zones. The ids are not set;
/// `parseTable` sets them.
/// @param part the number of the part; names and addresses differ between parts.
inline auto makeTable(std::size_t part, std::size_t services, std::size_t upstreamsPerService,
                      std::size_t zones) -> Table
{
    constexpr std::uint16_t port = 80;
    std::vector<Row> rows;
    std::vector<Upstream> upstreams;
    auto rowIp = 0x0A000001U + static_cast<std::uint32_t>(part << 16U);
    auto upstreamIp = 0x30000001U + static_cast<std::uint32_t>(part << 16U);
    for (std::size_t i = 0; i < services; ++i) {
        const auto service = "service-" + std::to_string(part) + "-" + std::to_string(i);
        Row row;
        row.name = "row-" + std::to_string(part) + "-" + std::to_string(i);
        row.serviceName = service;
        row.address = { rowIp++, port };
        rows.push_back(row);
        for (std::size_t j = 0; j < upstreamsPerService; ++j) {
            Upstream upstream;
            upstream.name = service + "-" + std::to_string(j);
            upstream.serviceName = service;
            upstream.zoneName = "zone-" + std::to_string(j % zones);
            upstream.address = { upstreamIp++, port };
            upstreams.push_back(upstream);
        }
    }
    TokenKey key;
    key.signing = true;
    return { std::move(rows), std::move(upstreams), { key } };
}

} // namespace flamingograde
