/// The keys that this host has run as a home.
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
/// What it forgets it remembers as a time: a key that may have been dispatched before that time is
/// no longer known to be unseen.
/// @remarks Written by the key controller, but for `dispatched` (the admission controller) and
/// `remove`. Not thread safe.
class KeyRegistry
{
public:
    /// Precondition: both limits are above 0.
    explicit KeyRegistry(std::size_t keyLimit = config::keysMax,
                         std::size_t answerBytesLimit = config::storedAnswersBytesMax)
        : keysMax(keyLimit), answerBytesMax(answerBytesLimit)
    {}

    /// Returns what is known of `key`; `Unseen` where this host never dispatched it.
    [[nodiscard]] auto stateOf(CellId cell, const std::string &key) const -> KeyState;

    /// Returns the record, or null.
    [[nodiscard]] auto find(const KeyName &name) -> KeyRecord *;
    /// Returns the record whose first request is `exchange`, or null.
    [[nodiscard]] auto recordOf(ExchangeId exchange) -> KeyRecord *;
    /// Returns the number of records.
    [[nodiscard]] auto size() const -> std::size_t { return this->records.size(); }
    /// Returns the bytes of all kept answers.
    [[nodiscard]] auto answerBytes() const -> std::size_t { return this->keptBytes; }

    /// Makes `exchange` the first request of `name`; it has not been dispatched yet.
    /// Precondition: `name` has no record.
    auto reserve(const KeyName &name, ExchangeId exchange) -> void;
    /// Lets `exchange` wait for the first request of `name`. Precondition: `name` has a record.
    auto attach(const KeyName &name, ExchangeId exchange) -> void;
    /// Notes that `exchange` is being dispatched.
    /// @returns the repeats attached to it; empty also where it has no key on record.
    auto dispatched(ExchangeId exchange, std::uint32_t attempt, Now now) -> std::vector<ExchangeId>;
    /// Ends the running request `exchange` with `state` and keeps `answer` if there is room.
    /// @returns the repeats that waited for it. Precondition: it is the first of a record.
    auto finish(ExchangeId exchange, KeyState state, std::shared_ptr<const std::string> answer)
            -> std::vector<ExchangeId>;
    /// Forgets the key of `exchange`, which was provably not run. Its repeats are released.
    /// Precondition: it is the first of a record.
    auto clear(ExchangeId exchange) -> void;
    /// Lets go of an exchange that is removed. A running first one becomes an orphan until the key
    /// controller says what came of it.
    auto remove(ExchangeId exchange) -> void;
    /// Returns the running first requests that were removed, and forgets the list.
    [[nodiscard]] auto takeOrphans() -> std::vector<ExchangeId>;
    /// Returns the repeats whose first request was not run, and forgets the list.
    [[nodiscard]] auto takeReleased() -> std::vector<ExchangeId>;

    /// Sets `exchange` aside until it is known whether this host becomes home of its cell.
    auto park(ExchangeId exchange) -> void { this->parked.push_back(exchange); }
    /// Returns the exchanges set aside, some of which may be gone, and forgets the list.
    [[nodiscard]] auto takeParked() -> std::vector<ExchangeId>;
    /// Returns how many are set aside.
    [[nodiscard]] auto parkedCount() const -> std::size_t { return this->parked.size(); }

    /// Forgets what is past its lifetime.
    auto expire(MonoTime now) -> void;
    /// Returns the wall time after which every dispatch of `cell` is still remembered; the epoch
    /// if nothing was forgotten.
    [[nodiscard]] auto forgottenUntil(CellId cell) const -> WallTime;
    /// Returns the same without what was forgotten for its age alone.
    [[nodiscard]] auto evictedUntil(CellId cell) const -> WallTime;

    /// Returns the keys of `cell` dispatched after `after`, newest first, by this host or as it was
    /// told. Raises `knownSince` to the dispatch of the newest one left out.
    /// @param most the length of the list.
    [[nodiscard]] auto handOver(CellId cell, WallTime after, std::size_t most,
                                WallTime &knownSince) const -> std::vector<HandedKey>;
    /// Remembers what the former home of `cell` handed over, in place of what one did before.
    auto inherit(CellId cell, const std::vector<HandedKey> &keys, MonoTime now) -> void;
    /// Returns what a former home told of `name`: `Done`, `Unknown`, or nothing.
    [[nodiscard]] auto inherited(const KeyName &name) const -> std::optional<KeyState>;

    /// Notes that this host is home of `cell` and from when it knows every dispatch.
    auto noteTenure(CellId cell, const KnownFrom &known) -> void;
    /// Returns the same for the cell's present or last tenure of this host, or nothing.
    [[nodiscard]] auto tenureOf(CellId cell) const -> std::optional<KnownFrom>;

    /// Notes a question and returns its sequence number.
    auto addLookup(const PendingLookup &lookup) -> std::uint64_t;
    /// Returns and forgets the question `sequence`, or nothing.
    [[nodiscard]] auto takeLookup(std::uint64_t sequence) -> std::optional<PendingLookup>;
    /// Returns and forgets the questions put before `time`.
    [[nodiscard]] auto takeLookupsBefore(MonoTime time) -> std::vector<PendingLookup>;
    /// Returns and forgets the questions put to `host`.
    [[nodiscard]] auto takeLookupsTo(HostId host) -> std::vector<PendingLookup>;

private:
    /// A dispatched record in the order of dispatches.
    struct Aged
    {
        KeyName name;
        WallTime dispatched;
        MonoTime expires;
    };

    auto expireInherited(MonoTime now) -> void;
    auto makeRoom() -> void;
    auto erase(const KeyName &name) -> void;
    auto keep(const KeyName &name, std::shared_ptr<const std::string> answer) -> void;
    auto dropAnswer(const KeyName &name) -> void;
    [[nodiscard]] auto handed(const Aged &entry) const -> HandedKey;
    [[nodiscard]] auto isCurrent(const Aged &entry) const -> bool;

    std::size_t keysMax;
    std::size_t answerBytesMax;
    std::unordered_map<KeyName, KeyRecord> records;
    std::unordered_map<ExchangeId, KeyName> names; ///< Of first requests and repeats.
    std::deque<Aged> aged;
    std::deque<KeyName> kept; ///< Records with an answer, oldest first.
    std::size_t keptBytes = 0;
    std::vector<ExchangeId> orphans;
    std::vector<ExchangeId> released;
    std::vector<ExchangeId> parked;
    std::unordered_map<CellId, WallTime> forgotten;
    std::unordered_map<CellId, WallTime> evicted;
    std::unordered_map<CellId, KnownFrom> tenures;
    std::unordered_map<CellId, InheritedKeys> inheritedKeys;
    std::map<std::uint64_t, PendingLookup> lookups;
    std::uint64_t lastSequence = 0;
};

} // namespace flamingograde
