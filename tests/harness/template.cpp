#include "harness/template.h"

#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace harness {

namespace {

using nlohmann::json;

/// Returns the value at a path such as "a.b.0", or null. The path "." is the current entry.
auto fieldAt(const json &fields, const std::string &path) -> json
{
    if (path == ".") {
        return fields;
    }
    auto value = fields;
    std::istringstream parts(path);
    for (std::string part; std::getline(parts, part, '.');) {
        if (value.is_array() && std::isdigit(static_cast<unsigned char>(part[0])) != 0) {
            const auto index = std::strtoul(part.c_str(), nullptr, 10);
            value = index < value.size() ? value[index] : json();
        } else {
            value = value.is_object() ? value.value(part, json()) : json();
        }
    }
    return value;
}

auto renderValue(const json &value) -> std::string
{
    if (value.is_null()) {
        return {};
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Returns the entries for each of which a section is rendered: the elements of an array, the value
/// itself, or none for null and false.
auto sectionEntries(const json &value) -> std::vector<json>
{
    if (value.is_array()) {
        return value.get<std::vector<json>>();
    }
    const auto isRendered = !value.is_null() && value != json(false);
    return isRendered ? std::vector<json> { value } : std::vector<json> {};
}

} // namespace

auto fillTemplate(const std::string &text, const json &fields) -> std::string
{
    std::string result;
    std::size_t at = 0;
    for (;;) {
        const auto open = text.find("{{", at);
        if (open == std::string::npos) {
            return result + text.substr(at);
        }
        const auto close = text.find("}}", open);
        auto name = text.substr(open + 2, close - open - 2);
        result += text.substr(at, open - at);
        at = close + 2;
        if (name[0] == '#') {
            const auto endMark = "{{/" + name.substr(1) + "}}";
            const auto end = text.find(endMark, at);
            if (end == std::string::npos) {
                throw std::runtime_error("template section has no end tag: " + name);
            }
            for (const auto &entry : sectionEntries(fieldAt(fields, name.substr(1)))) {
                result += fillTemplate(text.substr(at, end - at), entry);
            }
            at = end + endMark.size();
            continue;
        }
        const auto filter = name.find("|json");
        const auto isJson = filter != std::string::npos;
        const auto value = fieldAt(fields, name.substr(0, filter));
        result += isJson ? value.dump() : renderValue(value);
    }
}

} // namespace harness
