/// All limits of the library, with their defaults.
///
/// A limit that a deployment may want to change has a setting of the same name;
/// the value here is its default.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace flamingograde::config {

using namespace std::chrono_literals;

// clang-format off

// Time.
inline constexpr auto tickPeriod            = 50ms;   ///< Period of the `Tick` event.
inline constexpr auto pauseThreshold        = 1000ms; ///< A gap between two events above this is a pause of the process.
inline constexpr auto clockBound            = 1000ms; ///< Largest difference between the wall clocks of any two parties.

// Membership.
inline constexpr auto probePeriod           = 200ms;  ///< One peer is probed each period.
inline constexpr auto probeTimeout          = 300ms;  ///< Without an ack after this, others are asked to probe.
inline constexpr auto suspicionTimeout      = 1200ms; ///< A suspect is declared dead after this; longer than `pauseThreshold`.
inline constexpr auto refusedTimeout        = 1100ms; ///< A host that refuses connections is dead after this; longer than `pauseThreshold`.
inline constexpr std::size_t refusalsOfDead = 3;      ///< Refused connections in a row that count as a sign of death.
inline constexpr auto hostListPeriod        = 2000ms; ///< Period of reading the host list by a reader.
inline constexpr std::size_t indirectProbes = 3;      ///< Peers asked to probe a silent one.
inline constexpr std::size_t updatesPerMessage = 6;   ///< Membership updates carried by one message.
inline constexpr std::size_t hostsPerHub    = 24;     ///< Hosts of a zone for each of its hubs: one holds 2 connections for each, 48, and sends each change 24 times.
inline constexpr std::size_t hubsMin        = 3;      ///< Hubs of a zone at least, so that two may fail at once.
inline constexpr std::size_t hubLinks       = 2;      ///< Hubs with which a host that is none is connected: one sends it what is new, the other takes over when that one does not answer for a second.
inline constexpr std::size_t linksPerZone   = 2;      ///< Hosts of each other zone with which a hub is connected.
inline constexpr std::size_t contactsPerZone = 4;     ///< Hosts of each other zone that a host remembers beside connected ones.
inline constexpr std::size_t flatMembershipHosts = 64;///< Above this fleet size a host with HTTP rows probes only its own zone, and bridges, and one that carries packets waits for changes before it asks for them.
inline constexpr std::size_t bridgesPerZone = 2;      ///< Hosts of each other zone that are probed in a large fleet.
inline constexpr auto viewsDiffer           = 3000ms; ///< Two hosts whose views of the fleet differ for this long tell each other all; longer than the 9 rounds of `probePeriod` in which news passes through 300 hosts.
inline constexpr std::size_t listBytesPerSecond = 1500; ///< Of member lists that a host sends: a third of the 5 KB/s that it may spend on control.
inline constexpr std::size_t listBytesAtOnce = 32U << 10U; ///< The same after a quiet time: five lists of 87 hosts.

// Configuration.
inline constexpr std::size_t readersPerZone = 2;      ///< Hosts of a zone that watch the platform.
inline constexpr auto watchWait             = 1500ms; ///< How long the platform is asked to hold a watch; bounds how long a silent connection hides an edit.
inline constexpr auto platformReadMargin    = 1000ms; ///< Longest answer of the platform beyond the wait asked for.
inline constexpr auto platformRetryMin      = 250ms;  ///< First pause after a failed read of the platform.
inline constexpr auto platformRetryMax      = 2000ms; ///< Longest pause after failed reads of the platform.
inline constexpr std::size_t tableBytesMax  = 1000000;///< Largest table text; the platform holds values up to a megabyte.
inline constexpr std::size_t syntaxFindingsMax = 100; ///< Syntax errors told of one table text.
inline constexpr std::size_t findingsMax    = 10000;  ///< Findings told of one table text.
inline constexpr std::size_t nameBytesMax   = 64;     ///< Longest name in the table.
inline constexpr std::uint32_t weightMax    = 1000;   ///< Largest weight of a row.
inline constexpr std::uint32_t urgencyMax   = 9;      ///< Largest urgency of a row.
inline constexpr std::uint32_t concurrentMax = 1000000; ///< Largest limit of exchanges under way in a cell.
inline constexpr std::uint32_t queueMax     = 100000; ///< Largest limit of exchanges waiting in a cell.
inline constexpr std::uint32_t slotsMax     = 10000;  ///< Most slots of an upstream.
inline constexpr std::uint32_t connectionsMax = 1000000; ///< Most connections of an upstream.
inline constexpr auto deadlineMax           = 3600s;  ///< Longest deadline of a row.
inline constexpr auto addressQuarantine     = 5000ms; ///< Pause before an address is used for another service.

// Directory.
inline constexpr std::size_t directoryReaderZones = 2; ///< Zones whose first host watches the directory: the cut of one leaves a reader. With one in each of six zones, a minute in which upstreams were replaced and added made 2,826 calls.
inline constexpr auto directoryFirstReadWait = 400ms; ///< How long a starting host waits for its first read before it also asks hosts of its own zone for the directory.
inline constexpr auto directoryMeetTime     = 1500ms; ///< A host that has just read the directory at its start leaves watches to others for this long, until it knows its hubs: 295 hosts that start together would make a call each.
inline constexpr auto directoryWatchWait    = 1500ms; ///< How long a watch is held; with `directoryReadMargin` it bounds how long a silent platform hides a change: 2.2 s of the 3 s that users allow.
inline constexpr auto directoryGather       = 300ms;  ///< Pause after a watch with changes while twice this has not passed since the last such, so that those of a rollout share a call.
inline constexpr auto directorySilence      = 2200ms; ///< Leases may have lapsed unseen if nobody heard the platform for longer: they last 3.6 s, and a heartbeat of 1.2 s may have been due. A watch is answered sooner.
inline constexpr auto directoryRecheck      = 3000ms; ///< A host that is turned away and leaves the reading to others tries again this often.
inline constexpr auto directoryReadMargin   = 700ms;  ///< Longest answer beyond the wait asked for: 10 times a slow one of 60 ms.
inline constexpr auto directoryRetryMin     = 100ms;  ///< First pause after a failed read.
inline constexpr auto directoryRetryMax     = 1000ms; ///< Longest pause after failed reads: bounds the time to notice that the store is back.
inline constexpr auto directoryStale        = 3500ms; ///< A host that hears nothing newer reads for itself: a watch, its margin and a round of gossip.
inline constexpr auto directoryPeerTimeout  = 400ms;  ///< A host is given this long to send its changes.
inline constexpr auto directoryAskZone      = 400ms;  ///< In a fleet above `flatMembershipHosts`, a host that hears of changes waits this long for its hub to send them before it asks another host of the zone: 1,100 rows take a host 1.3 ms of processor to decode, 26 ms at a twentieth of a core, on each step of their way.
inline constexpr auto directoryAskFar       = 1000ms; ///< The same before it asks a host of another zone: of the 3 s that users allow for an edit, two thirds are left.
inline constexpr auto directoryFirst        = 150ms;  ///< A starting host reads the directory before it talks to others, for this long at most: ten answers of the store.
inline constexpr auto reappearTime          = 2200ms; ///< After an outage a missing upstream may register again within this.
inline constexpr auto livingFor             = 2000ms; ///< A lease that lapses because its upstream died lapses two heartbeats of 1.2 s after the death or later. So an upstream that was heard within this when its removal comes has only lost its lease: a cut between it and the platform.
inline constexpr auto tombstoneTime         = 90s;    ///< A removed upstream is remembered this long; longer than any of its flows lives.
inline constexpr std::size_t directoryBytesMax = 64U << 20U; ///< Largest answer of the store.

// Packets.
inline constexpr auto flowIdle              = 15000ms; ///< A flow without packets for this long may be dropped, where the rows name no other.
inline constexpr std::size_t flowsTracked   = 16384;  ///< Flows whose load and answers are watched; 10,909 a host are open at the design size. A power of two.
inline constexpr auto packetsHeldMax        = 500ms;  ///< A starting host leaves packets in the system's buffer this long for its directory; callers resend after 200 and 600 ms.
inline constexpr std::size_t packetBatch    = 32;     ///< Packets read, decided and sent at once.
inline constexpr auto handshakePatience     = 60ms;   ///< An opening packet without a second packet of its flow after this counts as unanswered: 8 round trips.
inline constexpr auto distrustTime          = 300ms;  ///< After a start or a pause of the process, openings say nothing of upstreams for this long: callers resend after 200 ms.
inline constexpr std::uint32_t silentOpenings = 2;    ///< Unanswered openings, copies counted, since its last sign of life that make an upstream silent. A false alarm lasts until its next sign of life: milliseconds where it has open flows.
inline constexpr auto resendAgainTime       = 540ms;  ///< A request sent again after this was sent for the third time: callers resend 200 ms after the first and 400 ms after the second time. A living upstream acknowledges the second at once, also while it is slow, cold or full.
inline constexpr std::uint32_t lostFlows    = 2;      ///< Flows with such a request since its last sign of life from which an upstream is lost to open flows. Two, as a link that loses a tenth of its packets loses both acknowledgements of one request in 28.
inline constexpr auto lostFresh             = 2000ms; ///< A reset rests on requests that were lost within this: callers of an upstream that answers again lose open flows for no longer, and one that died has lost its lease of 3.6 s by then.
inline constexpr auto answerGap             = 300ms;  ///< A host reaches others without a break while what it sends each so often is answered: a host of the larger sites sends a request or an opening each 30 ms.
inline constexpr auto resendTime            = 180ms;  ///< A request sent again after this was not answered; callers resend after 200 ms.
inline constexpr auto signFresh             = 1000ms; ///< An acknowledgement says that an upstream lives if the flow's last packet came here within this; callers resend after 200 and 400 ms. Longer ago, the answer may have been taken while another host had the flow.
inline constexpr auto trialPause            = 1000ms; ///< First pause before a new flow is also sent to a silent upstream; doubles.
inline constexpr auto trialPauseMax         = 4000ms; ///< Longest such pause.
inline constexpr auto busyForget            = 3000ms; ///< A request without any packet for this long is taken to be over.
inline constexpr double crowdedRequests     = 3.0;    ///< Requests a slot of the own zone from which new flows go to other zones: they would wait for two others, and upstreams shed from 5.0 on. At 1.0 bytes between zones and flows lost to a zone's cut cost more than the wait.
inline constexpr double crowdedUploads      = 4.0;    ///< The same for uploads, whose bytes between zones cost more.
inline constexpr double coldExcess          = 1.0;    ///< The bound on requests of all hosts to a cold upstream in any second: this many times its cold limit,
inline constexpr double coldSlack           = 0.0;    ///< plus this many requests.
inline constexpr std::size_t placementScan  = 8;      ///< Up to this many upstreams are all compared for a new flow.
inline constexpr std::size_t placementDraws = 4;      ///< Of more, this many are drawn and compared.

// Exchanges.
inline constexpr auto defaultDeadline       = 5000ms; ///< Deadline of a row that names none.
inline constexpr double placedLagMax        = 50.0;   ///< Placements a slot that a cell which was away catches up on.
inline constexpr double crowdedShare        = 2.0;    ///< Work for each slot from which a cell's load outweighs its share.
inline constexpr std::size_t relayAttempts  = 3;      ///< Placements of one exchange, each provably not run before the next.
inline constexpr auto placeRetryMin         = 250ms;  ///< First pause before an exchange is placed again; doubles.
inline constexpr auto relayMargin           = 60ms;   ///< A home's deadline is earlier by this, so that its truer refusal comes in time.
inline constexpr auto retryAfterMin         = 1000ms; ///< Shortest pause told to a caller.
inline constexpr auto retryAfterMax         = 30s;    ///< Longest pause told to a caller.
inline constexpr double retryBudgetShare    = 0.1;    ///< Retries allowed as a share of successes.
inline constexpr double retryBudgetBurst    = 10.0;   ///< Retries allowed without any success.

// Feeds.
inline constexpr auto feedRetryMin          = 100ms;  ///< First pause before a feed is opened again; doubles.
inline constexpr auto feedRetryMax          = 2000ms; ///< Longest pause before a feed is opened again.
inline constexpr std::size_t feedOpenAttempts = 4;    ///< Failed openings after which a new feed is refused.
inline constexpr std::size_t feedReopenAttempts = 12; ///< Failed openings after which an open feed is ended.

// Keys of non-idempotent requests.
inline constexpr auto keyLifetime           = 600s;   ///< How long a key is remembered.
inline constexpr auto placementDelay        = 10s;    ///< Keys are placed by a table from this time after its publication; longer than until all hosts have it and know so.
inline constexpr std::size_t placementTablesMax = 32; ///< Tables whose placement of keys is remembered.
inline constexpr std::size_t placementCellsMax = 32768; ///< Cells of all these tables.
inline constexpr std::size_t keysMax        = 200000; ///< Keys remembered by a host.
inline constexpr std::size_t keyBytesMax    = 128;    ///< Longest key.
inline constexpr std::size_t storedAnswerMax = 65536; ///< Largest answer kept for a repeat of its request.
inline constexpr std::size_t storedAnswersBytesMax = 16U << 20U; ///< All kept answers of a host.
inline constexpr std::size_t keysParkedMax  = 1000;   ///< Requests with a key that wait for this host to become their home.
inline constexpr auto handoverWindow        = 5000ms; ///< A home that gives up a cell tells the new one the keys dispatched this lately.
inline constexpr auto handoverTimeout       = 1000ms; ///< Requests under way are waited for this long before a cell is granted.
inline constexpr std::size_t handoverKeysMax = 10000; ///< Keys told in one grant; more shorten the window.
inline constexpr auto keyLookupTimeout      = 500ms;  ///< Longest wait for a former home's word on a key.

// Upstreams.
inline constexpr auto upstreamProbePeriod   = 1000ms; ///< Period of the home's health probe of an upstream.
inline constexpr auto rampTime              = 10s;    ///< A cold upstream reaches its full share after this.
inline constexpr std::size_t ejectFailures  = 5;      ///< Failures in a row that eject an upstream.
inline constexpr auto ejectTime             = 5000ms; ///< First time out of rotation.
inline constexpr double ejectShareMax       = 0.5;    ///< Largest share of a cell's upstreams ejected at once.

inline constexpr double shedRecovery        = 0.1;    ///< Slots that an upstream that shed gains back while each of its slots serves one request.
inline constexpr auto cancelGrace           = 20ms;   ///< A slot stays taken this long after its request was cancelled or lost.
inline constexpr auto ejectTimeMax          = 60s;    ///< Longest time out of rotation.
inline constexpr auto serviceTimeFresh      = 5000ms; ///< A measured service time refuses nothing after this without a new measure.
inline constexpr auto serviceTimeGuess      = 50ms;   ///< Service time of a row that was never measured, for the fair order.
inline constexpr double serviceTimeGain     = 0.1;    ///< Weight of a new measure in the mean.
inline constexpr double serviceTimeDeviations = 2.0;  ///< Deviations above the mean that an answer is given when its deadline is weighed.
inline constexpr auto deadlineMargin        = 5ms;    ///< An answer expected later than this before its deadline is taken to be too late.
inline constexpr auto loadFresh             = 2000ms; ///< A load told by another host is used for this long.
inline constexpr std::size_t cellQueueMax   = 20000;  ///< Requests waiting in a cell, over all rows.

// Connections.
inline constexpr auto silenceTimeout        = 3000ms; ///< A peer connection with no bytes for this long is replaced.
inline constexpr auto feedSilenceTimeout    = 15000ms;///< A feed with no bytes from its upstream for this long is reopened.
inline constexpr auto callerKeepAlive       = 5000ms; ///< Period of comments on a feed with no events.
inline constexpr auto connectTimeout        = 1000ms; ///< Longest wait for a connection.
inline constexpr std::size_t feedsMax       = 400000; ///< Feeds held by a host.
inline constexpr std::size_t exchangesMax   = 100000; ///< Requests under way in a host.
inline constexpr std::size_t bodyBytesMax   = 64U << 20U; ///< Largest request body of any row.
inline constexpr std::size_t peerMessageMax = 2U << 20U;  ///< Largest message between hosts.

// Stopping.
inline constexpr auto stopTimeout           = 60s;    ///< Longest wait of an orderly stop.
inline constexpr auto feedMoveTime          = 2000ms; ///< Feeds are ended over this time after the listeners closed.
inline constexpr auto closeGrace            = 500ms;  ///< A stop takes what was on its way when the listeners closed for this long.
inline constexpr auto stopReportPeriod      = 1000ms; ///< Period of the log's word on what a stop waits for.
inline constexpr auto fabricNotice          = 1600ms; ///< A fabric that checks twice a second has missed two checks of a stopping host by then.
inline constexpr auto fabricQuiet           = 400ms;  ///< Without a packet for this long the fabric sends none any more: two of a caller's first resends.
inline constexpr auto leaveNotice           = 1000ms; ///< Time between announcing a stop and closing the listeners.

// clang-format on

static_assert(handoverWindow > 2 * clockBound + handoverTimeout,
              "a key made during a handover must be newer than what the new home is not told");

} // namespace flamingograde::config
