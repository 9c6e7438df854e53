/// Builds a routing table from parsed TOML.
#include "table/tablereader.h"

#include "table/entries.h"
#include "table/formatting.h"

#include <flamingograde/config.h>

#include <sodium.h>

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

using Words = std::vector<std::string_view>;

constexpr std::string_view tokenKeySection = "token_key";
constexpr std::string_view rowSection = "row";
constexpr std::string_view upstreamSection = "upstream";
constexpr std::uint64_t tokenKeyIdMax = 255;

const Words sections { tokenKeySection, rowSection, upstreamSection };
const Words tokenKeyFields { "id", "secret", "signing" };
const Words rowFields { "name",    "service",    "address", "kind",        "idempotent", "weight",
                        "urgency", "concurrent", "queue",   "deadline_ms", "body_max" };
const Words upstreamFields {
    "name", "service", "zone", "address", "slots", "connections", "state"
};
const Words kindWords { "feed", "request", "upload" };
const Words stateWords { "active", "draining" };

auto lineText(TextPosition position) -> std::string
{
    return "line " + std::to_string(position.line);
}

} // namespace

auto TableReader::take() -> Table
{
    reportUnknownSections(this->text, sections, "a table has", true, this->findings);
    const auto readSection = [this](std::string_view section, ReadEntry readEntry) {
        forEachEntry(this->text, section, this->findings,
                     [this, readEntry](FieldReader &fields) { (this->*readEntry)(fields); });
    };
    readSection(tokenKeySection, &TableReader::readTokenKey);
    readSection(rowSection, &TableReader::readRow);
    readSection(upstreamSection, &TableReader::readUpstream);
    if (this->text.hasNoSyntaxErrors) {
        this->checkSigningKeys();
        this->checkRows();
    }
    return { std::move(this->rows), std::move(this->upstreams), std::move(this->keys) };
}

auto TableReader::readTokenKey(FieldReader &fields) -> void
{
    TokenKey key;
    fields.require("id");
    key.id = static_cast<std::uint8_t>(fields.number("id", { 0, tokenKeyIdMax, 0 }));
    this->readSecret(fields, key);
    key.signing = fields.flag("signing", false);
    fields.reportUnknownFields(tokenKeyFields);
    if (key.signing) {
        this->signingKeys.push_back(fields.position("signing"));
    }
    const auto position = fields.position("id");
    const auto *first = fields.has("id") ? this->keyIds.record(key.id, position) : nullptr;
    if (first != nullptr) {
        fields.addFinding("id", "is the same as in " + lineText(*first),
                          "give each key its own id");
    }
    this->keys.push_back(key);
}

auto TableReader::readSecret(FieldReader &fields, TokenKey &key) -> void
{
    const auto text = fields.text("secret");
    if (text.empty()) {
        return;
    }
    std::size_t length = 0;
    const auto result = sodium_hex2bin(key.secret.data(), key.secret.size(), text.data(),
                                       text.size(), nullptr, &length, nullptr);
    if (result == 0 && length == TokenKey::secretBytes
        && text.size() == 2 * TokenKey::secretBytes) {
        return;
    }
    fields.addFinding("secret", "is not a hexadecimal key of the required length",
                      "give " + std::to_string(2 * TokenKey::secretBytes) + " hexadecimal digits");
}

auto TableReader::readRow(FieldReader &fields) -> void
{
    Row row;
    row.line = fields.position().line;
    row.name = fields.name("name");
    row.id = RowId::ofName(row.name);
    row.serviceName = fields.name("service");
    row.service = ServiceId::ofName(row.serviceName);
    row.address = fields.address("address");
    fields.require("kind");
    row.kind = static_cast<RequestKind>(
            fields.enumValue("kind", kindWords, static_cast<std::size_t>(RequestKind::Request)));
    this->readLimits(fields, row);
    fields.reportUnknownFields(rowFields);
    this->checkName(fields, row.name);
    this->checkAddress(fields, row.address);
    this->checkService(fields, row.service, row.serviceName);
    this->checkId(fields, "name", this->rowIds.record(row.id, row.name));
    this->rowServices.push_back(fields.position("service"));
    this->rows.push_back(std::move(row));
}

auto TableReader::readLimits(FieldReader &fields, Row &row) -> void
{
    const auto number = [&fields](std::string_view key, NumberRange range) {
        return static_cast<std::uint32_t>(fields.number(key, range));
    };
    row.idempotent = fields.flag("idempotent", true);
    row.weight = number("weight", { 1, config::weightMax, row.weight });
    row.urgency = number("urgency", { 0, config::urgencyMax, row.urgency });
    row.concurrent = number("concurrent", { 0, config::concurrentMax, row.concurrent });
    row.queue = number("queue", { 0, config::queueMax, row.queue });
    const NumberRange deadlineRange { 1, toMilliseconds(config::deadlineMax),
                                      toMilliseconds(row.deadline) };
    row.deadline = std::chrono::milliseconds(fields.number("deadline_ms", deadlineRange));
    row.bodyMax = fields.number("body_max", { 0, config::bodyBytesMax, row.bodyMax });
    if (row.kind == RequestKind::Feed && !row.idempotent) {
        fields.addFinding("idempotent", "is false, but a feed is always idempotent",
                          "leave it out, or give kind \"request\"");
    }
}

auto TableReader::readUpstream(FieldReader &fields) -> void
{
    Upstream upstream;
    upstream.line = fields.position().line;
    upstream.name = fields.name("name");
    upstream.id = UpstreamId::ofName(upstream.name);
    upstream.serviceName = fields.name("service");
    upstream.service = ServiceId::ofName(upstream.serviceName);
    upstream.zoneName = fields.name("zone");
    upstream.zone = ZoneId::ofName(upstream.zoneName);
    upstream.address = fields.address("address");
    upstream.slots = static_cast<std::uint32_t>(
            fields.number("slots", { 1, config::slotsMax, upstream.slots }));
    upstream.connections = static_cast<std::uint32_t>(
            fields.number("connections", { 1, config::connectionsMax, upstream.connections }));
    upstream.state = static_cast<UpstreamState>(
            fields.enumValue("state", stateWords, static_cast<std::size_t>(UpstreamState::Active)));
    fields.reportUnknownFields(upstreamFields);
    this->checkName(fields, upstream.name);
    this->checkAddress(fields, upstream.address);
    this->checkService(fields, upstream.service, upstream.serviceName);
    this->checkId(fields, "name", this->upstreamIds.record(upstream.id, upstream.name));
    this->checkId(fields, "zone", this->zoneIds.record(upstream.zone, upstream.zoneName));
    this->checkId(fields, "zone",
                  this->cellIds.record(upstream.cell(),
                                       upstream.serviceName + " in " + upstream.zoneName));
    this->upstreams.push_back(std::move(upstream));
}

auto TableReader::checkName(FieldReader &fields, const std::string &name) -> void
{
    if (name.empty()) {
        return;
    }
    const auto *first = this->names.record(name, fields.position("name"));
    if (first != nullptr) {
        fields.addFinding("name", "is the same as in " + lineText(*first),
                          "give each row and upstream its own name");
    }
}

auto TableReader::checkAddress(FieldReader &fields, Address address) -> void
{
    if (!address.isValid()) {
        return;
    }
    const auto *first = this->addresses.record(address, fields.position("address"));
    if (first != nullptr) {
        fields.addFinding("address", "is the same as in " + lineText(*first),
                          "give each row and upstream its own address");
    }
}

auto TableReader::checkService(FieldReader &fields, ServiceId id, const std::string &name) -> void
{
    this->checkId(fields, "service", this->serviceIds.record(id, name));
}

auto TableReader::checkId(FieldReader &fields, std::string_view key, std::string_view other) -> void
{
    if (!other.empty()) {
        fields.addFinding(key, "maps to the same id as \"" + std::string(other) + "\"",
                          "change a letter of the name");
    }
}

auto TableReader::checkSigningKeys() -> void
{
    if (this->signingKeys.empty()) {
        this->findings.add({ 1, 1 }, "no token key signs",
                           "add \"signing = true\" to one [[token_key]]");
        return;
    }
    for (std::size_t i = 1; i < this->signingKeys.size(); ++i) {
        this->findings.add(this->signingKeys[i],
                           "signing is true here and in " + lineText(this->signingKeys[0]),
                           "let exactly one token key sign");
    }
}

auto TableReader::checkRows() -> void
{
    if (this->rows.empty()) {
        this->findings.add({ 1, 1 }, "the table has no row", "add a [[row]]");
    }
    std::unordered_set<ServiceId> servicesWithUpstream;
    for (const auto &upstream : this->upstreams) {
        servicesWithUpstream.insert(upstream.service);
    }
    for (std::size_t i = 0; i < this->rows.size(); ++i) {
        const auto &row = this->rows[i];
        if (!row.serviceName.empty() && servicesWithUpstream.count(row.service) == 0) {
            this->findings.add(this->rowServices[i],
                               "service \"" + row.serviceName + "\" has no upstream",
                               "add an [[upstream]] for it, or correct the name");
        }
    }
}

} // namespace flamingograde
