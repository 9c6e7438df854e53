"""Rolling restart of all hosts while routes are added; looks for resets of open flows (FLOW)."""
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
STALE_S = 3.0         # "With staleOk = 1, a read ... may be seconds old."
FLOWS = 30            # Flows that clients open on each added route.
PERIOD_S = 0.15       # Pause of a client between two requests on a flow.
ROUNDS = 3
GAP_S = 1.3           # Pause between two hosts, as `gap_s` of roll_term in the site file.
ZONES = {"akl-a": 2, "akl-b": 2, "akl-c": 2, "akl-d": 1}
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "revertSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowStrayMs": 2000,
          "flowLifetimeS": 60}
SERVICE = "boardroom-api"


def route(number):
    return {"name": f"r-{number}", "host": f"198.18.0.{1 + number}", "prefix": "/8443/",
            "routeType": "unsafe", "timeoutMs": 1200, "targetLatencyMs": 120, "priority": 1,
            "service": SERVICE, "maxAttempts": 2}


def config(version, count):
    return {"version": version, "routes": [route(i) for i in range(count)],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 2000,
                          "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 12000}}


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
        store = Store((store_ip, base), STALE_S)
        # "At most three machines. These may be stale or down": the third names one that is down.
        seeds = [f"{ips[names[i][1]]}:{base + 2}" for i in (0, 2)] + [f"127.{net}.4.1:{base + 2}"]
        servers = [Server(SERVICE, 0x7f3a9100 + i, f"127.{net}.3.{i + 1}", zone, base, record)
                   for i, zone in enumerate(list(ZONES) * 4)]
        for server in servers:
            store.put(f"servers/i-{server.instance:08x}", server.entry())
        routes, version = 1, 7
        store.put("op/config", config(version, routes))
        time.sleep(STALE_S)
        for zone, name in names:
            fields = node_fields(name, zone, ZONES, ips[name], base, seeds,
                                 f"{store_ip}:{base}", BOUNDS)
            nodes.append(Node(folder, fields, record))
        for node in nodes:
            node.start()
        fabric = Fabric(nodes, record)
        time.sleep(5)
        if not all(fabric.in_rotation(node) for node in nodes):
            print("a host never became ready")
            return 2
        clients = {zone: Client(ip, zone, base, fabric, servers, record)
                   for zone, ip in client_ips.items()}
        for client in clients.values():
            for _ in range(5):
                client.open(("198.18.0.1", 8443), "POST", 2 * PERIOD_S)
        time.sleep(1)
        end = time.monotonic() + 95
        for step in range(ROUNDS * len(nodes)):
            if time.monotonic() > end:
                break  # The script runs for 120 seconds at most.
            node = nodes[step % len(nodes)]
            routes += 1
            version += 3
            record.write(f"ack of version {version}, which adds r-{routes - 1}: revision "
                         f"{store.put('op/config', config(version, routes))}")
            if TROUBLE:
                node.signal(signal.SIGTERM)
            time.sleep(1.0)
            for _ in range(FLOWS):
                clients[node.zone].open((f"198.18.0.{routes}", 8443), "POST", PERIOD_S)
            if TROUBLE:
                node.wait(BOUNDS["graceS"])
                time.sleep(0.5)  # "restarted after a short delay"
                node.start()
            else:
                time.sleep(1.2)
            time.sleep(GAP_S)
            for client in clients.values():  # The flows of earlier steps end.
                with client.lock:
                    for flow in list(client.flows.values()):
                        if flow.service[0] not in ("198.18.0.1", f"198.18.0.{routes}"):
                            if flow.pending is None:
                                client._close(flow, "done")
        fabric.stop()
        for client in clients.values():
            client.stop()
        resets = [r for c in clients.values() for r in c.resets]
        sent, served = (sum(getattr(c, k) for c in clients.values()) for k in ("sent", "served"))
        twice = sum(1 for s in servers for n in s.runs.values() if n > 1)
        print(f"requests sent {sent}, answered {served}, run twice {twice}; "
              f"flows refused {sum(c.refused for c in clients.values())}; "
              f"open flows reset by the system {len(resets)}, "
              f"of these with a request under way {sum(1 for r in resets if r[1] != 'none')}")
        if sent == 0 or served < sent / 2:
            print("too little was served to judge")
            return 2
        return 1 if resets else 0
    finally:
        for node in nodes:
            node.end()
        for node in nodes:
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
