/// Compares the upstreams of two tables.
#include "table/changelist.h"
#include "table/entrydiff.h"
#include "table/formatting.h"

#include <flamingograde/table.h>

#include <algorithm>
#include <string>

namespace flamingograde {

namespace {

auto subjectOf(const Upstream &upstream) -> std::string
{
    return "upstream \"" + upstream.name + "\"";
}

auto stateText(const Upstream &upstream) -> std::string
{
    return std::string(toString(upstream.state));
}

auto diffUpstream(const Upstream &before, const Upstream &after, ChangeList &changes) -> void
{
    const auto subject = subjectOf(after);
    changes.compare(
            subject, "service", before.serviceName, after.serviceName,
            "its flows cannot continue there; drain it, remove it, and add it under another "
            "name");
    changes.compare(subject, "zone", before.zoneName, after.zoneName,
                    "hosts with the old table and hosts with the new table may each use all of "
                    "its slots; drain it, remove it, and add it under another name");
    changes.compare(subject, "address", before.address.toString(), after.address.toString(),
                    "its feeds break if another process answers there; add it under another name "
                    "and drain the old one");
    changes.compare(subject, "slots", std::to_string(before.slots), std::to_string(after.slots));
    changes.compare(subject, "connections", std::to_string(before.connections),
                    std::to_string(after.connections));
    changes.compare(subject, "state", stateText(before), stateText(after));
}

auto addNew(const Upstream &upstream, const Table &table, ChangeList &changes) -> void
{
    const auto &rows = table.rows();
    const auto hasRow = std::any_of(rows.begin(), rows.end(), [&upstream](const Row &row) {
        return row.service == upstream.service;
    });
    changes.add(subjectOf(upstream) + " added, " + stateText(upstream) + ": service \""
                        + upstream.serviceName + "\" in zone " + upstream.zoneName + " at "
                        + upstream.address.toString(),
                hasRow ? "" : "no row has this service, so the upstream gets no requests");
}

auto addRemoved(const Upstream &upstream, ChangeList &changes) -> void
{
    changes.add(subjectOf(upstream) + " removed from service \"" + upstream.serviceName + "\"",
                upstream.state == UpstreamState::Active
                        ? "it was active: its feeds end; publish it as draining first"
                        : "");
}

} // namespace

auto diffUpstreams(const Table &before, const Table &after, ChangeList &changes) -> void
{
    for (const auto &upstream : after.upstreams()) {
        const auto *old = before.upstream(upstream.id);
        if (old != nullptr) {
            diffUpstream(*old, upstream, changes);
        } else {
            addNew(upstream, after, changes);
        }
    }
    for (const auto &upstream : before.upstreams()) {
        if (after.upstream(upstream.id) == nullptr) {
            addRemoved(upstream, changes);
        }
    }
}

} // namespace flamingograde
