/// What the tests of this folder share.
#pragma once

#include "harness/packetfleet.h"

#include <catch2/catch.hpp>

/// What must hold whatever happens.
/// @param least requests that the load must have made for the rest to mean anything.
inline auto checkPromises(const nlohmann::json &report, int least = 100) -> void
{
    INFO(report.dump());
    CHECK(report.at("asked") >= least);
    CHECK(report.at("broken_flows") == 0);
    CHECK(report.at("double_runs") == 0);
    CHECK(report.at("wrong_service") == 0);
    CHECK(report.at("strays") == 0);
    CHECK(report.at("not_intact") == 0);
}
