/// The upstreams of one process and their commands.
#pragma once

#include "standins/common/asio.h"
#include "standins/upstream/ledger.h"
#include "standins/upstream/upstream.h"

#include <memory>
#include <vector>

namespace standins {

class Control;

/// Carries out the control protocol's commands of the upstream stand-in.
/// @remarks Not thread safe.
class UpstreamProgram
{
public:
    UpstreamProgram(asio::io_context &loop, Control &control, const Json &options);

    /// Returns the fields of the `ready` event: the addresses by upstream.
    [[nodiscard]] auto ready() const -> Json;

private:
    auto set(const Json &command) -> Json;
    [[nodiscard]] auto report(const Json &command) const -> Json;
    [[nodiscard]] auto selected(const Json &command) const -> std::vector<Upstream *>;

    Ledger ledger;
    std::vector<std::unique_ptr<Upstream>> upstreams;
};

} // namespace standins
