/// Loads the example days of the repository.
#pragma once

#include "emulator/dayfile.h"
#include "emulator/plan.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <utility>

namespace flamingograde::emulator {

/// Returns a day from examples/days. Precondition: there is one with this name.
inline auto loadDay(const std::string &name) -> DayPlan
{
    std::ifstream file(std::string(FLAMINGOGRADE_SOURCE_FOLDER) + "/examples/days/" + name
                       + ".toml");
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    auto day = parseDay(text, name);
    REQUIRE(day);
    return std::move(*day);
}

} // namespace flamingograde::emulator
