/// Receipt of the whole directory from other hosts, page by page.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <optional>

namespace flamingograde {

/// Collects the pages of a whole directory.
///
/// The position does not depend on the sender, so that another host can continue the transfer when
/// one stops answering; pages that have arrived are kept.
/// @remarks Not thread safe.
class PageTransfer
{
public:
    /// Returns where the next page begins. Precondition: none.
    [[nodiscard]] auto position() const -> DirectoryPosition { return this->next; }

    /// Returns whether pages have arrived, but not all. Precondition: none.
    [[nodiscard]] auto isUnderWay() const -> bool { return !(this->next == DirectoryPosition()); }

    /// Returns the host from which a page has been requested, or nothing. Precondition: none.
    [[nodiscard]] auto sender() const -> std::optional<HostId> { return this->requestedFrom; }

    /// Records that the next page was requested from `host`. An unanswered request doubles the time
    /// that the next one is given: a host that sends pages to many others takes longer.
    /// Precondition: none. @returns the time within which the answer is expected.
    [[nodiscard]] auto noteRequest(HostId host) -> Duration;

    /// Gives up the expected answer, because the connection to the sender was lost.
    /// Precondition: none.
    auto forgetSender() -> void { this->requestedFrom.reset(); }

    /// Adds a page if it is the next one, after which no answer is expected from the sender. A page
    /// of another epoch than those before it is not added, and the transfer begins anew.
    /// Precondition: not complete. @returns whether the page was added.
    auto add(const DirectoryPage &page) -> bool;

    /// Returns whether all pages have arrived. Precondition: none.
    [[nodiscard]] auto isComplete() const -> bool { return this->complete; }

    /// Returns the whole directory and begins anew. Precondition: complete.
    [[nodiscard]] auto take() -> DirectoryUpdate;

private:
    DirectoryUpdate collected;
    DirectoryPosition next;
    std::optional<HostId> requestedFrom;
    Duration answerTimeout { 0 };
    bool complete = false;
};

} // namespace flamingograde
