/// UUIDs for idempotency keys.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace standins {

/// Generates UUIDv7 strings (RFC 9562) from the wall clock and a seeded random generator.
/// @remarks Not thread safe.
class UuidGenerator
{
public:
    explicit UuidGenerator(std::uint64_t seed) : random(seed) {}

    /// Returns a new UUIDv7 in its canonical text form.
    [[nodiscard]] auto next() -> std::string;

private:
    std::mt19937_64 random;
};

} // namespace standins
