/// Since when the directory may lack changes.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/revision.h>

#include <optional>

namespace flamingograde {

/// Keeps the time up to which the directory is known to have all changes.
///
/// Only two things move this time: a read of the platform without old copies, and another host's
/// report on its own directory, once this host has the same changes. Both are dated by when this
/// host asked, never by when the answer arrived, which may have waited for any time on the way.
/// That the platform answers somebody, or that a host has answered this one, moves nothing.
///
/// A directory counts as outdated when the process starts, as its first read may be answered by an
/// old copy, and when the process was paused. It is current again when it is known to be complete
/// up to a recent time. If nothing can show this, as the platform and all hosts with a current
/// directory are away, it counts as current after `config::directoryConfirmWait`: callers are
/// served with what is known.
/// @remarks Not thread safe. Throws nothing.
class DirectoryFreshness
{
public:
    /// Makes the directory count as outdated from `now` on, until it is known to be complete up to
    /// `needed` or later. Precondition: none.
    auto begin(MonoTime now, MonoTime needed) -> void;

    /// Records that the directory has all changes up to `until`, as a read of the platform showed
    /// (see `DirectoryCall::completeUntil`). Precondition: what was read has been applied.
    auto noteRead(MonoTime until) -> void;

    /// Records that another host's directory, which has all changes up to `has`, was complete up to
    /// `until`. It counts once `advance` shows that this host has these changes.
    /// Precondition: none.
    auto noteHost(Revision has, MonoTime until) -> void;

    /// Records that this host has all changes up to `own`. Precondition: none.
    auto advance(Revision own) -> void;

    /// Returns whether the directory has been shown to be current since the last `begin`.
    /// Precondition: none.
    [[nodiscard]] auto isConfirmed() const -> bool { return this->confirmed; }

    /// Returns whether to act on what the directory does not contain, too. Precondition: none.
    [[nodiscard]] auto isCurrent(MonoTime now) const -> bool;

    /// Returns up to when the directory has all changes, as far as known. Precondition: none.
    [[nodiscard]] auto asOf() const -> std::optional<MonoTime> { return this->completeUntil; }

    /// Returns how long changes may have been missing: the time since `asOf`, or
    /// `Duration::max()` if that is unknown. Precondition: none.
    [[nodiscard]] auto age(MonoTime now) const -> Duration;

    /// Records that an outage or long silence of the platform, or its restore, has ended.
    /// Precondition: none.
    auto noteOutageEnd(MonoTime now) -> void { this->outageEndedAt = now; }

    /// Returns when the last outage or long silence of the platform ended, by a read of this host
    /// or by a message of another one; empty if there was none. Precondition: none.
    [[nodiscard]] auto lastOutageEnd() const -> std::optional<MonoTime>
    {
        return this->outageEndedAt;
    }

    /// Returns whether an upstream that was removed cannot have registered again unnoticed: the
    /// directory was complete a short time ago, and the last outage ended `reappearTime` ago or
    /// earlier. Precondition: none.
    [[nodiscard]] auto areRemovalsCertain(MonoTime now, Duration reappearTime) const -> bool;

    /// Returns since when the directory has to be confirmed. Precondition: none.
    [[nodiscard]] auto since() const -> MonoTime { return this->outdatedAt; }

private:
    /// What another host said of its directory.
    struct Report
    {
        Revision has;
        MonoTime until;
    };

    auto advanceTo(MonoTime until) -> void;

    MonoTime outdatedAt;
    MonoTime neededUntil; ///< The directory is current if it is complete up to this.
    bool confirmed = false;
    std::optional<MonoTime> completeUntil;
    std::optional<MonoTime> outageEndedAt;
    std::optional<Report> report; ///< The latest one of changes that this host lacks.
};

} // namespace flamingograde
