#include "harness/tomlfile.h"

#include <toml++/toml.h>

#include <sstream>
#include <stdexcept>

namespace harness {

auto readToml(const std::filesystem::path &file) -> nlohmann::json
{
    const toml::parse_result result = toml::parse_file(file.string());
    if (!result) {
        std::ostringstream what;
        what << file.filename().string() << ": " << result.error();
        throw std::runtime_error(what.str());
    }
    std::ostringstream text;
    text << toml::json_formatter(result.table());
    return nlohmann::json::parse(text.str());
}

} // namespace harness
