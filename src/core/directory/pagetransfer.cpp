/// Order of pages and time limits of requests.
#include "core/directory/pagetransfer.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingograde {

namespace {

constexpr Duration answerTimeoutMax = std::chrono::seconds(3); ///< Longest wait for a page.

} // namespace

auto PageTransfer::noteRequest(HostId host) -> Duration
{
    const auto wasUnanswered = this->requestedFrom.has_value();
    const Duration initial = config::directoryPeerTimeout;
    this->answerTimeout =
            wasUnanswered ? std::min(2 * this->answerTimeout, answerTimeoutMax) : initial;
    this->requestedFrom = host;
    return this->answerTimeout;
}

auto PageTransfer::add(const DirectoryPage &page) -> bool
{
    if (!(page.position == this->next)) {
        return false; // A late answer to a request that was repeated.
    }
    this->requestedFrom.reset();
    auto &all = this->collected;
    const auto &update = page.update;
    if (all.upTo.isValid() && all.upTo.epoch != update.upTo.epoch) {
        this->collected = DirectoryUpdate();
        this->next = DirectoryPosition();
        return false; // The platform was restored meanwhile.
    }
    // The lowest revision of all pages counts: changes above it may be missing from other pages.
    all.upTo = all.upTo.isValid() ? std::min(all.upTo, update.upTo) : update.upTo;
    std::copy(update.present.begin(), update.present.end(), std::back_inserter(all.present));
    std::copy(update.faulty.begin(), update.faulty.end(), std::back_inserter(all.faulty));
    all.evacuations = update.evacuations; // Each page has all of them.
    if (update.rows != nullptr) {
        all.rows = update.rows;
    }
    this->complete = !page.next.has_value();
    this->next = page.next.value_or(DirectoryPosition());
    return true;
}

auto PageTransfer::take() -> DirectoryUpdate
{
    this->complete = false;
    return std::exchange(this->collected, DirectoryUpdate());
}

} // namespace flamingograde
