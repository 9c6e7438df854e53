/// Reads and validates the fields of one TOML entry.
#include "table/fieldreader.h"

#include "table/nearest.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingograde {

namespace {

constexpr std::string_view nameCharacters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";
constexpr std::uint32_t firstMulticastIp = 0xE0000000;

auto quoted(std::string_view text) -> std::string
{
    return "\"" + std::string(text) + "\"";
}

auto isValidName(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= config::nameBytesMax
           && text.find_first_not_of(nameCharacters) == std::string_view::npos;
}

} // namespace

auto positionOf(const toml::source_region &region) -> TextPosition
{
    return { region.begin.line, region.begin.column };
}

auto FieldReader::name(std::string_view key) -> std::string
{
    const auto text = this->text(key);
    if (!this->has(key) || isValidName(text)) {
        return std::string(text);
    }
    if (this->fields.get(key)->is_string()) {
        this->addFinding(key, "is not a name",
                         "give 1 to " + std::to_string(config::nameBytesMax)
                                 + " letters, digits, \".\", \"-\" or \"_\"");
    }
    return {};
}

auto FieldReader::address(std::string_view key) -> Address
{
    const auto text = this->text(key);
    if (!this->has(key) || !this->fields.get(key)->is_string()) {
        return {};
    }
    const auto address = Address::parse(text);
    if (!address) {
        this->addFinding(key, address.error(), "give IP:PORT, such as \"10.0.0.1:80\"");
        return {};
    }
    if (address->port == 0) {
        this->addFinding(key, "has port 0", "give a port from 1 to 65535");
        return {};
    }
    if (address->ip >= firstMulticastIp) {
        this->addFinding(key, "is not the unicast address of a host",
                         "give a unicast IPv4 address");
        return {};
    }
    return *address;
}

auto FieldReader::text(std::string_view key) -> std::string_view
{
    this->require(key);
    const auto *node = this->fields.get(key);
    if (node == nullptr) {
        return {};
    }
    const auto *text = node->as_string();
    if (text == nullptr) {
        this->addFinding(key, "is not a text string", "enclose it in quotation marks");
        return {};
    }
    return text->get();
}

auto FieldReader::enumValue(std::string_view key, const std::vector<std::string_view> &words,
                            std::size_t fallback) -> std::size_t
{
    const auto *node = this->fields.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto *text = node->as_string();
    const std::string_view word = text != nullptr ? std::string_view(text->get()) : "";
    const auto found = std::find(words.begin(), words.end(), word);
    if (found != words.end()) {
        return static_cast<std::size_t>(found - words.begin());
    }
    const auto suggestion = nearestWord(word, words);
    this->addFinding(key, "is none of the allowed values",
                     suggestion.empty() ? "give " + joinWords(words)
                                        : "did you mean " + quoted(suggestion)
                                                  + "? The field takes " + joinWords(words));
    return fallback;
}

auto FieldReader::number(std::string_view key, const NumberRange &range) -> std::uint64_t
{
    const auto *node = this->fields.get(key);
    if (node == nullptr) {
        return range.fallback;
    }
    const auto *integer = node->as_integer();
    const auto value = integer != nullptr ? integer->get() : -1;
    if (value >= 0 && static_cast<std::uint64_t>(value) >= range.min
        && static_cast<std::uint64_t>(value) <= range.max) {
        return static_cast<std::uint64_t>(value);
    }
    this->addFinding(key,
                     integer != nullptr ? "is " + std::to_string(value) + ", out of range"
                                        : "is not a whole number",
                     "give a whole number from " + std::to_string(range.min) + " to "
                             + std::to_string(range.max));
    return range.fallback;
}

auto FieldReader::positive(std::string_view key, double fallback) -> double
{
    const auto value = this->decimal(key, fallback);
    if (value > 0 || !this->has(key)) {
        return value;
    }
    this->addFinding(key, "is not a number greater than 0", "give a number such as 10.5");
    return fallback;
}

auto FieldReader::nonNegative(std::string_view key, double fallback) -> double
{
    const auto value = this->decimal(key, fallback);
    if (value >= 0) {
        return value;
    }
    this->addFinding(key, "is not a number of at least 0", "give a number such as 1.5");
    return fallback;
}

/// Returns the finite number in the field, `fallback` if the field is missing, and -1 for any other
/// value.
auto FieldReader::decimal(std::string_view key, double fallback) const -> double
{
    const auto *node = this->fields.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<double>().value_or(-1);
    return node->is_number() && std::isfinite(value) ? value : -1;
}

auto FieldReader::flag(std::string_view key, bool fallback) -> bool
{
    const auto *node = this->fields.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto *value = node->as_boolean();
    if (value == nullptr) {
        this->addFinding(key, "is neither true nor false",
                         "give true or false, with no quotation marks");
        return fallback;
    }
    return value->get();
}

auto FieldReader::require(std::string_view key) -> void
{
    if (this->isIncomplete || this->has(key)) {
        return;
    }
    this->findings.add(this->position(),
                       "the " + std::string(this->entryKind) + " has no " + std::string(key),
                       "add a line \"" + std::string(key) + " = ...\"");
}

auto FieldReader::reportUnknownFields(const std::vector<std::string_view> &known) -> void
{
    for (const auto &[key, node] : this->fields) {
        const auto fieldName = key.str();
        if (std::find(known.begin(), known.end(), fieldName) != known.end()) {
            continue;
        }
        const auto suggestion = nearestWord(fieldName, known);
        this->findings.add(positionOf(key.source()),
                           "a " + std::string(this->entryKind) + " has no field "
                                   + quoted(fieldName),
                           suggestion.empty() ? "its fields are " + joinWords(known)
                                              : "did you mean " + quoted(suggestion) + "?");
    }
}

auto FieldReader::has(std::string_view key) const -> bool
{
    return this->fields.contains(key);
}

auto FieldReader::position(std::string_view key) const -> TextPosition
{
    const auto *node = this->fields.get(key);
    return node != nullptr ? positionOf(node->source()) : this->position();
}

auto FieldReader::position() const -> TextPosition
{
    return positionOf(this->fields.source());
}

auto FieldReader::addFinding(std::string_view key, const std::string &what, std::string hint)
        -> void
{
    this->findings.add(this->position(key), std::string(key) + " " + what, std::move(hint));
}

} // namespace flamingograde
