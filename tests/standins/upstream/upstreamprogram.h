/// The upstreams of one process and the commands that control them.
#pragma once

#include "standins/common/asio.h"
#include "standins/upstream/ledger.h"
#include "standins/upstream/upstream.h"

#include <memory>
#include <vector>

namespace standins {

class Control;

/// Executes the control protocol commands of the upstream stand-in.
/// @remarks Not thread safe.
class UpstreamProgram
{
public:
    UpstreamProgram(asio::io_context &loop, Control &control, const Json &options);

    /// Returns the fields of the `ready` event: the address of the first upstream and the addresses
    /// of all by name.
    [[nodiscard]] auto ready() const -> Json;

private:
    auto set(const Json &command) -> Json;
    [[nodiscard]] auto report(const Json &command) const -> Json;
    [[nodiscard]] auto selectUpstreams(const Json &command) const -> std::vector<Upstream *>;

    Ledger ledger;
    std::vector<std::unique_ptr<Upstream>> upstreams;
};

} // namespace standins
