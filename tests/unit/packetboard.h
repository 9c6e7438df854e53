/// Test fixture: a blackboard with a small directory, for the packet path without a network.
#pragma once

#include "core/blackboard.h"
#include "core/packets/packetcontroller.h"
#include "core/packets/packetsteering.h"

#include <flamingograde/config.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde {

inline const Address feedAddress { 0xc6120001, 8443 };
inline const Address papersAddress { 0xc6120002, 8443 };

/// Returns the directory record of an active upstream.
inline auto record(std::uint64_t instance, const std::string &service, const std::string &zone,
                   std::uint64_t changed) -> DirectoryRecord
{
    DirectoryRecord made;
    auto &upstream = made.upstream;
    upstream.instance = InstanceId(instance);
    upstream.name = "up-" + std::to_string(instance);
    upstream.id = UpstreamId::ofName(upstream.name);
    upstream.serviceName = service;
    upstream.service = ServiceId::ofName(service);
    upstream.zoneName = zone;
    upstream.zone = ZoneId::ofName(zone);
    upstream.address = { 0x0a800000 + static_cast<std::uint32_t>(instance & 0xffffU), 8080 };
    made.changed = { changed };
    made.created = { changed };
    return made;
}

/// Returns a row with one service.
inline auto packetRow(const std::string &name, Address address, const std::string &service)
        -> PacketRow
{
    PacketRow row;
    row.name = name;
    row.id = RowId::ofName(name);
    row.address = address;
    row.shares = { { ServiceId::ofName(service), service, 1 } };
    return row;
}

/// Returns a set of rows that changed at revision `changed`.
inline auto packetRows(std::uint64_t changed, std::vector<PacketRow> list)
        -> std::shared_ptr<const PacketRows>
{
    auto rows = std::make_shared<PacketRows>();
    rows->version = changed;
    rows->changed = { changed };
    rows->rows = std::move(list);
    return rows;
}

/// Returns the rows "feed" and "papers", changed at revision `changed`.
inline auto bothRows(std::uint64_t changed) -> std::shared_ptr<const PacketRows>
{
    return packetRows(changed, { packetRow("feed", feedAddress, "live"),
                                 packetRow("papers", papersAddress, "papers") });
}

/// Returns the settings of a host in zone "a" that reads the directory.
inline auto directoryHostSettings() -> Init
{
    Init init;
    init.self.name = "host";
    init.self.id = HostId::ofName("host");
    init.self.zoneName = "a";
    init.self.zone = ZoneId::ofName("a");
    init.readsDirectory = true;
    return init;
}

/// A host in zone "a" with two rows. The service "live" has upstreams 1 to 3 in zone "a" and 4 in
/// zone "b"; the service "papers" has upstream 5 in zone "a".
class PacketBoard
{
public:
    PacketBoard() : board(settings())
    {
        DirectoryUpdate update;
        update.upTo = { 10 };
        update.rows = bothRows(1);
        update.present = { record(1, "live", "a", 2), record(2, "live", "a", 3),
                           record(3, "live", "a", 4), record(4, "live", "b", 5),
                           record(5, "papers", "a", 6) };
        this->take(update);
        // The first packet starts the period in which unanswered openings do not count.
        this->board.now.mono += std::chrono::seconds(100);
        this->acknowledge(60000, Cookie::of(InstanceId(1)));
        this->advance(config::evidenceHoldOff);
    }

    /// Takes an update that was read from the platform.
    auto take(const DirectoryUpdate &update) -> void
    {
        this->board.directory.apply(update, this->board.now.mono);
        this->board.freshness.noteRead(this->board.now.mono);
    }

    /// Replaces the rows at revision 12. Precondition: the directory is at revision 10.
    auto takeRows(std::vector<PacketRow> rows) -> void
    {
        DirectoryUpdate update;
        update.after = { 10 };
        update.upTo = { 12 };
        update.rows = packetRows(12, std::move(rows));
        this->take(update);
    }

    /// Applies an order to evacuate a zone. Precondition: `at` is above the revision in force.
    auto evacuate(const std::string &zone, std::uint64_t at) -> void
    {
        DirectoryUpdate update;
        update.after = this->board.directory.revision();
        update.upTo = { at };
        update.evacuations = { { ZoneId::ofName(zone), zone, { at }, true } };
        this->take(update);
    }

    /// Advances the clock by `duration` in ticks, and collects the log events of each tick.
    auto advance(Duration duration) -> void
    {
        const auto end = this->board.now.mono + duration;
        while (this->board.now.mono < end) {
            this->board.now.mono +=
                    std::min<Duration>(config::tickPeriod, end - this->board.now.mono);
            this->board.outbox.clear();
            this->controller.handle(this->board, Tick {});
            for (const auto &action : this->board.outbox) {
                if (const auto *log = std::get_if<Log>(&action)) {
                    this->logs.push_back(log->event);
                }
            }
        }
    }

    auto steer(const PacketHead &head) -> PacketDecision { return steerPacket(this->board, head); }

    /// Sends an opening packet of a new flow. @returns the decision.
    auto open(std::uint16_t port, Address service = feedAddress, std::uint32_t copy = 0)
            -> PacketDecision
    {
        return this->steer(opening(port, service, copy));
    }

    /// Sends the second packet of a flow, which shows that its upstream answered.
    auto acknowledge(std::uint16_t port, Cookie cookie, Address service = feedAddress)
            -> PacketDecision
    {
        return this->steer(following(port, cookie, service));
    }

    /// Returns an opening packet.
    static auto opening(std::uint16_t port, Address service, std::uint32_t copy) -> PacketHead
    {
        PacketHead head;
        head.service = service;
        head.caller = { 0x64400007, port };
        head.sequence = 1000;
        head.retransmissions = copy;
        head.flags.opens = true;
        return head;
    }

    /// Returns a packet of an open flow, without data.
    static auto following(std::uint16_t port, Cookie cookie, Address service) -> PacketHead
    {
        PacketHead head;
        head.service = service;
        head.caller = { 0x64400007, port };
        head.cookie = cookie;
        head.sequence = 1001;
        head.acknowledged = 5001;
        head.flags.acknowledges = true;
        return head;
    }

    /// Returns an upstream's entry. Precondition: it is in the directory.
    [[nodiscard]] auto entry(std::uint64_t instance) -> UpstreamEntry &
    {
        return *this->board.directory.byCookie(Cookie::of(InstanceId(instance)));
    }

    Blackboard board;
    PacketController controller;
    std::vector<LogEvent> logs;

private:
    static auto settings() -> Init
    {
        Init init;
        init.self.name = "host";
        init.self.zoneName = "a";
        init.readsDirectory = true;
        init.flowsTracked = 1024;
        return init;
    }
};

} // namespace flamingograde
