/// Emulated directory store with upstream records, rows and evacuations that hosts read and watch.
#pragma once

#include "emulator/network.h"

#include <flamingograde/action.h>
#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/event.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace flamingograde::emulator {

class VirtualClock;

/// How the store responds to a call.
enum class StoreMode : std::uint8_t {
    Answers,
    Refuses, ///< Rejects the call immediately.
    Silent,  ///< Never responds.
};

/// A page of the stored records, ordered by instance.
struct StorePage
{
    DirectoryUpdate update; ///< The first page also has the rows and evacuations.
    bool hasMore = false;
};

/// Callbacks of a page read.
struct PageHandlers
{
    /// Set by the caller to end the call; no handler is called afterwards.
    std::shared_ptr<bool> cancelled;
    std::function<void(std::size_t bytes, std::size_t size)> onBytes; ///< A part arrived.
    std::function<void(StorePage)> onPage;
    std::function<void(DirectoryReadFailed)> onFailure;
};

/// Keeps records with revisions and leases and a change history, serves reads and watches, and
/// emulates outages.
/// @remarks Not thread safe.
class EmulatedStore
{
public:
    using Answer = std::function<void(Event)>;

    EmulatedStore(VirtualClock &virtualClock, Network &emulatedNetwork, std::uint64_t seed);

    /// Publishes rows at a new revision. Precondition: none.
    auto publish(PacketRows rows) -> void;
    /// Writes an upstream's record, or renews its lease if the record is unchanged.
    /// @returns whether the store accepted the write.
    auto write(const Place &from, const Upstream &upstream) -> bool;
    /// Removes an upstream's record. @returns whether the store accepted the removal.
    auto remove(const Place &from, InstanceId instance) -> bool;

    /// Stores an operator's order to evacuate a zone.
    /// @returns whether the store accepted the order; false while it is down.
    auto evacuate(const std::string &zone) -> bool;
    /// Ends a zone's evacuation. @returns whether the store accepted the order.
    auto endEvacuation(const std::string &zone) -> bool;

    /// Reads the records after an instance, up to a page.
    auto readPage(const Place &from, bool mayBeStale, InstanceId after, PageHandlers handlers)
            -> void;
    /// Performs a host's watch; `report` is called at most once.
    /// Precondition: `asked.after` is valid.
    auto watch(const Place &from, const ReadDirectory &asked, const Answer &report) -> void;

    /// Copies the present contents, to which `restoreCopy` goes back. Precondition: none.
    auto takeCopy() -> void;
    /// Loses everything written since `takeCopy`: goes back to the copied contents and revision,
    /// starts a new epoch and fails all open watches. Revisions after the copy are given out again,
    /// and watches from one of them fail with `DirectoryFailure::Forgotten`. Leases begin anew.
    /// Precondition: `takeCopy` was called.
    auto restoreCopy() -> void;

    /// Discards the history and fails all open watches; later watches from an earlier revision fail
    /// with `DirectoryFailure::Forgotten`. Precondition: none.
    auto forgetHistory() -> void;
    /// Removes records whose lease has expired. Precondition: called periodically.
    auto expire() -> void;

    /// Returns the revision of the latest change. Precondition: none.
    [[nodiscard]] auto revision() const -> Revision { return { this->contents.last, this->epoch }; }
    /// Returns the version of the rows; 0 if there are none.
    [[nodiscard]] auto rowsVersion() const -> std::uint64_t;
    /// Returns whether an order to evacuate a zone is in force.
    [[nodiscard]] auto isEvacuated(const std::string &zone) const -> bool;
    /// Returns whether calls from a place are answered and no answers are being lost.
    /// Precondition: none.
    [[nodiscard]] auto isStableFor(const Place &from) const -> bool
    {
        return this->answerLossShare <= 0 && this->modeFor(from) == StoreMode::Answers;
    }
    /// Returns how the store currently responds to calls from a place.
    [[nodiscard]] auto modeFor(const Place &from) const -> StoreMode;

    StoreMode mode = StoreMode::Answers;
    /// Overrides `mode` for single hosts, by name, while the store is up.
    std::map<std::string, StoreMode> modeByHost;
    bool leasesExpireDuringOutage = false; ///< Leases also expire while the store is down.
    double answerLossShare = 0;            ///< Share of answers that are lost.
    Duration answerDelay { 4000 };
    /// Age of answers to reads that accept an old one. Precondition: set before the changes that
    /// such answers are to lack.
    Duration staleBy { 0 };
    double readsPerSecond = 2000;
    std::size_t pageRecords = 500; ///< Most records in a page.
    std::size_t recordBytes = 500; ///< Encoded size of a record or a row.
    double linkBytesPerSecond =
            0;                  ///< Rate of the store's link, which page reads share; 0: no limit.
    Duration lease { 3600000 }; ///< Three heartbeat intervals.
    double calls = 0;           ///< Weighted number of reads: one with `mayBeLate` counts a tenth.
    std::uint64_t refusedCalls = 0;

private:
    struct StoredRecord
    {
        DirectoryRecord record;
        MonoTime leaseEnd;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        InstanceId instance; ///< Invalid for changes of rows or evacuations.
        MonoTime at;
    };
    /// What the store keeps, and loses when it is restored from a copy.
    struct Contents
    {
        std::uint64_t last = 1;
        std::uint64_t historyStart = 1; ///< Changes up to this revision have been discarded.
        std::map<InstanceId, StoredRecord> records;
        std::map<InstanceId, std::uint64_t> removals;      ///< Revisions of removals.
        std::map<std::string, ZoneEvacuation> evacuations; ///< By zone, including ended ones.
        std::shared_ptr<const PacketRows> rows;
        std::deque<Change> history;
    };
    /// What the store kept before a change.
    struct PastContents
    {
        Contents contents;
        MonoTime changedAt;
    };
    struct Watch
    {
        Place from;
        Revision after;
        Answer answer;
        std::uint64_t number = 0;
    };

    /// A page on its way to a host.
    struct Transfer
    {
        StorePage page;
        PageHandlers handlers;
        std::size_t size = 0;
        std::size_t sent = 0;
    };

    auto storeEvacuation(const std::string &zone, bool inForce) -> bool;
    auto recordChange(InstanceId instance) -> void;
    /// Keeps the present contents for old answers, as they are about to change.
    auto keepPast() -> void;
    /// Returns what the store kept `staleBy` ago.
    [[nodiscard]] auto pastContents() const -> const Contents &;
    /// Fails all open watches. @param why the reason that their callers get.
    auto cutWatches(const std::string &why) -> void;
    /// Marks everything that the store keeps as of its present epoch.
    auto markEpoch() -> void;
    auto answerWatches() -> void;
    /// Wraps `report` so that it is called once: with the store's answer, or with a failure when
    /// the caller's HTTP client would time out.
    auto withTimeout(const ReadDirectory &asked, const Answer &report) -> Answer;
    auto reply(const Place &from, const Answer &answer, Event event) -> void;
    auto addWatch(const Place &from, const ReadDirectory &asked, Answer answer) -> void;
    [[nodiscard]] auto consumeReadAllowance(bool mayBeStale) -> bool;
    [[nodiscard]] auto pageAfter(const Contents &from, InstanceId after) const -> StorePage;
    /// Sends the rest of a page over the link in parts that take turns with those of other calls.
    auto transmit(const Place &from, std::shared_ptr<Transfer> transfer) -> void;
    [[nodiscard]] auto changesAfter(Revision after) const -> DirectoryUpdate;

    VirtualClock &clock;
    Network &network;
    std::mt19937_64 random;
    Place place { "store", "" };
    Contents contents;
    Contents copied;               ///< See `takeCopy`.
    std::deque<PastContents> past; ///< Of the last `staleBy`, the oldest first.
    std::uint32_t epoch = 1;
    std::vector<Watch> watches;
    std::uint64_t lastWatchNumber = 0;
    MonoTime linkFreeAt; ///< When the link has sent what has been passed to it.
    MonoTime allowanceUpdatedAt;
    double allowance = 0;
};

} // namespace flamingograde::emulator
