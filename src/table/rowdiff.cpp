/// Compares the rows of two tables.
#include "table/changelist.h"
#include "table/entrydiff.h"
#include "table/formatting.h"

#include <flamingograde/table.h>

#include <string>

namespace flamingograde {

namespace {

auto subjectOf(const Row &row) -> std::string
{
    return "row \"" + row.name + "\"";
}

auto kindText(const Row &row) -> std::string
{
    return std::string(toString(row.kind));
}

auto idempotentText(const Row &row) -> std::string
{
    return std::string(toString(row.idempotent));
}

auto diffLimits(const Row &before, const Row &after, ChangeList &changes) -> void
{
    const auto subject = subjectOf(after);
    const auto compare = [&](std::string_view field, std::uint64_t a, std::uint64_t b) {
        changes.compare(subject, field, std::to_string(a), std::to_string(b));
    };
    compare("weight", before.weight, after.weight);
    compare("urgency", before.urgency, after.urgency);
    compare("concurrent", before.concurrent, after.concurrent);
    compare("queue", before.queue, after.queue);
    compare("deadline_ms", toMilliseconds(before.deadline), toMilliseconds(after.deadline));
    compare("body_max", before.bodyMax, after.bodyMax);
}

auto diffRow(const Row &before, const Row &after, ChangeList &changes) -> void
{
    const auto subject = subjectOf(after);
    changes.compare(subject, "service", before.serviceName, after.serviceName,
                    "its callers reach other upstreams, and their tokens are refused; give the "
                    "new service a row and an address of its own");
    changes.compare(subject, "address", before.address.toString(), after.address.toString(),
                    "the old address is no longer served; move the callers to a second "
                    "row first");
    changes.compare(subject, "kind", kindText(before), kindText(after),
                    "its callers' requests are handled differently while hosts have different "
                    "tables");
    changes.compare(subject, "idempotent", idempotentText(before), idempotentText(after),
                    after.idempotent ? "from now on, a request may be executed more than once"
                                     : "");
    diffLimits(before, after, changes);
}

} // namespace

auto diffRows(const Table &before, const Table &after, ChangeList &changes) -> void
{
    for (const auto &row : after.rows()) {
        const auto *old = before.row(row.id);
        if (old != nullptr) {
            diffRow(*old, row, changes);
        } else {
            changes.add(subjectOf(row) + " added: " + kindText(row) + " of service \""
                        + row.serviceName + "\" at " + row.address.toString());
        }
    }
    for (const auto &row : before.rows()) {
        if (after.row(row.id) == nullptr) {
            changes.add(subjectOf(row) + " removed: " + row.address.toString(),
                        "its address is no longer served");
        }
    }
}

} // namespace flamingograde
