/// Parsing of the platform's host list.
#include "wire/hostlist.h"

#include <nlohmann/json.hpp>

namespace flamingograde {

namespace {

using Json = nlohmann::json;

/// Returns the value of a string field; empty if the field is missing or not a string.
auto stringField(const Json &entry, const char *key) -> std::string
{
    const auto found = entry.find(key);
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

auto parseMember(const Json &entry) -> tl::expected<Member, std::string>
{
    if (!entry.is_object()) {
        return tl::unexpected(std::string("a host is not an object"));
    }
    Member member;
    member.name = stringField(entry, "name");
    member.zoneName = stringField(entry, "zone");
    if (member.name.empty() || member.zoneName.empty()) {
        return tl::unexpected(std::string("a host has no name or zone"));
    }
    const auto peer = Address::parse(stringField(entry, "peer"));
    const auto relay = Address::parse(stringField(entry, "relay"));
    const auto state = stringField(entry, "state");
    if (!peer || !relay || (state != "live" && state != "leaving")) {
        return tl::unexpected("host " + member.name + " has an invalid address or state");
    }
    member.id = HostId::ofName(member.name);
    member.zone = ZoneId::ofName(member.zoneName);
    member.peer = *peer;
    member.relay = *relay;
    member.state = state == "live" ? MemberState::Alive : MemberState::Leaving;
    return member;
}

} // namespace

auto parseHostList(std::string_view text) -> tl::expected<std::vector<Member>, std::string>
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array()) {
        return tl::unexpected(std::string("not a JSON object with an array of hosts"));
    }
    std::vector<Member> members;
    for (const auto &entry : json["hosts"]) {
        auto member = parseMember(entry);
        if (!member) {
            return tl::unexpected(member.error());
        }
        members.push_back(std::move(*member));
    }
    return members;
}

} // namespace flamingograde
