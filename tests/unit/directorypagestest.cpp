/// Tests of the pages in which a host sends its whole directory to another one.
#include "packetboard.h"

#include "core/directory/directorypages.h"
#include "core/directory/pagetransfer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <set>
#include <vector>

using namespace flamingograde;

namespace {

constexpr std::uint64_t upstreams = 40;
constexpr std::size_t pageSize = 7;
const auto zoneA = ZoneId::ofName("a");

/// Returns a directory at `revision` with upstreams 1 to `upstreams`; those with even numbers are
/// in zone "a", the others in zone "b".
auto sampleDirectory(std::uint64_t revision, std::uint32_t epoch = 0) -> Directory
{
    DirectoryUpdate update;
    update.upTo = { revision, epoch };
    update.rows = bothRows(1);
    for (std::uint64_t i = 1; i <= upstreams; ++i) {
        update.present.push_back(record(i, "live", i % 2 == 0 ? "a" : "b", 2));
    }
    update.evacuations = { { ZoneId::ofName("b"), "b", { 3 }, true } };
    Directory directory(zoneA);
    directory.apply(update, MonoTime());
    return directory;
}

auto instancesOf(const DirectoryUpdate &update) -> std::set<std::uint64_t>
{
    std::set<std::uint64_t> instances;
    for (const auto &record : update.present) {
        instances.insert(record.upstream.instance.value());
    }
    return instances;
}

} // namespace

TEST_CASE("the pages of a directory contain each upstream once, those of the receiver's zone first",
          "[directory]")
{
    const auto directory = sampleDirectory(10);
    PageTransfer transfer;
    std::vector<std::uint64_t> order;
    while (!transfer.isComplete()) {
        const auto page = makePage(directory, zoneA, transfer.position(), pageSize);
        CHECK(page.update.present.size() <= pageSize);
        CHECK((page.update.rows != nullptr) == order.empty());
        for (const auto &record : page.update.present) {
            order.push_back(record.upstream.instance.value());
        }
        REQUIRE(transfer.add(page));
    }
    REQUIRE(order.size() == upstreams);
    const auto firstFar = std::find_if(order.begin(), order.end(),
                                       [](std::uint64_t instance) { return instance % 2 != 0; });
    CHECK(firstFar - order.begin() == upstreams / 2);

    const auto whole = transfer.take();
    CHECK(whole.isWhole());
    CHECK(whole.upTo.number == 10);
    CHECK(instancesOf(whole).size() == upstreams);
    CHECK(whole.rows != nullptr);
    REQUIRE(whole.evacuations.size() == 1);
    CHECK(whole.evacuations.front().zoneName == "b");
}

TEST_CASE("a page transfer that another host continues has the lower revision of both",
          "[directory]")
{
    const auto newer = sampleDirectory(12);
    const auto older = sampleDirectory(10);
    PageTransfer transfer;
    REQUIRE(transfer.add(makePage(newer, zoneA, transfer.position(), pageSize)));
    while (!transfer.isComplete()) {
        REQUIRE(transfer.add(makePage(older, zoneA, transfer.position(), pageSize)));
    }
    const auto whole = transfer.take();
    CHECK(whole.upTo.number == 10);
    CHECK(instancesOf(whole).size() == upstreams);
}

TEST_CASE("a page transfer begins anew when a page of another epoch arrives",
          "[directory][restore]")
{
    const auto before = sampleDirectory(10, 1);
    const auto restored = sampleDirectory(8, 2);
    PageTransfer transfer;
    REQUIRE(transfer.add(makePage(before, zoneA, transfer.position(), pageSize)));
    CHECK_FALSE(transfer.add(makePage(restored, zoneA, transfer.position(), pageSize)));
    CHECK(transfer.position() == DirectoryPosition());
    while (!transfer.isComplete()) {
        REQUIRE(transfer.add(makePage(restored, zoneA, transfer.position(), pageSize)));
    }
    const auto whole = transfer.take();
    CHECK(whole.upTo == Revision { 8, 2 });
    CHECK(instancesOf(whole).size() == upstreams);
}

TEST_CASE("a page that arrives twice is added once", "[directory]")
{
    const auto directory = sampleDirectory(10);
    PageTransfer transfer;
    const auto page = makePage(directory, zoneA, transfer.position(), pageSize);
    CHECK(transfer.add(page));
    CHECK_FALSE(transfer.add(page));
    CHECK_FALSE(transfer.position() == DirectoryPosition());
}

TEST_CASE("the time allowed for a page doubles while requests stay unanswered", "[directory]")
{
    const auto directory = sampleDirectory(10);
    PageTransfer transfer;
    const auto first = transfer.noteRequest(HostId(1));
    CHECK(transfer.noteRequest(HostId(1)) == 2 * first);
    CHECK(transfer.noteRequest(HostId(2)) == 4 * first);
    REQUIRE(transfer.add(makePage(directory, zoneA, transfer.position(), pageSize)));
    CHECK(transfer.noteRequest(HostId(2)) == first);
}

TEST_CASE("a directory to which pages were added places flows, but has no revision", "[directory]")
{
    const auto directory = sampleDirectory(10);
    Directory receiver(zoneA);
    const auto page = makePage(directory, zoneA, {}, pageSize);
    receiver.applyPage(page.update, MonoTime());
    CHECK(receiver.hasPart());
    CHECK_FALSE(receiver.revision().isValid());
    CHECK(receiver.listedCount() == pageSize);
    CHECK(receiver.rowAt(feedAddress) != nullptr);
    CHECK(receiver.evacuations().isEvacuated(ZoneId::ofName("b")));
    CHECK(receiver.poolOf(ServiceId::ofName("live")).near.size() == pageSize);

    const auto part = makePart(receiver, {}, pageSize);
    CHECK(part.isPart);
    CHECK(instancesOf(part.update) == instancesOf(page.update));
    CHECK(part.update.rows != nullptr);
}

TEST_CASE("upstreams of pages that the whole directory no longer contains are removed",
          "[directory]")
{
    const auto directory = sampleDirectory(10);
    Directory receiver(zoneA);
    receiver.applyPage(makePage(directory, zoneA, {}, pageSize).update, MonoTime());
    DirectoryUpdate whole;
    whole.upTo = { 11 };
    whole.rows = bothRows(1);
    whole.present = { record(2, "live", "a", 2) };
    receiver.apply(whole, MonoTime());
    CHECK(receiver.revision().number == 11);
    CHECK(receiver.listedCount() == 1);
    CHECK_FALSE(receiver.evacuations().isEvacuated(ZoneId::ofName("b")));
}
