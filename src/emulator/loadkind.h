/// Parameters of one kind of request made by emulated callers.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>

#include <cstdint>
#include <string>

namespace flamingograde::emulator {

/// Size, timing, retry policy and worth of one kind of request.
struct LoadKind
{
    std::string name;
    Address address;           ///< Address of the row that receives the requests.
    bool idempotent = true;    ///< May be retried after any failure.
    bool longFlows = false;    ///< A flow carries many requests, with pauses between them.
    std::uint32_t urgency = 0; ///< Of the row.
    double share = 1;          ///< Relative weight among all kinds.
    std::uint32_t requestBytes = 300;
    std::uint32_t answerBytes = 1000;
    Duration work { 15000 };    ///< Mean service time in a slot.
    double workSpread = 0.5;    ///< Standard deviation of the logarithm of the service time.
    Duration target { 100000 }; ///< Requests answered within this time earn their full worth.
    Duration deadline { 1000000 };
    double worth = 1;
    double lateWorth = 0.3;
    std::uint32_t retries = 2;
};

} // namespace flamingograde::emulator
