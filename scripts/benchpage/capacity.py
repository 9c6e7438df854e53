"""What the system takes at the design size, worked out from the measures."""
from .report import Core
from .text import number, percent, seconds, size, table

DAY = 86400.0

HOSTS = 11000
UPSTREAMS = 110000
SERVICES = 11000  # One address each.
FLOWS = 120e6
NEW_FLOWS = 680e3
REGIONS = 10
ZONES = 32
EDITS = 6200 / DAY
CPU_BUDGET = 0.017
MEMORY_BUDGET = 128e6
CONTROL_BUDGET = 5000.0  # Bytes a second.
PLATFORM_BUDGET = 2000.0  # Calls a second.
VALUE_MAX = 1e6

RESTARTS = 11000 / DAY
FAILURES = 210 / DAY
ZONE_HOSTS = HOSTS / ZONES
REGION_HOSTS = HOSTS / REGIONS
RACK_HOSTS = 40  # Taken as the size of a rack.
READERS = 2 * ZONES
UPSTREAMS_EACH = UPSTREAMS / HOSTS  # Probed by a host as home.
CELLS_EACH = 10  # At most: ten upstreams of a service in ten zones.
TICKS = 20  # A second.
PROBES = 10  # Probes and their answers that a host sends a second.
LISTED_BYTES = 115  # Of a host in the platform's list.

HEADS = ["what", "mechanism", "worked out", "result", "budget", "kept"]


def verdict(value, budget):
    return "yes" if value <= budget else f"**no, {number(value / budget)} times**"


class Measures:
    """The measures of a report in the units of the model."""

    def __init__(self, report):
        core = Core(report)
        fleet = report["fleet"]
        self.member_cpu = core.seconds("hostInFleet/11000/1") / 10
        self.member_bytes = core.counter("hostInFleet/11000/1", "bytes_sent_per_second")
        self.member_held = core.counter("hostInFleet/11000/1", "held_bytes")
        self.zone_cpu = core.seconds("hostInFleet/344/1") / 10
        self.zone_held = core.counter("hostInFleet/344/1", "held_bytes")
        self.silent_reads = core.counter("platformSilent", "reads_per_second")
        self.join_bytes = core.counter("joinFleet/11000", "bytes_sent")
        self.join_zone_bytes = core.counter("joinFleet/344", "bytes_sent")
        self.join_dials = core.counter("joinFleet/11000", "dials")
        wide, narrow = core.seconds("tickWithTable/4400"), core.seconds("tickWithTable/440")
        self.tick_per_upstream = (wide - narrow) / (4400 - 440)
        self.parse_all = core.seconds("parseAllParts")
        self.parse_part = core.seconds("parsePart")
        self.part_bytes = core.counter("parsePart", "part_MB") * 1e6
        self.table_bytes = core.counter("parseAllParts", "text_MB") * 1e6
        self.table_held = core.counter("parseAllParts", "held_MB") * 1e6
        self.probe_bytes = core.counter("probeMessage/6/0", "bytes")
        self.load_bytes = (core.counter("probeMessage/0/10", "bytes")
                           - core.counter("probeMessage/0/0", "bytes")) / 10
        self.claim_bytes = core.counter("claimMessage/10/344", "bytes")
        self.feed_held = core.counter("holdFeeds", "bytes_per_feed")
        self.feed_resident = fleet["feeds"]["resident_bytes_each"]
        self.event_cpu = (fleet["feeds"]["cpu_share_each"]
                          / fleet["feeds"]["events_per_second_each"])
        self.feeds_a_second = fleet["direct"]["new_feeds_per_second"]
        self.request_cpu = fleet["direct"]["cpu_us_per_request"] * 1e-6
        sizes = fleet["control"]["sizes"]
        self.base_resident = sizes[0]["idle"]["resident_bytes"]["mean"]
        self.base_cpu = sizes[0]["idle"]["cpu_share"]["mean"]
        self.reader_calls = sizes[-1]["idle"]["platform_calls_per_second"] / 6
        edits = fleet["edits"]
        rise = (edits[-1]["idle"]["cpu_share"]["mean"] - edits[0]["idle"]["cpu_share"]["mean"])
        bytes_rise = edits[-1]["table_bytes"] - edits[0]["table_bytes"]
        upstreams = 4000
        self.probe_cpu = rise / (upstreams / edits[-1]["hosts"])
        received = (edits[-1]["edits"]["bytes_received_per_second"]["max"]
                    - edits[0]["edits"]["bytes_received_per_second"]["max"])
        self.bytes_per_table_byte = received / bytes_rise


def every_host(m):
    cpu_members = m.member_cpu
    cpu_table = m.tick_per_upstream * UPSTREAMS * TICKS
    cpu_parse = m.parse_part * EDITS
    cpu = m.base_cpu + cpu_members + cpu_table + cpu_parse
    flows = FLOWS / HOSTS
    memory = [m.base_resident, m.member_held, m.table_held + m.table_bytes,
              m.feed_resident * flows]
    joins = m.join_bytes * RESTARTS
    control = [2 * m.member_bytes, 2 * m.load_bytes * CELLS_EACH * PROBES,
               m.bytes_per_table_byte * m.part_bytes * EDITS, 2 * joins / HOSTS]
    return [
        ["processor time: daemon that is idle", "loop, ticks, listeners",
         "`bench-fleet control`, 3 hosts", percent(m.base_cpu, 2), "", ""],
        ["processor time: members", "probes, suspicion and gossip look at all members each tick",
         "`hostInFleet/11000/1`", percent(cpu_members, 2), "", ""],
        ["processor time: table", "health, ramp and ejection look at all upstreams each tick",
         f"(`tickWithTable/4400` - `tickWithTable/440`) / 3960 x 110,000 x {TICKS} a second",
         percent(cpu_table, 2), "", ""],
        ["processor time: edits", "the part of the table that has the service is parsed anew",
         "`parsePart` x 6,200 a day", percent(cpu_parse, 2), "", ""],
        ["**processor time, all**", "", "", percent(cpu, 2), percent(CPU_BUDGET),
         verdict(cpu, CPU_BUDGET)],
        ["memory: daemon", "", "`bench-fleet control`, 3 hosts", size(memory[0]), "", ""],
        ["memory: members", "every host keeps every other", "`hostInFleet/11000/1`",
         size(memory[1]), "", ""],
        ["memory: table", "every host keeps all 110,000 upstreams and the text",
         "`parseAllParts`: held + text", size(memory[2]), "", ""],
        ["memory: open flows", f"{number(flows)} a host, two connections each",
         "`bench-fleet feeds`: resident a feed", size(memory[3]), "", ""],
        ["of these the library's", "", "`holdFeeds`", size(m.feed_held * flows), "", ""],
        ["**memory, all**", "", "", size(sum(memory)), size(MEMORY_BUDGET),
         verdict(sum(memory), MEMORY_BUDGET)],
        ["memory but for open flows", "", "", size(sum(memory[:3])), size(MEMORY_BUDGET),
         verdict(sum(memory[:3]), MEMORY_BUDGET)],
        ["control: probes and gossip", "at most 6 changes a message, however large the fleet",
         "2 x `hostInFleet/11000/1` bytes sent a second", size(control[0]) + "/s", "", ""],
        ["control: loads of cells", f"in each message, for at most {CELLS_EACH} homed cells",
         f"2 x (`probeMessage/0/10` - `probeMessage/0/0`) x {PROBES} a second",
         size(control[1]) + "/s", "", ""],
        ["control: edits", "text of the part and placements of keys, whole, "
         "from a host that has them",
         "`bench-fleet edits`: slope of bytes received x `parsePart` text x 6,200 a day",
         size(control[2]) + "/s", "", ""],
        ["control: restarts of others", "the whole member list with each new connection",
         "2 x `joinFleet/11000` x 11,000 a day / 11,000 hosts", size(control[3]) + "/s", "", ""],
        ["**control, all**", "", "", size(sum(control)) + "/s", size(CONTROL_BUDGET) + "/s",
         verdict(sum(control), CONTROL_BUDGET)],
    ]


def with_zone_state(m):
    """The same with what docs/CAPACITY.md says would meet the budgets."""
    share = 3 / ZONES  # Services whose upstreams a zone has: taken as three zones a service.
    cpu = (m.base_cpu + m.zone_cpu + m.tick_per_upstream * UPSTREAMS_EACH * TICKS
           + m.parse_part * EDITS * share)
    memory = m.base_resident + m.zone_held + (m.table_held + m.table_bytes) * share
    control = (2 * m.member_bytes * 2 / 6 + 2 * m.load_bytes * CELLS_EACH + 400 * EDITS
               + 2 * m.join_zone_bytes * RESTARTS / HOSTS)
    return [
        ["processor time", "members of the own zone and bridges; ticks over homed upstreams only; "
         "parts of own services only",
         f"idle + `hostInFleet/344/1` + tick slope x {number(UPSTREAMS_EACH)} + "
         "`parsePart` x 3 / 32", percent(cpu, 2), percent(CPU_BUDGET), verdict(cpu, CPU_BUDGET)],
        ["memory but for flows", "parts of own services only",
         "idle + `hostInFleet/344/1` + `parseAllParts` x 3 / 32", size(memory),
         size(MEMORY_BUDGET), verdict(memory, MEMORY_BUDGET)],
        ["control", "2 of 6 changes a message once the joins are told; loads once a second; "
         "edits as differences of 400 B; member lists of the zone alone",
         "worked out as above", size(control) + "/s", size(CONTROL_BUDGET) + "/s",
         verdict(control, CONTROL_BUDGET)],
    ]


def entry_host(m):
    flows, new = FLOWS / HOSTS, NEW_FLOWS / HOSTS
    return [
        ["new flows", "placed by rendezvous and quota, no message", "680,000 / 11,000 hosts",
         number(new) + " a second", number(m.feeds_a_second) + " a second (measured)",
         verdict(new, m.feeds_a_second)],
        ["processor time of new flows", "one request each",
         "`bench-fleet direct`: time a request", percent(new * m.request_cpu, 2),
         percent(CPU_BUDGET), verdict(new * m.request_cpu, CPU_BUDGET)],
        ["open flows", "state in the token; here a record and two connections",
         "120,000,000 / 11,000 hosts", number(flows), "", ""],
        ["processor time of events", "each event is copied once; one a second a flow taken",
         "`bench-fleet feeds`: time an event", percent(flows * m.event_cpu), "not control", ""],
        ["control messages", "none: a token needs no other host", "", "0", "", "yes"],
    ]


def home(m):
    probes = UPSTREAMS_EACH * m.probe_cpu
    voters = ZONE_HOSTS - 1
    claim = m.claim_bytes * voters * CELLS_EACH
    claims = 2 * claim * (RESTARTS + FAILURES) / ZONES * 2 / ZONE_HOSTS
    return [
        ["cells", "rendezvous over the zone's hosts", "110,000 upstreams / 11,000 hosts at most",
         number(CELLS_EACH), "", ""],
        ["processor time of health probes", "the home alone probes, once a second",
         f"`bench-fleet edits`: slope an upstream x {number(UPSTREAMS_EACH)}", percent(probes, 2),
         percent(CPU_BUDGET), verdict(probes, CPU_BUDGET)],
        ["claims of a lost host's cells", "each new home asks all hosts of the zone",
         f"`claimMessage/10/344` x {number(voters)} x {CELLS_EACH} new homes",
         size(claim) + " in a zone", "", ""],
        ["claims of a day", "a restart moves the cells away and back",
         "2 x that x (11,000 + 210) a day / 32 zones, sent and received, a host",
         size(claims) + "/s", size(CONTROL_BUDGET) + "/s", verdict(claims, CONTROL_BUDGET)],
    ]


def reader(m):
    calls = READERS * m.reader_calls
    starts = 2 * RESTARTS
    alone = HOSTS * m.silent_reads
    listing = LISTED_BYTES * HOSTS
    return [
        ["calls", "two readers a zone watch table and host list; each watch is a call",
         f"{READERS} readers x `bench-fleet control`: calls a second / 6 readers",
         number(calls) + " a second", number(PLATFORM_BUDGET) + " a second",
         verdict(calls, PLATFORM_BUDGET)],
        ["calls of restarts", "a start reads table and host list",
         "2 x 11,000 a day", number(starts) + " a second", number(PLATFORM_BUDGET) + " a second",
         verdict(starts, PLATFORM_BUDGET)],
        ["calls if a region's hosts start in one second", "no jitter at a start",
         "2 x 1,100", number(2 * REGION_HOSTS), number(PLATFORM_BUDGET),
         verdict(2 * REGION_HOSTS, PLATFORM_BUDGET)],
        ["calls if every host watched", "what the readers are for",
         "11,000 x calls a second a reader", number(HOSTS * m.reader_calls) + " a second",
         number(PLATFORM_BUDGET) + " a second", verdict(HOSTS * m.reader_calls, PLATFORM_BUDGET)],
        ["calls while the platform is silent", "after 3 s every host reads by itself, with pauses",
         "11,000 x `platformSilent` reads a second", number(alone) + " a second",
         number(PLATFORM_BUDGET) + " a second", verdict(alone, PLATFORM_BUDGET)],
        ["host list's value", "one value", f"11,000 x {LISTED_BYTES} B of JSON", size(listing),
         size(VALUE_MAX), verdict(listing, VALUE_MAX)],
        ["table's value", "one value", "`parseAllParts` text", size(m.table_bytes),
         size(VALUE_MAX), verdict(m.table_bytes, VALUE_MAX)],
        ["host list read by a reader", "every 2 s, whole", "value / 2 s",
         size(listing / 2) + "/s", size(CONTROL_BUDGET) + "/s",
         verdict(listing / 2, CONTROL_BUDGET)],
    ]


def failures(m):
    flows = FLOWS / HOSTS

    def back(lost):
        return flows * lost / (HOSTS - lost)
    pulls = m.table_bytes / DAY
    suspicion = ZONE_HOSTS * 3 * 3 * 2 * 40 / ZONE_HOSTS
    return [
        ["11,000 restarts: table pulls", "each start pulls the table from a neighbour",
         "`parseAllParts` text x 11,000 / day / hosts", size(pulls) + "/s a host"],
        ["11,000 restarts: member lists", "the whole list both ways with each new connection",
         f"`joinFleet/11000`, {number(m.join_dials)} connections",
         size(m.join_bytes) + " a restart, " + size(2 * m.join_bytes * RESTARTS / HOSTS)
         + "/s a host"],
        ["11,000 restarts: feeds that come back", "ended over 2 s, opened at the zone's others",
         f"{number(flows)} flows / {number(ZONE_HOSTS - 1)} hosts",
         number(flows / (ZONE_HOSTS - 1)) + " a host"],
        ["210 failures: suspicion", "every host of the zone asks 3 others each 0.4 s until 1.2 s",
         "3 x 3 messages and their answers of 40 B a host", size(suspicion) + " a host"],
        [f"a rack of {RACK_HOSTS} hosts: suspicion", "the same for each",
         f"{RACK_HOSTS} x that in 1.2 s", size(RACK_HOSTS * suspicion / 1.2) + "/s a host"],
        [f"a rack of {RACK_HOSTS} hosts: feeds that come back", "the fabric spreads them",
         "flows of the rack / hosts left", number(back(RACK_HOSTS)) + " a host, "
         + seconds(back(RACK_HOSTS) / m.feeds_a_second) + " of opening"],
        ["a zone: feeds that come back", "the fabric spreads them", "flows / hosts left",
         number(back(ZONE_HOSTS)) + " a host, "
         + seconds(back(ZONE_HOSTS) / m.feeds_a_second) + " of opening"],
        ["a region: feeds that come back", "the fabric spreads them", "flows / hosts left",
         number(back(REGION_HOSTS)) + " a host, "
         + seconds(back(REGION_HOSTS) / m.feeds_a_second) + " of opening"],
        ["a region cut off for an hour: edits missed", "one pull of the newest on return",
         "6,200 x 1 h / 24 h", number(6200 / 24) + " edits, one pull of the table a host"],
        ["a region cut off: probes at the cut", "bridges alone probe across it",
         "2 bridges x 32 zones a host", "64 connections redialled, each at most every 2 s"],
    ]


def tables(report):
    """Returns the tables of docs/CAPACITY.md by name."""
    m = Measures(report)
    return {
        "every-host": table(HEADS, every_host(m)),
        "zone-state": table(HEADS, with_zone_state(m)),
        "entry-host": table(HEADS, entry_host(m)),
        "home": table(HEADS, home(m)),
        "reader": table(HEADS, reader(m)),
        "failures": table(["what", "mechanism", "worked out", "result"], failures(m)),
    }
