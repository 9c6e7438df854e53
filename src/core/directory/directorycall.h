/// A read of the platform's directory by this host.
#pragma once

#include <flamingograde/action.h>
#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/revision.h>

#include <optional>

namespace flamingograde {

/// Keeps the read that is in progress, or the last one, and tells up to when its answer is
/// complete.
/// @remarks Not thread safe. Throws nothing.
class DirectoryCall
{
public:
    /// Begins a read, in place of the one in progress if there is one. Precondition: none.
    auto begin(const ReadDirectory &asked, MonoTime now) -> void;

    /// Records that a part of the answer arrived, and that more is expected. Precondition: none.
    auto extend(MonoTime now) -> void;

    /// Records that the read has ended, or that its answer is not awaited any more.
    /// Precondition: none.
    auto end() -> void { this->pending = false; }

    /// Records that no pages of the whole directory are kept for the next read.
    /// Precondition: none.
    auto forgetPages() -> void { this->wholeBegan.reset(); }

    /// Returns whether an answer is awaited. Precondition: none.
    [[nodiscard]] auto isPending() const -> bool { return this->pending; }

    /// Returns whether an awaited answer counts as lost. Precondition: none.
    [[nodiscard]] auto isTimedOut(MonoTime now) const -> bool
    {
        return this->pending && now >= this->deadline;
    }

    /// Returns after which revision changes were asked for; invalid: the whole directory.
    /// Precondition: none.
    [[nodiscard]] auto after() const -> Revision { return this->request.after; }

    /// Returns up to when the answer certainly has all changes; empty if it may be an old copy.
    ///
    /// It is never dated by its arrival, as it may have been on the way for any time. The platform
    /// holds a watch without changes for the whole wait, so that one is complete up to its end. Any
    /// other answer is complete up to the begin of the read, and one in pages up to the begin of
    /// the first of them, which an earlier, failed read may have brought.
    /// Precondition: `answer` is the answer to the last read.
    [[nodiscard]] auto completeUntil(const DirectoryRead &answer, MonoTime now) const
            -> std::optional<MonoTime>;

private:
    ReadDirectory request;
    MonoTime began;
    MonoTime deadline;                  ///< When the read counts as failed.
    std::optional<MonoTime> wholeBegan; ///< When the first of the pages kept so far was asked for.
    bool pending = false;
};

} // namespace flamingograde
