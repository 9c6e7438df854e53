#include "harness/logfile.h"

#include <deque>
#include <fstream>
#include <regex>

namespace harness {

auto lastLines(const std::filesystem::path &file, std::size_t count) -> std::string
{
    std::deque<std::string> lines;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        lines.push_back(std::move(line));
        if (lines.size() > count) {
            lines.pop_front();
        }
    }
    std::string text;
    for (const std::string &line : lines) {
        text += "    " + line + "\n";
    }
    return text;
}

auto countEvents(const std::filesystem::path &file) -> nlohmann::json
{
    static const std::regex event(R"( event=([1-7]\d\d) )");
    auto counts = nlohmann::json::object();
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        std::smatch match;
        if (std::regex_search(line, match, event)) {
            counts[match[1].str()] = counts.value(match[1].str(), 0) + 1;
        }
    }
    return counts;
}

} // namespace harness
