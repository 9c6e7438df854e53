/// The users' store: keeps records, lets hosts read and watch.
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

/// How the store treats a call.
enum class StoreMode : std::uint8_t {
    Answers,
    Refuses, ///< Turns it away at once.
    Silent,  ///< Says nothing.
};

/// Records with revisions and leases, a bounded history, watches, and faults.
/// @remarks Not thread safe.
class EmulatedStore
{
public:
    using Answer = std::function<void(Event)>;

    EmulatedStore(VirtualClock &owner, Network &between, std::uint64_t seed);

    /// Publishes rows under a new version. Precondition: none.
    auto publish(PacketRows rows) -> void;
    /// Writes an upstream's record, or renews its lease where it is as it was.
    /// @returns whether the store took it.
    auto write(const Place &from, const Upstream &upstream) -> bool;
    /// Removes an upstream's record. @returns whether the store took it.
    auto remove(const Place &from, InstanceId instance) -> bool;

    /// Stores an operator's order to evacuate a zone.
    /// @returns whether the store took it; it does not while it is down.
    auto evacuate(const std::string &zone) -> bool;
    /// Ends a zone's evacuation. @returns whether the store took it.
    auto endEvacuation(const std::string &zone) -> bool;

    /// Carries out a host's read; `answer` is called at most once.
    auto read(const Place &from, const ReadDirectory &asked, const Answer &report) -> void;

    /// Drops the history: watches from before it are told so. Precondition: none.
    auto forgetHistory() -> void;
    /// Removes records whose lease ran out. Precondition: to be called now and then.
    auto expire() -> void;

    /// Returns the newest change. Precondition: none.
    [[nodiscard]] auto revision() const -> Revision { return { this->last }; }
    /// Returns whether a place is answered and no answer is lost. Precondition: none.
    [[nodiscard]] auto isStableFor(const Place &from) const -> bool
    {
        return this->answersLost <= 0 && this->modeFor(from) == StoreMode::Answers;
    }
    /// Returns what a host is to get now.
    [[nodiscard]] auto modeFor(const Place &from) const -> StoreMode;

    StoreMode mode = StoreMode::Answers;
    std::map<std::string, StoreMode> turnedAway; ///< By host.
    bool leasesLapse = false; ///< Leases run out while the store does not answer.
    double answersLost = 0;   ///< Share of answers that never come.
    Duration answerTime { 4000 };
    Duration staleBy { 0 }; ///< How old late answers are.
    double readsPerSecond = 2000;
    Duration lease { 3600000 }; ///< Three heartbeats.
    double calls = 0;           ///< As priced: a late read costs a tenth.
    std::uint64_t refusedCalls = 0;

private:
    struct Kept
    {
        DirectoryRecord record;
        MonoTime leaseEnd;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        InstanceId instance; ///< Invalid: the rows.
        MonoTime at;
    };
    struct Watch
    {
        Place from;
        Revision after;
        Answer answer;
        std::uint64_t number = 0;
    };

    auto putEvacuation(const std::string &zone, bool inForce) -> bool;
    auto note(InstanceId instance) -> void;
    auto wake() -> void;
    /// Returns an answer that is given once: by the store, or in its place when the caller's HTTP
    /// client would give up.
    auto withTimeout(const ReadDirectory &asked, const Answer &report) -> Answer;
    auto reply(const Place &from, const Answer &answer, Event event) -> void;
    auto watch(const Place &from, const ReadDirectory &asked, Answer answer) -> void;
    [[nodiscard]] auto mayCall(const ReadDirectory &asked) -> bool;
    [[nodiscard]] auto whole() const -> DirectoryUpdate;
    [[nodiscard]] auto changesAfter(Revision after) const -> DirectoryUpdate;

    VirtualClock &clock;
    Network &network;
    std::mt19937_64 random;
    Place place { "store", "" };
    std::uint64_t last = 1;
    std::uint64_t historyBegins = 1; ///< Changes up to this are forgotten.
    std::map<InstanceId, Kept> kept;
    std::map<InstanceId, std::uint64_t> gone;          ///< Revision of each removal.
    std::map<std::string, ZoneEvacuation> evacuations; ///< By zone, including ended ones.
    std::shared_ptr<const PacketRows> rows;
    std::deque<Change> history;
    std::vector<Watch> watches;
    std::uint64_t lastWatch = 0;
    MonoTime allowedAt;
    double allowance = 0;
};

} // namespace flamingograde::emulator
