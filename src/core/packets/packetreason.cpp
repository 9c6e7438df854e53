/// Names of packet reasons.
#include <flamingograde/packetdecision.h>

#include <array>

namespace flamingograde {

namespace {

/// Names in the order of the values of `PacketReason`.
constexpr std::array<std::string_view, 14> names {
    "steered",        "steered-overdue",   "placed",       "placed-elsewhere", "placed-on-trial",
    "no-row",         "no-upstream",       "overloaded",   "upstream-gone",    "upstream-silent",
    "cookie-unknown", "cookie-of-another", "already-open", "malformed"
};

} // namespace

auto toString(PacketReason reason) -> std::string_view
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace flamingograde
