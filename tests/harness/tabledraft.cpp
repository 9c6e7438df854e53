#include "harness/tabledraft.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace harness {

namespace {

constexpr std::size_t secretBytes = 16; ///< Length of a generated token key.

/// Parses the value of an edit as JSON, such as a number or true. Anything else is a string.
auto parseValue(const std::string &text) -> nlohmann::ordered_json
{
    auto value = nlohmann::ordered_json::parse(text, nullptr, false);
    return value.is_discarded() ? nlohmann::ordered_json(text) : value;
}

auto hasName(const TableDraft::Record &record, const std::string &name) -> bool
{
    const char *field = record.contains("id") ? "id" : "name";
    return record.at(field) == parseValue(name);
}

/// Returns a hexadecimal secret that is derived from the key id.
auto makeSecret(int id) -> std::string
{
    std::ostringstream text;
    for (std::size_t i = 0; i < secretBytes; ++i) {
        text << "0123456789abcdef"[(static_cast<std::size_t>(id) + i) % 16]
             << "0123456789abcdef"[(i * 7) % 16];
    }
    return text.str();
}

} // namespace

auto splitWords(const std::string &text) -> EditWords
{
    std::istringstream stream(text);
    return { std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>() };
}

auto TableDraft::add(const std::string &kind, Record record) -> void
{
    this->records.at(kind).push_back(std::move(record));
}

auto TableDraft::find(const std::string &kind, const std::string &name) -> Record &
{
    auto &list = this->records.at(kind);
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&](const Record &record) { return hasName(record, name); });
    if (found == list.end()) {
        throw std::runtime_error("the table has no " + kind + " " + name);
    }
    return *found;
}

auto TableDraft::apply(const EditWords &words) -> void
{
    const std::string &verb = words.at(0);
    if (verb == "add") {
        Record record;
        record["name"] = words.at(2);
        this->setFields(record, words, 3);
        this->add(words.at(1), std::move(record));
    } else if (verb == "remove") {
        this->remove(words.at(1), words.at(2));
    } else if (verb == "swap") {
        std::swap(this->find(words.at(1), words.at(2)).at("address"),
                  this->find(words.at(1), words.at(3)).at("address"));
    } else if (verb == "key") {
        const int id = std::stoi(words.at(1));
        this->add("token_key",
                  { { "id", id }, { "secret", makeSecret(id) }, { "signing", false } });
    } else if (verb == "sign") {
        this->sign(words.at(1));
    } else {
        this->setFields(this->find(verb, words.at(1)), words, 2);
    }
}

auto TableDraft::toToml() const -> std::string
{
    std::ostringstream text;
    for (const auto &[kind, list] : this->records) {
        for (const Record &record : list) {
            text << "[[" << kind << "]]\n";
            for (const auto &[field, value] : record.items()) {
                text << field << " = " << value.dump() << "\n";
            }
            text << "\n";
        }
    }
    return text.str();
}

auto TableDraft::setFields(Record &record, const EditWords &words, std::size_t from) -> void
{
    for (std::size_t i = from; i < words.size(); ++i) {
        const auto equals = words[i].find('=');
        if (equals == std::string::npos) {
            throw std::runtime_error("expected field=value, got " + words[i]);
        }
        record[words[i].substr(0, equals)] = parseValue(words[i].substr(equals + 1));
    }
}

auto TableDraft::remove(const std::string &kind, const std::string &name) -> void
{
    auto &list = this->records.at(kind);
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](const Record &record) { return hasName(record, name); }),
               list.end());
}

auto TableDraft::sign(const std::string &id) -> void
{
    for (Record &key : this->records.at("token_key")) {
        key["signing"] = hasName(key, id);
    }
}

} // namespace harness
