/// Selects the upstreams of a page.
#include "core/directory/directorypages.h"

#include "core/directory/directory.h"

#include <algorithm>
#include <vector>

namespace flamingograde {

namespace {

using Entries = std::vector<const UpstreamEntry *>;

auto instanceOf(const UpstreamEntry &entry) -> InstanceId
{
    return entry.record.upstream.instance;
}

auto isListed(const UpstreamEntry &entry) -> bool
{
    return instanceOf(entry).isValid() && entry.presence == Presence::Listed;
}

/// Returns the listed entries that follow `position` in its part of the directory.
auto entriesAfter(const Directory &directory, ZoneId receiverZone, DirectoryPosition position)
        -> Entries
{
    Entries following;
    for (const auto &entry : directory.entries()) {
        const auto isOfZone = entry.record.upstream.zone == receiverZone;
        if (isListed(entry) && isOfZone != position.isPastZone
            && position.after < instanceOf(entry)) {
            following.push_back(&entry);
        }
    }
    return following;
}

/// Reduces `entries` to the `most` lowest instances, in order. @returns whether any were left out.
auto keepLowest(Entries &entries, std::size_t most) -> bool
{
    const auto isBefore = [](const auto *a, const auto *b) {
        return instanceOf(*a) < instanceOf(*b);
    };
    const auto kept = std::min(most, entries.size());
    const auto end = entries.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(entries.begin(), end, entries.end(), isBefore);
    const auto leavesOut = kept < entries.size();
    entries.erase(end, entries.end());
    return leavesOut;
}

auto isStart(DirectoryPosition position) -> bool
{
    return position == DirectoryPosition();
}

auto addEntries(const Entries &entries, DirectoryUpdate &update) -> void
{
    for (const auto *entry : entries) {
        update.present.push_back(entry->record);
        if (entry->isFaulty) {
            update.faulty.push_back({ instanceOf(*entry), entry->newest });
        }
    }
}

} // namespace

auto makePage(const Directory &directory, ZoneId receiverZone, DirectoryPosition position,
              std::size_t recordsMax) -> DirectoryPage
{
    DirectoryPage page;
    page.position = position;
    page.update.upTo = directory.revision();
    page.update.evacuations = directory.evacuations().changedAfter(Revision());
    if (isStart(position)) {
        page.update.rows = directory.sharedRows();
    }
    auto entries = entriesAfter(directory, receiverZone, position);
    const auto hasMore = keepLowest(entries, recordsMax);
    addEntries(entries, page.update);
    if (hasMore) {
        page.next = DirectoryPosition { position.isPastZone, instanceOf(*entries.back()) };
    } else if (!position.isPastZone) {
        page.next = DirectoryPosition { true, InstanceId() };
    }
    return page;
}

auto makePart(const Directory &directory, DirectoryPosition position, std::size_t recordsMax)
        -> DirectoryPage
{
    DirectoryPage part;
    part.position = position;
    part.isPart = true;
    part.update.upTo = { 0, directory.currentEpoch() };
    part.update.rows = directory.sharedRows();
    part.update.evacuations = directory.evacuations().changedAfter(Revision());
    Entries entries;
    for (const auto &entry : directory.entries()) {
        if (isListed(entry)) {
            entries.push_back(&entry);
        }
    }
    keepLowest(entries, recordsMax);
    addEntries(entries, part.update);
    return part;
}

} // namespace flamingograde
