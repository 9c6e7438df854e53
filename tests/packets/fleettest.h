/// Checks shared by the tests of this folder.
#pragma once

#include "harness/packetfleet.h"

#include <catch2/catch.hpp>

/// Checks the guarantees that must hold in spite of any change or fault.
/// @param minRequests number of requests below which the other checks would not be meaningful.
inline auto checkGuarantees(const nlohmann::json &report, int minRequests = 100) -> void
{
    INFO(report.dump());
    CHECK(report.at("asked") >= minRequests);
    CHECK(report.at("broken_flows") == 0);
    CHECK(report.at("double_runs") == 0);
    CHECK(report.at("wrong_service") == 0);
    CHECK(report.at("strays") == 0);
    CHECK(report.at("not_intact") == 0);
}
