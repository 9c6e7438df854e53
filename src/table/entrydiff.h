/// Compares the entries of two tables, kind by kind.
#pragma once

namespace flamingograde {

class ChangeList;
class Table;

/// Adds what changes in the token keys.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffTokenKeys(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds what changes in the rows.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffRows(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds what changes in the upstreams.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffUpstreams(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds what the edit means for each service: upstreams left, capacity, where keys go.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffServices(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds the addresses that reach another service than before.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffAddresses(const Table &before, const Table &after, ChangeList &changes) -> void;

} // namespace flamingograde
