/// Derives ids from names by hashing.
#include <flamingograde/ids.h>
#include <flamingograde/strongid.h>

#include <xxhash.h>

#include <array>

namespace flamingograde {

namespace {

/// Replaces 0 by 1, as an id of 0 is invalid.
constexpr auto nonZero(std::uint64_t hash) -> std::uint64_t
{
    return hash == 0 ? 1 : hash;
}

} // namespace

auto hashName(std::string_view name) -> std::uint64_t
{
    return nonZero(XXH3_64bits(name.data(), name.size()));
}

auto cellOf(ServiceId service, ZoneId zone) -> CellId
{
    const std::array<std::uint64_t, 2> parts { service.value(), zone.value() };
    return CellId(nonZero(XXH3_64bits(parts.data(), sizeof(parts))));
}

} // namespace flamingograde
