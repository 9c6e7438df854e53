/// Bound on the time that datagrams wait in a socket's buffer.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde::net {

/// Tells how long a datagram that is read now may have waited.
///
/// A datagram has arrived since the buffer was last known to be empty. The bound is needed because
/// a process that was paused, or gets little processor time, reads datagrams long after they
/// arrived, and sees no other sign of it.
/// @remarks Not thread safe.
class ReadDelay
{
public:
    /// Notes a batch that was read at `now`. Precondition: `now` never decreases.
    /// @param isFull whether more datagrams may be waiting.
    /// @returns the longest time for which a datagram of the batch may have waited.
    auto noteBatch(MonoTime now, bool isFull) -> Duration
    {
        const auto waited = now - this->emptyAt;
        this->mayHaveMore = isFull;
        this->emptyAt = isFull ? this->emptyAt : now;
        return waited;
    }

    /// Notes a tick. The loop reads what is waiting between two ticks, so that all that was waiting
    /// at the previous one has been read. Precondition: as `noteBatch`.
    auto noteTick(MonoTime now) -> void
    {
        if (!this->mayHaveMore && this->emptyAt < this->previousTick) {
            this->emptyAt = this->previousTick;
        }
        this->previousTick = now;
    }

private:
    MonoTime emptyAt; ///< When the buffer was last known to be empty.
    MonoTime previousTick;
    bool mayHaveMore = true; ///< The last batch was full, or none has been read.
};

} // namespace flamingograde::net
