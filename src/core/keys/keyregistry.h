/// Records of the idempotency keys that this host has run as a home.
#pragma once

#include "core/homes/inheritedkeys.h"
#include "core/homes/knownfrom.h"
#include "core/keys/keyname.h"
#include "core/keys/keyrecord.h"
#include "core/keys/pendinglookup.h"

#include <flamingograde/clock.h>
#include <flamingograde/config.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// Remembers each dispatched key for `config::keyLifetime`, with its answer where it is small.
///
/// Of forgotten keys it only keeps, for each cell, the time of the latest dispatch: a key that may
/// have been dispatched up to then can no longer be called unseen.
/// @remarks Written by the key controller, with these exceptions: admission calls `dispatched`
/// when it dispatches a request, and `takeReleased`; a host that becomes home calls `inherit`; and
/// whoever removes an exchange calls `remove`. Not thread safe.
class KeyRegistry
{
public:
    /// Precondition: both limits are above 0.
    explicit KeyRegistry(std::size_t keyLimit = config::keysMax,
                         std::size_t answerBytesLimit = config::storedAnswersBytesMax)
        : keysMax(keyLimit), answerBytesMax(answerBytesLimit)
    {}

    /// Returns the recorded state of `key`; `Unseen` if there is no record or if its first request
    /// has not been dispatched yet.
    [[nodiscard]] auto stateOf(CellId cell, const std::string &key) const -> KeyState;

    /// Returns the record of `name`, or null if there is none.
    [[nodiscard]] auto find(const KeyName &name) -> KeyRecord *;
    /// Returns the record whose first request is `exchange`, or null if there is none.
    [[nodiscard]] auto findByFirst(ExchangeId exchange) -> KeyRecord *;
    /// Returns the number of records.
    [[nodiscard]] auto size() const -> std::size_t { return this->records.size(); }
    /// Returns the total size of all stored answers, in bytes.
    [[nodiscard]] auto answerBytes() const -> std::size_t { return this->storedBytes; }

    /// Creates a record with `exchange`, which has not been dispatched yet, as the first request.
    /// Precondition: `name` has no record.
    auto reserve(const KeyName &name, ExchangeId exchange) -> void;
    /// Adds `exchange` as a repeat that waits for the first request of `name`.
    /// Precondition: `name` has a record.
    auto attach(const KeyName &name, ExchangeId exchange) -> void;
    /// Records that `exchange` is being dispatched.
    /// @returns the repeats attached to it; empty if it is not the first request of a record.
    auto dispatched(ExchangeId exchange, std::uint32_t attempt, Now now) -> std::vector<ExchangeId>;
    /// Ends the running request `exchange` with `state`. Stores `answer` unless it is null or too
    /// large, and drops the oldest answers if there are too many bytes of them.
    /// @returns the repeats that waited for it. Precondition: it is the first request of a record.
    auto finish(ExchangeId exchange, KeyState state, std::shared_ptr<const std::string> answer)
            -> std::vector<ExchangeId>;
    /// Deletes the record of the key of `exchange`, which was provably not run, and releases its
    /// repeats. Precondition: it is the first request of a record.
    auto clear(ExchangeId exchange) -> void;
    /// Drops the references to an exchange that is being removed. A first request that is running
    /// becomes an orphan until the key controller ends its record.
    auto remove(ExchangeId exchange) -> void;
    /// Returns the first requests that were removed while running, and clears the list.
    [[nodiscard]] auto takeOrphans() -> std::vector<ExchangeId>;
    /// Returns the repeats whose first request was not run, and clears the list.
    [[nodiscard]] auto takeReleased() -> std::vector<ExchangeId>;

    /// Holds `exchange` until it is known whether this host becomes home of its cell.
    auto park(ExchangeId exchange) -> void { this->parked.push_back(exchange); }
    /// Returns the parked exchanges, some of which may no longer exist, and clears the list.
    [[nodiscard]] auto takeParked() -> std::vector<ExchangeId>;
    /// Returns the number of parked exchanges.
    [[nodiscard]] auto parkedCount() const -> std::size_t { return this->parked.size(); }

    /// Forgets records and inherited keys past their lifetime. Records of running requests stay.
    auto expire(MonoTime now) -> void;
    /// Returns the wall time after which every dispatch of `cell` is still remembered; the epoch
    /// if none was forgotten.
    [[nodiscard]] auto forgottenUntil(CellId cell) const -> WallTime;
    /// Returns the dispatch time of the latest record of `cell` that was evicted for lack of room,
    /// not expired; the epoch if none was evicted.
    [[nodiscard]] auto evictedUntil(CellId cell) const -> WallTime;

    /// Returns the keys of `cell` that were dispatched after `after`, newest first: those run by
    /// this host and those it inherited. Raises `knownSince` to the dispatch time of the newest key
    /// that is left out.
    /// @param limit maximum number of keys returned.
    [[nodiscard]] auto handOver(CellId cell, WallTime after, std::size_t limit,
                                WallTime &knownSince) const -> std::vector<DispatchedKey>;
    /// Stores the keys that the former home of `cell` handed over. Replaces those of an earlier
    /// handover.
    auto inherit(CellId cell, const std::vector<DispatchedKey> &keys, MonoTime now) -> void;
    /// Returns the state in which a former home handed over `name`: `Done` or `Unknown`; nothing if
    /// it did not hand it over.
    [[nodiscard]] auto inherited(const KeyName &name) const -> std::optional<KeyState>;

    /// Records that this host is home of `cell`, and from when it knows every dispatch there.
    auto recordTenure(CellId cell, const KnownFrom &known) -> void;
    /// Returns from when this host knows every dispatch of `cell`, as recorded for its current or
    /// last tenure of the cell; nothing if it never was its home.
    [[nodiscard]] auto tenureOf(CellId cell) const -> std::optional<KnownFrom>;

    /// Stores a lookup that is being sent, and returns its sequence number.
    auto addLookup(const PendingLookup &lookup) -> std::uint64_t;
    /// Removes and returns the lookup `sequence`; nothing if there is none.
    [[nodiscard]] auto takeLookup(std::uint64_t sequence) -> std::optional<PendingLookup>;
    /// Removes and returns the lookups sent before `time`.
    [[nodiscard]] auto takeLookupsBefore(MonoTime time) -> std::vector<PendingLookup>;
    /// Removes and returns the lookups sent to `host`.
    [[nodiscard]] auto takeLookupsTo(HostId host) -> std::vector<PendingLookup>;

private:
    /// An entry of the list of records in the order of their dispatches.
    struct DispatchEntry
    {
        KeyName name;
        WallTime dispatched;
        MonoTime expires;
    };

    auto expireInherited(MonoTime now) -> void;
    auto evictExcess() -> void;
    auto erase(const KeyName &name) -> void;
    auto storeAnswer(const KeyName &name, std::shared_ptr<const std::string> answer) -> void;
    auto dropAnswer(const KeyName &name) -> void;
    [[nodiscard]] auto toDispatchedKey(const DispatchEntry &entry) const -> DispatchedKey;
    [[nodiscard]] auto isCurrent(const DispatchEntry &entry) const -> bool;

    std::size_t keysMax;
    std::size_t answerBytesMax;
    std::unordered_map<KeyName, KeyRecord> records;
    std::unordered_map<ExchangeId, KeyName> names; ///< By first requests and attached repeats.
    std::deque<DispatchEntry> dispatchOrder;
    std::deque<KeyName> answerOrder; ///< Records with a stored answer, oldest first.
    std::size_t storedBytes = 0;
    std::vector<ExchangeId> orphans;
    std::vector<ExchangeId> released;
    std::vector<ExchangeId> parked;
    std::unordered_map<CellId, WallTime> forgottenTimes; ///< Latest dispatch forgotten.
    std::unordered_map<CellId, WallTime> evictedTimes;   ///< Latest dispatch evicted.
    std::unordered_map<CellId, KnownFrom> tenures;
    std::unordered_map<CellId, InheritedKeys> inheritedKeys;
    std::map<std::uint64_t, PendingLookup> lookups;
    std::uint64_t lastSequence = 0;
};

} // namespace flamingograde
