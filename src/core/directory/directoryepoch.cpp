/// Revisions from before the epoch of a directory, and change of the epoch that an update names.
#include "core/directory/directoryepoch.h"

#include <flamingograde/directoryupdate.h>

#include <memory>
#include <utility>

namespace flamingograde {

auto isOfEarlierEpoch(Revision revision) -> bool
{
    return revision.epoch != 0 && !revision.isValid();
}

auto inEpoch(DirectoryUpdate update, std::uint32_t epoch) -> DirectoryUpdate
{
    update.after.epoch = update.isWhole() ? 0 : epoch;
    update.upTo.epoch = epoch;
    for (auto &record : update.present) {
        record.changed.epoch = epoch;
        record.created.epoch = epoch;
    }
    for (auto &removal : update.removed) {
        removal.at.epoch = epoch;
    }
    for (auto &fault : update.faulty) {
        fault.at.epoch = epoch;
    }
    for (auto &order : update.evacuations) {
        order.at.epoch = epoch;
    }
    if (update.rows != nullptr && update.rows->changed.epoch != epoch) {
        auto rows = std::make_shared<PacketRows>(*update.rows);
        rows->changed.epoch = epoch;
        update.rows = std::move(rows);
    }
    return update;
}

} // namespace flamingograde
