/// Exports the metrics of a host in the Prometheus text format.
#include "net/metrics.h"

#include "net/packettraffic.h"
#include "net/peertraffic.h"

#include <flamingograde/packetdecision.h>
#include <flamingograde/refusal.h>

#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <limits>
#include <sstream>
#include <utility>
#include <vector>

namespace flamingograde::net {

namespace {

using Families = std::vector<prometheus::MetricFamily>;

constexpr auto microsecondsPerSecond = 1e6;
constexpr auto millisecondsPerSecond = 1e3;

/// Collects metric families and serializes them.
class MetricList
{
public:
    auto counter(const std::string &name, const std::string &help, double value) -> void
    {
        prometheus::ClientMetric metric;
        metric.counter.value = value;
        this->add(name + "_total", help, prometheus::MetricType::Counter, { metric });
    }

    auto gauge(const std::string &name, const std::string &help, double value) -> void
    {
        prometheus::ClientMetric metric;
        metric.gauge.value = value;
        this->add(name, help, prometheus::MetricType::Gauge, { metric });
    }

    auto histogram(const std::string &name, const std::string &help,
                   const LatencyHistogram &measured) -> void
    {
        prometheus::ClientMetric metric;
        auto &histogram = metric.histogram;
        for (std::size_t i = 0; i < measured.counts.size(); ++i) {
            histogram.sample_count += measured.counts[i];
            const auto bound = i < LatencyHistogram::bounds.size()
                                       ? LatencyHistogram::bounds[i] / millisecondsPerSecond
                                       : std::numeric_limits<double>::infinity();
            histogram.bucket.push_back({ histogram.sample_count, bound });
        }
        histogram.sample_sum = static_cast<double>(measured.sumMs) / millisecondsPerSecond;
        this->add(name, help, prometheus::MetricType::Histogram, { metric });
    }

    auto add(const std::string &name, const std::string &help, prometheus::MetricType type,
             std::vector<prometheus::ClientMetric> metrics) -> void
    {
        this->families.push_back({ "flamingograde_" + name, help, type, std::move(metrics) });
    }

    [[nodiscard]] auto toText() const -> std::string
    {
        std::ostringstream text;
        prometheus::TextSerializer().Serialize(text, this->families);
        return text.str();
    }

private:
    Families families;
};

auto number(std::uint64_t value) -> double
{
    return static_cast<double>(value);
}

auto seconds(const timeval &time) -> double
{
    return static_cast<double>(time.tv_sec)
           + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
}

auto cpuSeconds() -> double
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

auto residentBytes() -> double
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return number(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Adds a counter with one value per reason; `counts` is indexed by `Reason`.
template<typename Reason, typename Counts>
auto addByReason(MetricList &list, const std::string &name, const std::string &help,
                 const Counts &counts) -> void
{
    std::vector<prometheus::ClientMetric> metrics;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        prometheus::ClientMetric metric;
        const auto reason = toString(static_cast<Reason>(index));
        metric.label = { { "reason", std::string(reason) } };
        metric.counter.value = number(counts[index]);
        metrics.push_back(std::move(metric));
    }
    list.add(name, help, prometheus::MetricType::Counter, std::move(metrics));
}

auto addRefusals(MetricList &list, const Stats &stats) -> void
{
    addByReason<RefusalReason>(list, "refused_total", "Refusals by reason.", stats.refused);
}

auto addExchanges(MetricList &list, const Stats &stats) -> void
{
    list.counter("callers_arrived", "Requests from callers.", number(stats.callersArrived));
    list.counter("relays_arrived", "Requests relayed to this host.", number(stats.relaysArrived));
    list.counter("dispatched", "Requests sent to an upstream.", number(stats.dispatched));
    list.counter("relayed", "Requests sent to a home host.", number(stats.relayed));
    list.counter("answered", "Whole answers passed on.", number(stats.answered));
    list.counter("cut", "Answers that broke off.", number(stats.cut));
    list.counter("retried", "Requests placed again after provably not run.", number(stats.retried));
    list.counter("cancelled", "Callers that left, or deadlines that passed.",
                 number(stats.cancelled));
    list.counter("replayed", "Answers given again for a repeated key.", number(stats.replayed));
    list.counter("feeds_reopened", "Feeds opened again at their upstream.",
                 number(stats.feedsReopened));
    list.counter("feeds_ended", "Feeds moved to another host.", number(stats.feedsEnded));
    list.gauge("exchanges", "Requests under way.", number(stats.exchanges));
    list.gauge("feeds", "Feeds held.", number(stats.feeds));
    list.gauge("queued", "Requests waiting in homed cells.", number(stats.queued));
    list.gauge("running", "Requests running in homed cells.", number(stats.running));
    list.gauge("keys", "Remembered keys.", number(stats.keys));
    addRefusals(list, stats);
}

/// Adds a gauge with one value per service.
template<typename Value>
auto addByService(MetricList &list, const std::string &name, const std::string &help,
                  const Stats &stats, Value value) -> void
{
    std::vector<prometheus::ClientMetric> metrics;
    for (const auto &service : stats.services) {
        prometheus::ClientMetric metric;
        metric.label = { { "service", service.name } };
        metric.gauge.value = static_cast<double>(value(service));
        metrics.push_back(std::move(metric));
    }
    list.add(name, help, prometheus::MetricType::Gauge, std::move(metrics));
}

auto addAdmission(MetricList &list, const Stats &stats) -> void
{
    addByService(list, "service_slots", "Slots of upstreams that answer.", stats,
                 [](const auto &it) { return it.slots; });
    addByService(list, "service_share", "Part of the slots that this host may fill.", stats,
                 [](const auto &it) { return it.share; });
    addByService(list, "service_load", "Requests per slot of this host's part.", stats,
                 [](const auto &it) { return it.hostLoad; });
    addByService(list, "service_fleet_load", "Requests per slot by all hosts' reports.", stats,
                 [](const auto &it) { return it.fleetLoad; });
    addByService(list, "service_slot_milliseconds", "Time in which a slot ends most requests.",
                 stats, [](const auto &it) { return it.slotTimeMs; });
    std::vector<prometheus::ClientMetric> flows;
    for (const auto &service : stats.services) {
        for (std::size_t i = 0; i < service.flows.size(); ++i) {
            prometheus::ClientMetric metric;
            const auto admission = toString(static_cast<Admission>(i));
            metric.label = { { "service", service.name }, { "admission", std::string(admission) } };
            metric.counter.value = number(service.flows[i]);
            flows.push_back(std::move(metric));
        }
    }
    list.add("service_flows_total", "New flows by admission.", prometheus::MetricType::Counter,
             std::move(flows));
}

auto addFleet(MetricList &list, const Stats &stats) -> void
{
    list.gauge("revision", "The table in force.", number(stats.revision));
    list.counter("tables_accepted", "Tables put in force.", number(stats.tablesAccepted));
    list.counter("tables_refused", "Tables with findings.", number(stats.tablesRefused));
    list.counter("tables_older", "Older tables offered.", number(stats.tablesOlder));
    list.counter("platform_reads", "Calls on the platform.", number(stats.platformReads));
    list.counter("directory_overdue", "Reads as the directory was not shown to be recent.",
                 number(stats.directoryOverdue));
    list.counter("platform_failures", "Failed calls on the platform.",
                 number(stats.platformFailures));
    list.gauge("members_alive", "Hosts held to be alive.", number(stats.membersAlive));
    list.counter("tenures_begun", "Times this host became home of a cell.",
                 number(stats.tenuresBegun));
    list.counter("ejections", "Upstreams taken out of rotation.", number(stats.ejections));
    list.counter("pauses", "Pauses of the process.", number(stats.pauses));
}

auto addPeers(MetricList &list, const PeerTraffic &traffic) -> void
{
    list.counter("peer_bytes_sent", "Bytes sent on peer connections.", number(traffic.bytesSent));
    list.counter("peer_bytes_received", "Bytes received on peer connections.",
                 number(traffic.bytesReceived));
    list.counter("peer_messages_sent", "Messages sent on peer connections.",
                 number(traffic.messagesSent));
    list.counter("peer_messages_received", "Messages received on peer connections.",
                 number(traffic.messagesReceived));
    list.counter("peer_connections", "Peer connections opened.", number(traffic.connectionsOpened));
}

auto addPackets(MetricList &list, const Stats &stats, const PacketTraffic &packets) -> void
{
    addByReason<PacketReason>(list, "packets_total", "Packets by what was decided.", stats.packets);
    list.counter("datagrams_received", "Datagrams read.", number(packets.received));
    list.counter("datagrams_malformed", "Datagrams that are no packet.", number(packets.malformed));
    list.counter("datagrams_sent", "Datagrams sent.", number(packets.sent));
    list.counter("datagrams_unsent", "Datagrams that the system did not take.",
                 number(packets.unsent));
    list.counter("openings_unanswered", "Opening packets without a second one in time.",
                 number(stats.openingsUnanswered));
    list.counter("upstreams_silenced", "Times an upstream was held to be silent.",
                 number(stats.upstreamsSilenced));
    list.counter("upstreams_heard_again", "Times a silent upstream showed life.",
                 number(stats.upstreamsHeardAgain));
    list.counter("directory_updates", "Updates of the directory.", number(stats.directoryUpdates));
    list.counter("directory_faults", "Items of the directory that could not be read.",
                 number(stats.directoryFaults));
    list.counter("directory_reads_old", "Reads of a whole directory that was older.",
                 number(stats.directoryReadsOld));
    list.counter("upstream_restarts", "Further starts of one upstream's instance.",
                 number(stats.upstreamRestarts));
    list.gauge("directory_revision", "The directory's newest change.",
               number(stats.directoryRevision));
    list.gauge("directory_epoch", "The platform's epoch.", number(stats.directoryEpoch));
    list.gauge("directory_current", "Whether the directory counts as current.",
               number(stats.directoryCurrent));
    list.gauge("directory_age_ms", "For how long changes may have been missing, in milliseconds.",
               number(stats.directoryAgeMs));
    list.gauge("rows_version", "The version of the packet rows.", number(stats.rowsVersion));
    list.gauge("upstreams", "Upstreams in the directory.", number(stats.upstreams));
    list.gauge("upstreams_silent", "Upstreams held to be silent.", number(stats.upstreamsSilent));
    list.gauge("flows", "Packet flows that are watched.", number(stats.flows));
    list.gauge("upstreams_cold_limited", "Cold upstreams that bear few requests.",
               number(stats.upstreamsLimited));
    list.gauge("zones_evacuated", "Availability zones that are evacuated.",
               number(stats.zonesEvacuated));
    addAdmission(list, stats);
    list.histogram("handshake_seconds", "From an opening to the second packet of its flow.",
                   stats.handshakes);
    list.histogram("response_seconds", "From a request to the acknowledgement of its answer.",
                   stats.responses);
}

} // namespace

auto metricsText(const Stats &stats, const PeerTraffic &traffic, const PacketTraffic *packets)
        -> std::string
{
    MetricList list;
    addExchanges(list, stats);
    addFleet(list, stats);
    addPeers(list, traffic);
    if (packets != nullptr) {
        addPackets(list, stats, *packets);
    }
    list.counter("process_cpu_seconds", "CPU time of the process.", cpuSeconds());
    list.gauge("process_resident_bytes", "Resident memory of the process.", residentBytes());
    return list.toText();
}

} // namespace flamingograde::net
