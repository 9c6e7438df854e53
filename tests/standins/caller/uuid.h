/// Idempotency keys.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace standins {

/// Makes UUIDv7 texts (RFC 9562) from a seed and the wall clock.
/// @remarks Not thread safe.
class UuidMaker
{
public:
    explicit UuidMaker(std::uint64_t seed) : random(seed) {}

    /// Returns a new UUIDv7.
    [[nodiscard]] auto next() -> std::string;

private:
    std::mt19937_64 random;
};

} // namespace standins
