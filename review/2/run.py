"""A new version sets a route's time-out to four hours; looks for the version not in force (CONFIG)."""
import os
import shutil
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

from flows import Client, Server  # noqa: E402
from platform_standin import (Fabric, Node, Record, Store, end_on_signals, free_network,  # noqa: E402
                              free_ports, node_fields)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FEED_TIMEOUT_MS = 4 * 3600 * 1000
ZONES = {"akl-a": 2, "akl-b": 2, "akl-c": 2, "akl-d": 1}
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "revertSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowStrayMs": 2000,
          "flowLifetimeS": 60}
SERVICE = "boardroom-api"
FEED, DROPPED, ADDED = "198.18.0.1", "198.18.0.2", "198.18.0.3"


def route(name, host, kind, timeout_ms):
    return {"name": name, "host": host, "prefix": "/8443/", "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 120, "priority": 1, "service": SERVICE,
            "maxAttempts": 2}


def config(version, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 2000,
                          "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 12000}}


def serve_phase(clients, seconds):
    """Opens flows on all three routes in all zones for a while; returns them by route."""
    flows = {FEED: [], DROPPED: [], ADDED: []}
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for client in clients:
            for host, opened in flows.items():
                opened.append(client.open((host, 8443), "POST", 0.5))
        time.sleep(0.25)
    time.sleep(1.6)
    for client in clients:
        with client.lock:
            for flow in list(client.flows.values()):
                client._close(flow, "done") if flow.pending is None else None
    return flows


def main():
    end_on_signals()
    record = Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp()
    nodes = []
    try:
        net = free_network(sum(ZONES.values()))
        names = [(zone, f"front-{zone}-{i + 1}") for zone, n in ZONES.items() for i in range(n)]
        ips = {name: f"127.{net}.0.{i + 1}" for i, (_, name) in enumerate(names)}
        client_ips = {zone: f"127.{net}.1.{i + 1}" for i, zone in enumerate(ZONES)}
        store_ip = f"127.{net}.2.1"
        base = free_ports(list(ips.values()) + list(client_ips.values()) + [store_ip], 20)
        store = Store((store_ip, base), 0)
        seeds = [f"{ips[names[i][1]]}:{base + 2}" for i in (0, 2, 4)]
        servers = [Server(SERVICE, 0x7f3a9100 + i, f"127.{net}.3.{i + 1}", zone, base, record)
                   for i, zone in enumerate(list(ZONES) * 3)]
        for server in servers:
            store.put(f"servers/i-{server.instance:08x}", server.entry())
        store.put("op/config", config(7, [route("feed", FEED, "safe", 1000),
                                          route("old", DROPPED, "unsafe", 1200)]))
        for zone, name in names:
            nodes.append(Node(folder, node_fields(name, zone, ZONES, ips[name], base, seeds,
                                                  f"{store_ip}:{base}", BOUNDS), record))
        for node in nodes:
            node.start()
        fabric = Fabric(nodes, record)
        time.sleep(6)
        if not all(fabric.in_rotation(node) for node in nodes):
            print("a host never became ready")
            return 2
        clients = [Client(ip, zone, base, fabric, servers, record)
                   for zone, ip in client_ips.items()]
        before = serve_phase(clients, 2)
        timeout_ms = FEED_TIMEOUT_MS if TROUBLE else 1000
        revision = store.put("op/config", config(10, [route("feed", FEED, "safe", timeout_ms),
                                                      route("new", ADDED, "unsafe", 1200)]))
        record.write(f"ack of version 10 at revision {revision}: feed's time-out {timeout_ms} ms, "
                     "route old dropped, route new added")
        time.sleep(BOUNDS["configApplyMs"] / 1000 + 3)
        record.write("configApplyMs and 3 s more are over")
        after = serve_phase(clients, 4)

        def ran(flows, host):
            return sum(1 for f in flows[host] if f.served)

        for name, flows in (("before", before), ("after", after)):
            print(name, ", ".join(f"{what}: {ran(flows, host)} of {len(flows[host])} flows served"
                                  for what, host in (("feed", FEED), ("old", DROPPED),
                                                     ("new", ADDED))))
        # For the record only: a final fault, in which all processes are killed, as some days end.
        for node in nodes:
            node.signal(signal.SIGKILL)
        for node in nodes:
            node.wait(1)
        time.sleep(0.6)
        for node in nodes:
            node.start()
        time.sleep(BOUNDS["recoveryS"])
        back = serve_phase(clients, 3)
        print("after a final fault and recoveryS: "
              f"{sum(ran(back, host) for host in back)} of {sum(map(len, back.values()))} flows "
              f"served, {sum(map(fabric.in_rotation, nodes))} of {len(nodes)} hosts ready")
        fabric.stop()
        if ran(before, FEED) == 0 or ran(before, DROPPED) == 0 or ran(after, FEED) == 0:
            print("too little was served to judge")
            return 2
        if ran(after, ADDED) < len(after[ADDED]) / 2:
            print("CONFIG: flows on the added route are refused")
        if ran(after, DROPPED):
            print("CONFIG: requests on the dropped route are run")
        return 1 if ran(after, DROPPED) or ran(after, ADDED) < len(after[ADDED]) / 2 else 0
    finally:
        for node in nodes:
            node.end()
            node.log.close()
        if os.environ.get("KEEP"):
            print("logs:", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


try:
    STATUS = main()
except BaseException:  # noqa: BLE001
    import traceback
    traceback.print_exc()
    STATUS = 2
sys.stdout.flush()
os._exit(STATUS)
