/// Type-safe identifiers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace flamingograde {

/// Returns the 64-bit hash of `name` that serves as an id; never 0.
/// @remarks Thread safe. Stable across processes and versions: ids are sent over the network.
[[nodiscard]] auto hashName(std::string_view name) -> std::uint64_t;

/// A 64-bit identifier of the kind given by `Tag`; ids of different kinds cannot be mixed up. The
/// default value is invalid.
/// @remarks A value type: thread safe as long as one object is not written concurrently.
template<typename Tag>
class StrongId
{
public:
    constexpr StrongId() = default;
    constexpr explicit StrongId(std::uint64_t value) : number(value) {}

    /// Returns the id of the object named `name`. Precondition: none.
    [[nodiscard]] static auto ofName(std::string_view name) -> StrongId
    {
        return StrongId(hashName(name));
    }

    /// Returns whether this identifies an object.
    [[nodiscard]] constexpr auto isValid() const -> bool { return this->number != 0; }

    /// Returns the numeric value, for hashing and for messages.
    [[nodiscard]] constexpr auto value() const -> std::uint64_t { return this->number; }

    friend constexpr auto operator==(StrongId a, StrongId b) -> bool
    {
        return a.number == b.number;
    }
    friend constexpr auto operator!=(StrongId a, StrongId b) -> bool
    {
        return a.number != b.number;
    }
    friend constexpr auto operator<(StrongId a, StrongId b) -> bool { return a.number < b.number; }

private:
    std::uint64_t number = 0;
};

} // namespace flamingograde

template<typename Tag>
struct std::hash<flamingograde::StrongId<Tag>>
{
    auto operator()(flamingograde::StrongId<Tag> id) const noexcept -> std::size_t
    {
        return static_cast<std::size_t>(id.value());
    }
};
