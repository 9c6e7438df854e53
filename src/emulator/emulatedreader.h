/// Emulated client that reads the directory from the emulated store.
#pragma once

#include "emulator/emulatedstore.h"
#include "emulator/network.h"

#include <flamingograde/action.h>
#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace flamingograde::emulator {

class VirtualClock;

/// Executes one read at a time, as the client of the real store does: a page at a time, with the
/// pages kept when a call fails, and with a time limit for silence only.
/// @remarks Not thread safe.
class EmulatedReader
{
public:
    using Post = std::function<void(Event)>;

    /// @param report gets the result of each read. Precondition: `virtualClock` and `platform`
    /// outlive this.
    EmulatedReader(VirtualClock &virtualClock, EmulatedStore &platform, Place place, Post report);
    ~EmulatedReader();
    EmulatedReader(const EmulatedReader &) = delete;
    auto operator=(const EmulatedReader &) -> EmulatedReader & = delete;

    /// Starts a read; supersedes the one in progress. Precondition: none.
    auto act(const ReadDirectory &action) -> void;
    /// Stops the read in progress. Precondition: none.
    auto act(const StopReadingDirectory &action) -> void;

private:
    auto beginCall() -> void;
    auto readPage() -> void;
    auto take(StorePage page) -> void;
    auto fail(DirectoryReadFailed failure) -> void;
    auto checkSilence(std::shared_ptr<bool> ofCall) -> void;

    VirtualClock &clock;
    EmulatedStore &store;
    Place self;
    Post post;
    ReadDirectory currentRead;
    DirectoryUpdate update;          ///< The pages read so far.
    InstanceId lastInstance;         ///< Last one of the pages read.
    std::shared_ptr<bool> cancelled; ///< Of the call in progress; null if there is none.
    std::uint64_t readNumber = 0;    ///< Of the current read.
    MonoTime silentSince;            ///< When a part of the response last arrived.
    std::size_t received = 0;        ///< Bytes of the current response.
    bool hasPages = false;           ///< Pages of an incomplete read are kept.
};

} // namespace flamingograde::emulator
