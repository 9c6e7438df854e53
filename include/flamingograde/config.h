/// All limits of the library, with their defaults.
///
/// A limit that a deployment may need to change has a setting of the same name;
/// the value here is the default of that setting.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace flamingograde::config {

using namespace std::chrono_literals;

// clang-format off

// Time.
inline constexpr auto tickPeriod            = 50ms;   ///< Period of the `Tick` event.
inline constexpr auto pauseThreshold        = 1000ms; ///< A longer gap between two events means that the process was paused.
inline constexpr auto clockBound            = 1000ms; ///< Largest difference between the wall clocks of any two parties.

// Membership.
inline constexpr auto probePeriod           = 200ms;  ///< One peer is probed in each period.
inline constexpr auto probeTimeout          = 300ms;  ///< Without an ack within this time, other hosts are asked to probe the peer.
inline constexpr auto suspicionTimeout      = 1200ms; ///< A suspected host is declared dead after this time; longer than `pauseThreshold`.
inline constexpr auto refusedTimeout        = 1100ms; ///< A host that refuses connections is declared dead after this time; longer than `pauseThreshold`.
inline constexpr std::size_t refusalsUntilDead = 3;   ///< Consecutive refused connections that indicate that a host's process has ended.
inline constexpr auto hostListPeriod        = 2000ms; ///< Period in which a platform reader reads the host list.
inline constexpr std::size_t indirectProbes = 3;      ///< Peers that are asked to probe an unresponsive peer.
inline constexpr std::size_t updatesPerMessage = 6;   ///< Membership updates in one message.
inline constexpr std::size_t hostsPerHub    = 24;     ///< Hosts of a zone per hub: as each of them keeps 2 connections with hubs, a hub holds 48, and it sends each change 24 times.
inline constexpr std::size_t hubsMin        = 3;      ///< Minimum number of hubs in a zone, so that two may fail at once.
inline constexpr std::size_t hubLinks       = 2;      ///< Hubs to which a non-hub host is connected: one sends it changes, the other takes over when the first does not answer for a second.
inline constexpr std::size_t linksPerZone   = 2;      ///< Hosts of each other zone to which a hub is connected.
inline constexpr std::size_t contactsPerZone = 4;     ///< Hosts of each other zone that a host remembers in addition to connected ones.
inline constexpr std::size_t flatMembershipHosts = 64;///< Fleet size above which a host with HTTP rows probes only its own zone and the bridges of other zones, and a host that carries packets waits for directory changes to be sent to it before it requests them.
inline constexpr std::size_t bridgesPerZone = 2;      ///< Hosts of each other zone that are probed in a large fleet.
inline constexpr auto viewDifferenceTimeout = 3000ms; ///< Two hosts whose member lists differ for this long exchange the whole lists; longer than the 9 rounds of `probePeriod` in which a change reaches 300 hosts.
inline constexpr std::size_t listBytesPerSecond = 1500; ///< Rate limit of the member lists that a host sends: a third of the 5 KB/s that it may spend on control messages.
inline constexpr std::size_t listBytesBurst  = 32U << 10U; ///< Burst size of this limit after an idle period: five lists of 87 hosts.

// Configuration.
inline constexpr std::size_t readersPerZone = 2;      ///< Hosts of a zone that read the platform.
inline constexpr auto watchWait             = 1500ms; ///< How long the platform is asked to hold a watch request; bounds how long a silently broken connection hides an edit.
inline constexpr auto platformReadMargin    = 1000ms; ///< Longest time for an answer of the platform in addition to the requested wait.
inline constexpr auto platformRetryMin      = 250ms;  ///< First pause after a failed read of the platform.
inline constexpr auto platformRetryMax      = 2000ms; ///< Longest pause after failed reads of the platform.
inline constexpr std::size_t tableBytesMax  = 1000000;///< Largest table text in bytes; the platform stores values of up to a megabyte.
inline constexpr std::size_t syntaxFindingsMax = 100; ///< Syntax errors reported for one table text.
inline constexpr std::size_t findingsMax    = 10000;  ///< Findings reported for one table text.
inline constexpr std::size_t nameBytesMax   = 64;     ///< Longest name in the table in bytes.
inline constexpr std::uint32_t weightMax    = 1000;   ///< Largest weight of a row.
inline constexpr std::uint32_t urgencyMax   = 9;      ///< Largest urgency of a row.
inline constexpr std::uint32_t concurrentMax = 1000000; ///< Largest limit of concurrent exchanges in a cell.
inline constexpr std::uint32_t queueMax     = 100000; ///< Largest limit of queued exchanges in a cell.
inline constexpr std::uint32_t slotsMax     = 10000;  ///< Most slots of an upstream.
inline constexpr std::uint32_t connectionsMax = 1000000; ///< Most connections of an upstream.
inline constexpr auto deadlineMax           = 3600s;  ///< Longest deadline of a row.
inline constexpr auto addressQuarantine     = 5000ms; ///< Time before an address that moved to another service is used for the new service.

// Directory.
inline constexpr std::size_t directoryReaderZones = 2; ///< Zones whose best-ranked host watches the directory: when one zone is cut off, the other still has a reader. With a reader in each of six zones, a minute in which upstreams were replaced and added took 2,826 calls.
inline constexpr auto directoryFirstReadWait = 400ms;  ///< How long a starting host waits for its first directory read before it also requests the directory from hosts of its own zone.
inline constexpr auto directoryStartGrace   = 1500ms; ///< A host that read the directory at its start leaves watches to other hosts for this long, until it knows its hubs: otherwise 295 hosts that start together would each make a call.
inline constexpr auto changeBound           = 3000ms; ///< Shortest time in which a change of the platform has to be in force on each host that is not disturbed.
inline constexpr auto directoryAgeLimit     = 1800ms; ///< A host reads the platform itself if its directory is not shown to have all changes up to this long ago or later, whatever other hosts do: a watch, and 300 ms in which its answer reaches all hosts.
inline constexpr auto directoryAgeLimitFed  = 2100ms; ///< The same limit for a host with a hub, so that the hubs of its zone read before it.
inline constexpr auto directoryConfirmDelay = 200ms;   ///< After its start, a host whose directory may be outdated waits this long for other hosts to show that it is current, then reads the changes itself. Connections to them are up 150 ms after a start.
inline constexpr auto directoryConfirmSpacing = 2ms;   ///< Time by host known over which hosts that start together spread these reads: 500 reads per second.
inline constexpr auto directoryConfirmWait  = 1000ms;  ///< A directory that nothing shows to be current counts as current after this time, so that hosts serve while the platform is away.
inline constexpr auto directoryWatchWait    = 1500ms; ///< How long a watch request is held; with `directoryReadMargin` it bounds how long a silent platform hides a change: 2.2 s of the 3 s allowed for an edit to take effect.
inline constexpr auto rolloutReadPause      = 300ms;  ///< Pause after a watch that returned changes, if the previous such answer came less than twice this time ago: changes of a rollout then share a call.
inline constexpr auto directorySilence      = 2200ms; ///< If no host has heard the platform for longer, leases may have lapsed unnoticed: a lease lasts 3.6 s from a heartbeat, and the last heartbeat may be 1.2 s, one period, older than the silence. A platform that works answers each watch within this time.
inline constexpr auto directoryRecheck      = 3000ms; ///< Period in which a host whose directory reads were refused, and which leaves them to other hosts, tries again.
inline constexpr auto directoryReadMargin   = 700ms;  ///< Longest time for an answer in addition to the requested wait: 10 times a slow answer of 60 ms.
inline constexpr auto directoryRetryMin     = 100ms;  ///< First pause after a failed directory read.
inline constexpr auto directoryRetryMax     = 1000ms; ///< Longest pause after failed directory reads: bounds the time to detect that the store is available again.
inline constexpr auto directoryStale        = 3500ms; ///< If no host has heard the platform for longer, it was away or cut off, and removals that come afterwards wait for upstreams that register again: a watch, its margin and a round of gossip.
inline constexpr auto directoryPeerTimeout  = 400ms;  ///< Time within which another host must answer a request for directory changes.
inline constexpr auto directoryAskZone      = 400ms;  ///< In a fleet above `flatMembershipHosts`, a host that learns of directory changes waits this long for its hub to send them before it requests them from another host of the zone: at each hop, decoding 1,100 rows takes 1.3 ms of processor time, 26 ms on a twentieth of a core.
inline constexpr auto directoryAskFar       = 1000ms; ///< The same wait before a host of another zone is asked: leaves two thirds of the 3 s allowed for an edit to take effect.
inline constexpr auto directoryStartupWait  = 150ms;  ///< Longest time for which a starting host reads the directory before it connects to other hosts: ten answers of the store.
inline constexpr auto reappearTime          = 2200ms; ///< After a platform outage, a missing upstream may register again within this time, or later if its heartbeat is long.
inline constexpr auto upstreamHeartbeat     = 1200ms; ///< Period in which upstreams renew their leases with the platform, unless the settings say otherwise; a lease lasts three periods.
inline constexpr auto tombstoneTime         = 90s;    ///< A removed upstream is remembered this long; longer than any of its flows exists.
inline constexpr std::size_t directoryBytesMax = 64U << 20U; ///< Largest answer of the store in bytes.

// Packets.
inline constexpr auto flowIdle              = 15000ms; ///< A flow without packets for this long may be dropped, unless the rows set another time.
inline constexpr std::size_t flowsTracked   = 16384;  ///< Flows whose load and answers are tracked; 10,909 per host are open at the design size. A power of two.
inline constexpr auto packetHoldTimeMax     = 500ms;  ///< Longest time for which a starting host leaves packets in the socket buffer until its directory is loaded; callers resend after 200 and 600 ms.
inline constexpr std::size_t packetBatch    = 32;     ///< Packets read, decided on and sent in one batch.
inline constexpr auto handshakeTimeout      = 60ms;   ///< An opening packet without a second packet of its flow within this time counts as unanswered: 8 round trips.
inline constexpr auto evidenceHoldOff       = 300ms;  ///< After a start or a pause of the process, unanswered openings are no evidence against upstreams for this long: callers resend after 200 ms.
inline constexpr std::uint32_t silentOpenings = 2;    ///< An upstream counts as silent after it left this many openings, copies included, or requests unanswered since its last sign of life. A false positive lasts until the upstream's next sign of life: milliseconds where it has open flows.
inline constexpr auto resendAgainTime       = 540ms;  ///< A request that is resent after this time is sent for the third time: callers resend 200 ms after the first and 400 ms after the second transmission. A live upstream acknowledges the second one at once, even while it is slow, cold or full.
inline constexpr std::uint32_t lostRequestsMin = 2;   ///< Flows with a request that was sent three times and that the upstream has not answered since its last sign of life; from this number on, the upstream's open flows may be reset instead of waiting for it. Two, because a link that loses a tenth of its packets loses both acknowledgements of one request in 28.
inline constexpr auto lostRequestsFresh     = 2000ms; ///< Open flows are reset only if the requests counted for `lostRequestsMin` were lost more recently than this: an upstream that answers again has its open flows reset for no longer, and the lease of 3.6 s of a dead upstream has lapsed by then.
inline constexpr auto lostRequestsSettled   = 300ms;  ///< Open flows are reset only if the requests counted for `lostRequestsMin` were lost this long ago and no sign of life has come since. Callers that send at the same time lose their requests together, so two of them show no more than one.
inline constexpr auto answerGap             = 300ms;  ///< A host's connection to upstreams counts as uninterrupted while the intervals between its answered packets are shorter than this: a host of a large site sends a request or an opening every 30 ms.
inline constexpr auto resendTime            = 180ms;  ///< A request that is resent after this time was not answered; callers resend after 200 ms.
inline constexpr auto acknowledgementFresh  = 1000ms; ///< An acknowledgement proves that an upstream is alive only if the flow's previous packet came to this host within this time; callers resend after 200 and 400 ms. After a longer gap, the answer may have been received while another host had the flow.
inline constexpr auto trialPause            = 1000ms; ///< First pause before a new flow is also sent to a silent upstream as a trial; doubles with each trial.
inline constexpr auto trialPauseMax         = 4000ms; ///< Longest pause between two trials of a silent upstream.
inline constexpr auto requestExpiry         = 3000ms; ///< A request whose flow had no packet for this long counts as finished.
inline constexpr double zoneSlotsBusy       = 0.8;    ///< Part of a zone's slots that its own callers may keep busy before some of their flows go to other zones: with more, requests wait although other zones have free slots.
inline constexpr double crowdedRequests     = 3.0;    ///< Requests per slot of the own zone from which new flows are sent to other zones: a request in the own zone would wait for two others, and upstreams shed requests from 5.0 on. At 1.0, traffic between zones and flows lost when a zone is cut off cost more than the wait.
inline constexpr double crowdedUploads      = 4.0;    ///< The same threshold for uploads, whose traffic between zones costs more.
inline constexpr double coldExcess          = 1.0;    ///< Limit of the requests of all hosts to a cold upstream in any second: this multiple of its cold limit,
inline constexpr double coldSlack           = 0.0;    ///< plus this many requests.
inline constexpr double subsetHosts         = 3.0;    ///< Hosts that prefer the same upstream of their zone: so many that an upstream keeps its callers when one of them stops.
inline constexpr double subsetUpstreamsMin  = 4.0;    ///< Fewest upstreams that a host prefers.
inline constexpr int slowRatio              = 2;      ///< An upstream counts as slow from this many times the usual response time of its service, more than chance makes of ten samples.
inline constexpr auto slowMemory            = 5000ms; ///< Age at which the measured response time of an upstream counts half: the time after which a slow one is tried again.
inline constexpr std::size_t placementScan  = 8;      ///< Largest number of upstreams of which all are compared for a new flow.
inline constexpr std::size_t placementDraws = 4;      ///< Upstreams that are drawn at random and compared if there are more than `placementScan`.

// Admission of packet flows.
inline constexpr double roomPerSlot         = 1.5;    ///< Requests per slot up to which no flow is refused: with fewer, some slots run idle, as placement cannot fill all of them evenly.
inline constexpr double unmeasuredPerSlot   = 3.0;    ///< Limit of requests per slot before the slot time is measured: a request waits for two others.
inline constexpr auto demandMemory          = 1000ms; ///< Memory of the demand for a service: several requests of each host at any size, and shorter than a burst that callers notice.
inline constexpr auto callerShareMemory     = 2000ms; ///< Memory of the flows admitted for each caller; longer than a caller's retries.
inline constexpr double urgencyFloor        = 0.02;   ///< Share of the admitted flows that the rows of each urgency keep, however many more urgent flows there are.
inline constexpr double urgencyActive       = 0.5;    ///< Recent openings from which on room is kept free for rows of an urgency.
inline constexpr int shedFraction           = 8;      ///< An answer within this fraction of the mean slot time, while slots are scarce, is taken for a refusal by the upstream.
inline constexpr double shedStep            = 0.95;   ///< Factor of the limit of requests per slot for each request that an upstream refused.
inline constexpr double shedRecoveryPerSecond = 0.05; ///< Growth of this limit: with the factor, it settles where a host sees a refusal each second.
inline constexpr double shedLimitMin        = 2.0;    ///< Least value of this limit, so that a few refusals by chance leave no slots idle.
inline constexpr auto overloadEnd           = 2000ms; ///< An overload has ended if no flow was refused for this long.
inline constexpr auto demandReportPeriod    = 200ms;  ///< Period of demand reports while slots are scarce; otherwise they go with the pings between hosts.
inline constexpr double demandPressed       = 0.75;   ///< Requests per slot from which on slots count as scarce: each report then arrives before they are full.
inline constexpr std::size_t demandServicesMax = 16;  ///< Services in one demand report, those with most demand.
inline constexpr std::size_t demandZonesMax = 64;     ///< Zones in one demand report.
inline constexpr auto abandonedAfter        = 300ms;  ///< A request whose caller has sent nothing for this long is no longer counted as work: callers resend after 200 ms, unless their upstream acknowledged the request.

// Exchanges.
inline constexpr auto defaultDeadline       = 5000ms; ///< Deadline of a row that sets none.
inline constexpr double placedLagMax        = 50.0;   ///< Placements per slot by which the count of a cell may lag behind the lowest count of the service's cells, so that a cell that was unavailable for a long time does not get all requests until it has caught up.
inline constexpr double crowdedShare        = 2.0;    ///< Work per slot above which a cell is chosen by its load rather than by its share of placements.
inline constexpr std::size_t relayAttempts  = 3;      ///< Placements attempted for one exchange; the next is made only when the previous one provably did not run.
inline constexpr auto placeRetryMin         = 250ms;  ///< First pause before an exchange is placed again; doubles with each attempt.
inline constexpr auto relayMargin           = 60ms;   ///< A home host's deadline for a relayed request is earlier by this than the relaying host's, so that the more specific refusal of the home host arrives in time.
inline constexpr auto retryAfterMin         = 1000ms; ///< Shortest retry delay sent to a caller.
inline constexpr auto retryAfterMax         = 30s;    ///< Longest retry delay sent to a caller.
inline constexpr double retryBudgetShare    = 0.1;    ///< Retries allowed as a share of successful requests.
inline constexpr double retryBudgetBurst    = 10.0;   ///< Retries allowed without any success.

// Feeds.
inline constexpr auto feedRetryMin          = 100ms;  ///< First pause before a feed is reopened; doubles with each attempt.
inline constexpr auto feedRetryMax          = 2000ms; ///< Longest pause before a feed is reopened.
inline constexpr std::size_t feedOpenAttempts = 4;    ///< Failed openings after which a new feed is refused.
inline constexpr std::size_t feedReopenAttempts = 12; ///< Failed openings after which an open feed is ended.

// Keys of non-idempotent requests.
inline constexpr auto keyLifetime           = 600s;   ///< How long a key is remembered.
inline constexpr auto placementDelay        = 10s;    ///< A table places the keys that are made this long after its publication or later; longer than it takes until all hosts have the table and know that all others have it.
inline constexpr std::size_t placementTablesMax = 32; ///< Tables whose key placements are remembered.
inline constexpr std::size_t placementCellsMax = 32768; ///< Cells in the remembered placements of all tables.
inline constexpr std::size_t keysMax        = 200000; ///< Keys remembered by a host.
inline constexpr std::size_t keyBytesMax    = 128;    ///< Longest key in bytes.
inline constexpr std::size_t storedAnswerMax = 65536; ///< Largest answer in bytes that is stored for a repeated request.
inline constexpr std::size_t storedAnswersBytesMax = 16U << 20U; ///< Size of all stored answers of a host.
inline constexpr std::size_t keysParkedMax  = 1000;   ///< Requests with a key that wait until this host is their home.
inline constexpr auto handoverWindow        = 5000ms; ///< A home host that gives up a cell sends the new one the keys dispatched within this time.
inline constexpr auto handoverTimeout       = 1000ms; ///< Longest wait for running requests before a cell is granted to another host.
inline constexpr std::size_t handoverKeysMax = 10000; ///< Keys sent in one grant; the window is shortened if there are more.
inline constexpr auto keyLookupTimeout      = 500ms;  ///< Longest wait for a former home's answer about a key.

// Upstreams.
inline constexpr auto upstreamProbePeriod   = 1000ms; ///< Period in which a home host probes an upstream's health.
inline constexpr auto rampTime              = 10s;    ///< Time after which a cold upstream has its full share.
inline constexpr std::size_t ejectFailures  = 5;      ///< Consecutive failures after which an upstream is ejected.
inline constexpr auto ejectTime             = 5000ms; ///< Duration of the first ejection of an upstream.
inline constexpr double ejectShareMax       = 0.5;    ///< Largest share of a cell's upstreams that is ejected at once.

inline constexpr double shedRecovery        = 0.1;    ///< Slots that an upstream which shed a request regains while each of its slots serves one request.
inline constexpr auto cancelGrace           = 20ms;   ///< A slot stays occupied for this long after its request was cancelled or lost.
inline constexpr auto ejectTimeMax          = 60s;    ///< Longest duration of an ejection.
inline constexpr auto serviceTimeFresh      = 5000ms; ///< A measured service time without a new measurement for this long causes no refusals.
inline constexpr auto defaultServiceTime    = 50ms;   ///< Service time assumed for fair scheduling of a row that has no measurement.
inline constexpr double serviceTimeGain     = 0.1;    ///< Weight of a new measurement in the moving average.
inline constexpr double serviceTimeDeviations = 2.0;  ///< Deviations above the mean that are allowed for an answer when its deadline is checked.
inline constexpr auto deadlineMargin        = 5ms;    ///< An answer expected less than this time before its deadline counts as too late.
inline constexpr auto loadFresh             = 2000ms; ///< A load reported by another host is used for this long.
inline constexpr std::size_t cellQueueMax   = 20000;  ///< Requests queued in a cell, over all rows.

// Connections.
inline constexpr auto silenceTimeout        = 3000ms; ///< A peer connection that receives no bytes for this long is replaced.
inline constexpr auto feedSilenceTimeout    = 15000ms; ///< A feed that receives no bytes from its upstream for this long is reopened.
inline constexpr auto callerKeepAlive       = 5000ms; ///< Period of the comments sent on a feed without events.
inline constexpr auto connectTimeout        = 1000ms; ///< Longest wait until a connection is established.
inline constexpr std::size_t feedsMax       = 400000; ///< Feeds that a host holds open.
inline constexpr std::size_t exchangesMax   = 100000; ///< Concurrent requests in a host.
inline constexpr std::size_t bodyBytesMax   = 64U << 20U; ///< Largest request body of any row.
inline constexpr std::size_t peerMessageMax = 2U << 20U;  ///< Largest message between hosts.

// Stopping.
inline constexpr auto stopTimeout           = 60s;    ///< Longest duration of an orderly stop.
inline constexpr auto feedMoveTime          = 2000ms; ///< Period over which feeds are ended after the listeners were closed.
inline constexpr auto closeGrace            = 500ms;  ///< A stopping host keeps serving for this long after it closed the listeners, for requests that were already on their way.
inline constexpr auto stopReportPeriod      = 1000ms; ///< Period of the log lines that say what a stop waits for.
inline constexpr auto fabricCheckTime       = 1600ms; ///< By this time after the start of a stop, a network fabric that checks hosts twice a second has missed two checks of the host.
inline constexpr auto fabricIdleTime        = 400ms;  ///< Without a packet for this long, the network fabric no longer sends packets to a stopping host: two of the intervals after which callers first resend.
inline constexpr auto stopNoticeTime        = 1000ms; ///< Time between announcing a stop and closing the listeners.

// clang-format on

static_assert(
        handoverWindow > 2 * clockBound + handoverTimeout,
        "a key made during a handover must be newer than what is not sent to the new home host");

} // namespace flamingograde::config
