/// Emulated client that reads the directory from the emulated store.
#include "emulator/emulatedreader.h"

#include "emulator/virtualclock.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <utility>

namespace flamingograde::emulator {

EmulatedReader::EmulatedReader(VirtualClock &virtualClock, EmulatedStore &platform, Place place,
                               Post report)
    : clock(virtualClock), store(platform), self(std::move(place)), post(std::move(report))
{}

EmulatedReader::~EmulatedReader()
{
    this->act(StopReadingDirectory { false });
}

auto EmulatedReader::beginCall() -> void
{
    if (this->cancelled != nullptr) {
        *this->cancelled = true;
    }
    this->cancelled = std::make_shared<bool>(false);
}

auto EmulatedReader::act(const ReadDirectory &action) -> void
{
    const auto continues = this->hasPages && !action.after.isValid()
                           && action.mayBeStale == this->currentRead.mayBeStale;
    this->currentRead = action;
    ++this->readNumber;
    if (!continues) {
        this->update = DirectoryUpdate();
        this->lastInstance = InstanceId();
        this->hasPages = false;
    }
    if (!action.after.isValid()) {
        this->readPage();
        return;
    }
    this->beginCall();
    this->store.watch(this->self, action, [this, call = this->cancelled](const Event &event) {
        if (!*call) {
            *call = true;
            this->post(event);
        }
    });
}

auto EmulatedReader::act(const StopReadingDirectory &action) -> void
{
    if (this->cancelled != nullptr) {
        *this->cancelled = true;
    }
    ++this->readNumber;
    this->hasPages = this->hasPages && action.keepsPages;
}

auto EmulatedReader::readPage() -> void
{
    this->beginCall();
    this->received = 0;
    this->silentSince = this->clock.now();
    PageHandlers handlers;
    handlers.cancelled = this->cancelled;
    handlers.onBytes = [this](std::size_t bytes, std::size_t size) {
        this->silentSince = this->clock.now();
        this->received += bytes;
        this->post(DirectoryReadProgress { this->received, size });
    };
    handlers.onPage = [this](StorePage page) { this->take(std::move(page)); };
    handlers.onFailure = [this](DirectoryReadFailed failure) { this->fail(std::move(failure)); };
    this->checkSilence(this->cancelled);
    this->store.readPage(this->self, this->currentRead.mayBeStale, this->lastInstance,
                         std::move(handlers));
}

auto EmulatedReader::checkSilence(std::shared_ptr<bool> ofCall) -> void
{
    const auto left = this->silentSince + config::directoryReadMargin - this->clock.now();
    this->clock.later(left, [this, ofCall = std::move(ofCall)] {
        if (*ofCall) {
            return;
        }
        if (this->clock.now() - this->silentSince < config::directoryReadMargin) {
            this->checkSilence(ofCall);
            return;
        }
        this->fail({ DirectoryFailure::Unreachable, "nothing of the answer arrived in time" });
    });
}

auto EmulatedReader::fail(DirectoryReadFailed failure) -> void
{
    *this->cancelled = true;
    this->post(std::move(failure));
}

auto EmulatedReader::take(StorePage page) -> void
{
    *this->cancelled = true;
    const auto number = this->readNumber;
    auto &all = this->update;
    if (all.upTo.isValid() && all.upTo.epoch != page.update.upTo.epoch) {
        this->update = DirectoryUpdate();
        this->lastInstance = InstanceId();
        this->hasPages = false;
        this->post(DirectoryReadFailed { DirectoryFailure::Forgotten,
                                         "the store was restored between two pages" });
        return;
    }
    all.upTo = all.upTo.isValid() ? std::min(all.upTo, page.update.upTo) : page.update.upTo;
    all.present.insert(all.present.end(), page.update.present.begin(), page.update.present.end());
    if (page.update.rows != nullptr) {
        all.rows = page.update.rows;
        all.evacuations = page.update.evacuations;
    }
    if (page.hasMore) {
        this->hasPages = true;
        this->lastInstance = page.update.present.back().upstream.instance;
        page.update.evacuations = all.evacuations;
        this->post(DirectoryPageRead { std::move(page.update) });
        if (number == this->readNumber) {
            this->readPage();
        }
        return;
    }
    this->hasPages = false;
    this->post(DirectoryRead { std::exchange(this->update, DirectoryUpdate()),
                               this->currentRead.mayBeStale });
}

} // namespace flamingograde::emulator
