/// Compares the entries of two tables, one type of entry at a time.
#pragma once

namespace flamingograde {

class ChangeList;
class Table;

/// Adds the differences between the token keys to `changes`.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffTokenKeys(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds the differences between the rows to `changes`.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffRows(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds the differences between the upstreams to `changes`.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffUpstreams(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds the effect of the edit on each service: whether active upstreams remain, the number of
/// active slots, and the share of idempotency keys that move to another zone.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffServices(const Table &before, const Table &after, ChangeList &changes) -> void;

/// Adds the addresses that belong to a different service than before.
/// @remarks Thread safe as long as `changes` is not shared.
auto diffAddresses(const Table &before, const Table &after, ChangeList &changes) -> void;

} // namespace flamingograde
