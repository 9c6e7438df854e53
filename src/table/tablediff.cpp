/// Compares two versions of a routing table.
#include <flamingograde/tablediff.h>

#include "table/changelist.h"
#include "table/entrydiff.h"

namespace flamingograde {

auto TableChange::toString() const -> std::string
{
    return this->isDangerous() ? "warning: " + this->what + ": " + this->risk : this->what;
}

auto diffTables(const Table &before, const Table &after) -> std::vector<TableChange>
{
    ChangeList changes;
    diffTokenKeys(before, after, changes);
    diffRows(before, after, changes);
    diffUpstreams(before, after, changes);
    diffAddresses(before, after, changes);
    diffServices(before, after, changes);
    return changes.take();
}

} // namespace flamingograde
