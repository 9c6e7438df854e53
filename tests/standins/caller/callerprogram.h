/// The load generators of the caller stand-in and the commands that control them.
#pragma once

#include "standins/caller/callanswer.h"
#include "standins/caller/callrequest.h"
#include "standins/caller/feedload.h"
#include "standins/caller/requestload.h"
#include "standins/common/asio.h"
#include "standins/common/control.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>

namespace standins {

/// Executes the control protocol commands of the caller stand-in.
/// @remarks Not thread safe.
class CallerProgram
{
public:
    CallerProgram(asio::io_context &loop, Control &control, const Json &options);

    /// Returns the fields of the `ready` event. The address is null: a caller does not listen.
    [[nodiscard]] auto ready() const -> Json { return { { "address", nullptr } }; }

private:
    using Load = std::variant<std::unique_ptr<RequestLoad>, std::unique_ptr<FeedLoad>>;

    auto startLoad(const Json &command) -> Json;
    auto sendRequest(const Json &command, const Control::Reply &reply) -> void;
    [[nodiscard]] auto findLoad(const Json &command) -> Load &;

    asio::io_context &loop;
    std::mt19937_64 random;
    std::map<std::string, Load> loads;
};

} // namespace standins
