/// Traffic counters of a link, or of the connections from one side to another.
#pragma once

#include "standins/common/asio.h"

#include <cstdint>

namespace standins {

/// Counters of connections and bytes.
struct Traffic
{
    std::uint64_t connections = 0;
    std::uint64_t open = 0;
    std::uint64_t refused = 0; ///< Never established: no target, connect failed or cut by a fault.
    std::uint64_t reset = 0;   ///< Reset later, by an end or by a fault.
    std::uint64_t bytesTo = 0; ///< From the source to the target.
    std::uint64_t bytesFrom = 0; ///< From the target to the source.

    /// Returns the counters under their names in the control protocol.
    [[nodiscard]] auto toJson() const -> Json
    {
        return { { "connections", this->connections }, { "open", this->open },
                 { "refused", this->refused },         { "reset", this->reset },
                 { "bytes_to", this->bytesTo },        { "bytes_from", this->bytesFrom } };
    }
};

} // namespace standins
