/// A table of services that a test can edit.
#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace harness {

/// The words of one edit, such as `upstream pack-z1-1 state=draining`.
using EditWords = std::vector<std::string>;

/// Splits `text` at white space.
[[nodiscard]] auto splitWords(const std::string &text) -> EditWords;

/// Holds rows, upstreams and token keys, with the fields described in docs/TABLE.md.
/// @remarks Not thread safe. Records are identified by their `name`, token keys by their `id`.
class TableDraft
{
public:
    using Record = nlohmann::ordered_json;

    /// Adds a record of `kind`: "row", "upstream" or "token_key".
    auto add(const std::string &kind, Record record) -> void;

    /// Returns the record. Throws `std::runtime_error` if there is none.
    [[nodiscard]] auto find(const std::string &kind, const std::string &name) -> Record &;

    /// Returns all records of a kind. Throws `std::out_of_range` for an unknown kind.
    [[nodiscard]] auto all(const std::string &kind) const -> const std::vector<Record> &
    {
        return this->records.at(kind);
    }

    /// Applies one edit. Throws `std::runtime_error` if it names no record or has a malformed
    /// field.
    ///
    /// `KIND NAME field=value...` sets fields, `add KIND NAME field=value...` adds a record,
    /// `remove KIND NAME` removes a record, `swap KIND NAME NAME` exchanges the addresses of two
    /// records, `key ID` adds a token key and `sign ID` makes it the only signing key.
    auto apply(const EditWords &words) -> void;

    /// Returns the table as TOML.
    [[nodiscard]] auto toToml() const -> std::string;

private:
    auto setFields(Record &record, const EditWords &words, std::size_t from) -> void;
    auto remove(const std::string &kind, const std::string &name) -> void;
    auto sign(const std::string &id) -> void;

    std::map<std::string, std::vector<Record>> records { { "row", {} },
                                                         { "token_key", {} },
                                                         { "upstream", {} } };
};

} // namespace harness
