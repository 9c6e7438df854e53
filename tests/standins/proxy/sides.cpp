#include "standins/proxy/sides.h"

#include <algorithm>

namespace standins {

auto Sides::add(const std::string &name, const asio::ip::address &ip) -> void
{
    std::vector<std::string> &names = this->byIp[ip];
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
    }
}

auto Sides::matches(const std::vector<std::string> &names, const asio::ip::address &ip) const
        -> bool
{
    if (names.empty()) {
        return true;
    }
    const std::vector<std::string> own = this->namesOf(ip);
    return std::find_first_of(names.begin(), names.end(), own.begin(), own.end()) != names.end();
}

auto Sides::nameOf(const asio::ip::address &ip) const -> std::string
{
    return this->namesOf(ip).front();
}

auto Sides::namesOf(const asio::ip::address &ip) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    const auto known = this->byIp.find(ip);
    if (known != this->byIp.end()) {
        names = known->second;
    }
    names.push_back(ip.to_string());
    return names;
}

} // namespace standins
