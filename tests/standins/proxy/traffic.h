/// Counters of a link or of a pair of sides.
#pragma once

#include "standins/common/asio.h"

#include <cstdint>

namespace standins {

/// Connections and bytes.
struct Traffic
{
    std::uint64_t connections = 0;
    std::uint64_t open = 0;
    std::uint64_t refused = 0;   ///< Reset because the target or a fault refused.
    std::uint64_t reset = 0;     ///< Reset later.
    std::uint64_t bytesTo = 0;   ///< From the source to the target.
    std::uint64_t bytesFrom = 0; ///< From the target to the source.

    /// Returns the counters by their names in the control protocol.
    [[nodiscard]] auto toJson() const -> Json
    {
        return { { "connections", this->connections }, { "open", this->open },
                 { "refused", this->refused },         { "reset", this->reset },
                 { "bytes_to", this->bytesTo },        { "bytes_from", this->bytesFrom } };
    }
};

} // namespace standins
