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
    const auto known = this->byIp.find(ip);
    return std::any_of(names.begin(), names.end(), [&](const std::string &name) {
        if (name == ip.to_string()) {
            return true;
        }
        return known != this->byIp.end()
               && std::find(known->second.begin(), known->second.end(), name)
                          != known->second.end();
    });
}

auto Sides::nameOf(const asio::ip::address &ip) const -> std::string
{
    const auto known = this->byIp.find(ip);
    return known == this->byIp.end() ? ip.to_string() : known->second.front();
}

} // namespace standins
