"""The tables and charts of a report."""
from . import chart
from .report import Core
from .text import number, percent, seconds, size, table

POLICY_HEADS = ["policy", "goodput a second", "in time", "imbalance of upstreams",
                "imbalance of rows", "p50 ms", "p99 ms", "p99.9 ms", "refused",
                "over an upstream's slots"]


def core_table(report):
    core = Core(report)
    rows = [
        ["steering: token check and look-ups", seconds(core.seconds("steerByToken")), "300 ns"],
        ["arrival of a feed with a token, through `Balancer::handle`",
         seconds(core.seconds("handleFeedWithToken")), ""],
        ["arrival of a new feed", seconds(core.seconds("handleNewFeed")), ""],
        ["rendezvous over 14 upstreams", seconds(core.seconds("rendezvousOverUpstreams")), ""],
        ["library's memory of an open feed, 300,000 held",
         size(core.counter("holdFeeds", "bytes_per_feed")), "128 B"],
        ["tick with 300,000 feeds held", seconds(core.seconds("tickWithFeeds")), ""],
        ["idempotent request through its home", seconds(core.seconds("idempotentRequests")), ""],
        ["request with a key through its home", seconds(core.seconds("keyedRequests")), ""],
        ["new feed in a fleet of 11,000 hosts", seconds(core.seconds("newFeedInFleet/11000")), ""],
        ["table part of " + number(core.counter("parsePart", "part_MB")) + " MB parsed",
         seconds(core.seconds("parsePart")), ""],
        ["all parts: 11,000 rows, 110,000 upstreams, "
         + number(core.counter("parseAllParts", "text_MB")) + " MB of text, "
         + number(core.counter("parseAllParts", "held_MB")) + " MB held",
         seconds(core.seconds("parseAllParts")), ""],
    ]
    return table(["what", "processor time or memory", "expected at most"], rows)


def policy_rows(report, situation):
    rows = []
    for policy, situations in report["fleet"]["policies"].items():
        found = next(s for s in situations if s["situation"] == situation)
        latency = found["latency_ms_worst_row"]
        rows.append([policy, number(found["goodput_per_second"]),
                     percent(found["share_within_deadline"]),
                     percent(found["imbalance_upstreams"]), percent(found["imbalance_rows"]),
                     number(latency["p50"]), number(latency["p99"]), number(latency["p999"]),
                     percent(refused_share(found)), number(found["over_slots"])])
    return rows


def refused_share(found):
    sent = sum(row["sent"] for row in found["rows"].values())
    refused = sum(count for row in found["rows"].values()
                  for verdicts in row["refused"].values() for count in verdicts.values())
    return refused / sent


def situations_of(report):
    first = next(iter(report["fleet"]["policies"].values()))
    return [found["situation"] for found in first]


def policies_table(report):
    texts = []
    for situation in situations_of(report):
        texts.append(f"Load: {situation}\n\n"
                     + table(POLICY_HEADS, policy_rows(report, situation)))
    return "\n\n".join(texts)


def direct_table(report):
    direct = report["fleet"]["direct"]
    rows = []
    for name, title in (("lone", "lone requests"), ("steady", "steady requests")):
        part = direct[name]
        for field in ("p50", "p99"):
            rows.append([f"{title}, {number(part['rate'])} a second: {field}",
                         number(part["through_ms"][field]) + " ms",
                         number(part["straight_ms"][field]) + " ms",
                         number(part["ratio"][field])])
    rates = direct["requests_per_second"]
    rows.append(["largest sustained rate, a second", number(rates["through"]),
                 number(rates["straight"]), number(rates["ratio"])])
    rows.append(["new flows on new connections, a second",
                 number(direct["new_flows_per_second"]), "", ""])
    rows.append(["feeds opened a second", number(direct["new_feeds_per_second"]), "", ""])
    rows.append(["processor time of the host a request",
                 number(direct["cpu_us_per_request"]) + " us", "", ""])
    return table(["what", "through one host", "straight", "ratio"], rows)


def control_table(report):
    rows = []
    for found in report["fleet"]["control"]["sizes"]:
        idle, edits, churn = found["idle"], found["edits"], found["churn"]
        rows.append([found["hosts"], size(idle["bytes_sent_per_second"]["mean"]),
                     number(idle["messages_sent_per_second"]["mean"]),
                     percent(idle["cpu_share"]["mean"], 2),
                     size(idle["resident_bytes"]["mean"]),
                     number(idle["platform_calls_per_second"]),
                     size(edits["bytes_sent_per_second"]["mean"]),
                     size(churn["bytes_sent_per_second"]["mean"]),
                     seconds(found["rollout_seconds_max"])])
    return table(["hosts", "bytes/s sent, idle", "messages/s sent", "of a core", "resident",
                  "platform calls/s, all", "bytes/s under an edit a second",
                  "bytes/s, a host lost and one new", "edit in force on all"], rows)


def slopes_table(report):
    rows = []
    for name, line in report["fleet"]["control"]["lines"].items():
        rows.append([name.replace("_", " "), number(line["base"]), number(line["slope"])])
    return table(["idle, mean of a host (platform calls: of all)", "at 0 hosts", "a host more"],
                 rows)


def edits_table(report):
    rows = []
    for found in report["fleet"]["edits"]:
        idle, edits = found["idle"], found["edits"]
        rows.append([size(found["table_bytes"]),
                     size(edits["bytes_received_per_second"]["max"]),
                     size(edits["bytes_sent_per_second"]["max"]),
                     percent(idle["cpu_share"]["mean"], 2), percent(edits["cpu_share"]["mean"], 2),
                     size(idle["resident_bytes"]["mean"]), size(edits["resident_bytes"]["max"]),
                     seconds(found["rollout_seconds_max"])])
    return table(["table's text", "most received an edit", "most sent an edit", "of a core, idle",
                  "of a core, an edit a second", "resident, idle", "resident, most under edits",
                  "edit in force on all"], rows)


def feeds_table(report):
    feeds = report["fleet"]["feeds"]
    rows = [["feeds held by 8 hosts", number(feeds["feeds"])],
            ["largest deviation of an upstream's feeds", percent(feeds["imbalance"])],
            ["the same expected of upstreams drawn at random",
             percent(feeds["expected_of_random"])],
            ["resident memory of a host a feed", size(feeds["resident_bytes_each"])],
            ["processor time of a host an event",
             seconds(feeds["cpu_share_each"] / feeds["events_per_second_each"])]]
    return table(["what", "measured"], rows)


def machine_line(report):
    machine = report["machine"]
    return (f"Run of {report['date'][:10]} on {machine['cores']} shared cores "
            f"({machine['model']}), {machine['memory_gb']} GB of memory, load average "
            f"{number(machine['load_average_at_end'])} at its end.")


def policy_charts(report):
    policies = report["fleet"]["policies"]
    groups = situations_of(report)

    def series(read):
        return {policy: [read(found) for found in situations]
                for policy, situations in policies.items()}
    return [
        chart.bars("Imbalance of rows by policy: largest relative deviation", groups,
                   series(lambda found: found["imbalance_rows"])),
        chart.bars("Imbalance of upstreams by policy: largest relative deviation", groups,
                   series(lambda found: found["imbalance_upstreams"])),
        chart.bars("Latency p99 by policy, worst row, ms", groups,
                   series(lambda found: found["latency_ms_worst_row"]["p99"])),
        chart.bars("Share not answered within the deadline by policy", groups,
                   series(lambda found: 1 - found["share_within_deadline"])),
        chart.bars("Requests over an upstream's slots by policy", groups,
                   series(lambda found: found["over_slots"])),
    ]


def control_charts(report):
    sizes = report["fleet"]["control"]["sizes"]
    hosts = [found["hosts"] for found in sizes]

    def series(field, names):
        return {name: [found[part][field]["mean"] for found in sizes]
                for name, part in names.items()}
    parts = {"idle": "idle", "an edit a second": "edits", "a host lost, one new": "churn"}
    return [
        chart.lines("Control bytes a second sent by a host", hosts,
                    series("bytes_sent_per_second", parts), "hosts"),
        chart.lines("Share of a core of a host", hosts, series("cpu_share", parts), "hosts"),
        chart.lines("Seconds until an edit is in force on all hosts", hosts,
                    {"longest of three": [found["rollout_seconds_max"] or 0 for found in sizes]},
                    "hosts"),
    ]
