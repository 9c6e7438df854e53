"""Stand-ins of the users' platform for the scripts under review/: metadata store, fabric, settings.

Standard library only. Everything listens and sends on loopback addresses.
"""
import base64
import hashlib
import http.client
import http.server
import json
import os
import re
import signal
import socket
import subprocess
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """Writes record.txt: one line an event, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.4f} {text}\n")
            self.file.flush()


class Store:
    """The metadata store: ranges, keys and watches over HTTP/1.1, with one revision counter.

    Reads with staleOk=1 are answered from the state `stale_s` ago; all others are linearizable.
    """

    def __init__(self, address, stale_s):
        self.lock = threading.Condition()
        self.revision = 100
        self.items = {}
        self.events = []  # (revision, key, event)
        self.snapshots = [(time.monotonic(), self.revision, {})]
        self.stale_s = stale_s
        self.calls = 0
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.handle(self)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes an item; returns its revision, which is the ack."""
        with self.lock:
            self.revision += 1
            created = self.items[key]["createdRev"] if key in self.items else self.revision
            text = base64.b64encode(json.dumps(value).encode()).decode()
            item = {"key": key, "value": text, "revision": self.revision, "createdRev": created,
                    "lease": 0}
            self.items[key] = item
            self._changed(key, item)
            return self.revision

    def remove(self, key):
        with self.lock:
            self.revision += 1
            del self.items[key]
            self._changed(key, {"key": key, "revision": self.revision, "removed": True})
            return self.revision

    def _changed(self, key, event):
        self.events.append((self.revision, key, event))
        self.snapshots.append((time.monotonic(), self.revision, dict(self.items)))
        self.lock.notify_all()

    def _stale(self):
        limit = time.monotonic() - self.stale_s
        return max((s for s in self.snapshots if s[0] <= limit), key=lambda s: s[0],
                   default=self.snapshots[0])

    def handle(self, request):
        parsed = urllib.parse.urlsplit(request.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parsed.query,
                                                           keep_blank_values=True).items()}
        with self.lock:
            self.calls += 1
        if parsed.path == "/-/kv-range":
            self.answer(request, self.range(query))
        elif parsed.path == "/-/kv-watch":
            self.answer(request, self.watch(query))
        elif parsed.path == "/-/kv-key":
            with self.lock:
                item = self.items.get(query.get("key"))
                body = dict(item, currentRev=self.revision) if item else None
            self.answer(request, body, 200 if body else 404)
        else:
            self.answer(request, None, 404)

    def range(self, query):
        with self.lock:
            _, revision, items = (self._stale() if query.get("staleOk") == "1"
                                  else (0, self.revision, self.items))
            keys = sorted(k for k in items
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return {"items": [items[k] for k in keys[:500]], "morePages": len(keys) > 500,
                    "currentRev": revision}

    def watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        end = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        with self.lock:
            while True:
                events = [e for r, k, e in self.events if r > after and k.startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "currentRev": self.revision}
                self.lock.wait(left)

    @staticmethod
    def answer(request, body, status=200):
        text = json.dumps(body or {}).encode()
        try:
            request.send_response(status)
            request.send_header("Content-Type", "application/json")
            request.send_header("Content-Length", str(len(text)))
            request.end_headers()
            request.wfile.write(text)
        except OSError:
            pass


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells (values, |json, sections)."""

    def look_up(name, scopes):
        if name in (".", "@"):
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        section = re.search(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", text, re.S)
        if section:
            value = look_up(section.group(1), scopes)
            if isinstance(value, list):
                body = "".join(fill(section.group(2), scopes + [entry]) for entry in value)
            elif value is None or value is False:
                body = ""
            else:
                body = fill(section.group(2), scopes + [value])
            return (fill(text[:section.start()], scopes) + body
                    + fill(text[section.end():], scopes))

        def put(match):
            name, _, form = match.group(1).partition("|")
            value = look_up(name, scopes)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([^#/^}][^}]*)\}\}", put, text)

    return fill(template, [fields])


class Node:
    """One process of the deploy file's role, on a loopback address of its own."""

    def __init__(self, folder, fields, record):
        self.fields = fields
        self.name = fields["nodeName"]
        self.zone = fields["zone"]
        self.record = record
        self.path = os.path.join(folder, self.name + ".toml")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = None
        with open(os.path.join(ROOT, "platform/settings.toml"), encoding="utf-8") as template:
            with open(self.path, "w", encoding="utf-8") as file:
                file.write(render(template.read(), fields))

    def start(self):
        words = ["target/flamingograded", "--config", self.path]  # As in deploy/system.toml.
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["FLAMINGOGRADE_SETTINGS"] = self.path
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.record.write(f"start {self.name} pid={self.process.pid}")

    def signal(self, number):
        self.record.write(f"signal {self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def wait(self, timeout):
        """Waits for the process's end; kills it after `timeout`, as the platform does."""
        try:
            code = self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.record.write(f"ended {self.name} code={code}")
        return code

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fabric:
    """The platform's routers: readiness twice a second for each node, and steady hashing."""

    def __init__(self, nodes, record):
        self.nodes = nodes
        self.record = record
        self.misses = {node.name: 2 for node in nodes}
        self.stopped = False
        self.threads = [threading.Thread(target=self._poll, args=(node, i), daemon=True)
                        for i, node in enumerate(nodes)]
        for thread in self.threads:
            thread.start()

    def _poll(self, node, index):
        time.sleep(0.5 * index / len(self.nodes))
        due = time.monotonic()
        host, port = node.fields["listen"]["ready"].split(":")
        while not self.stopped:
            ready = False
            try:
                connection = http.client.HTTPConnection(host, int(port), timeout=0.4)
                connection.request("GET", "/-/readiness")
                ready = connection.getresponse().status == 200
                connection.close()
            except OSError:
                pass
            before = self.misses[node.name]
            self.misses[node.name] = 0 if ready else before + 1
            if (before < 2) != (self.misses[node.name] < 2):
                self.record.write(f"rotation {node.name} {'in' if ready else 'out'}")
            due += 0.5
            time.sleep(max(0, due - time.monotonic()))

    def in_rotation(self, node):
        return self.misses[node.name] < 2

    def choose(self, zone, ends):
        """Returns the node for a flow: the best by hash of the zone's nodes in rotation."""
        own = [n for n in self.nodes if n.zone == zone]
        ready = [n for n in own if self.in_rotation(n)]
        if 0 < len(ready) < len(own) / 2:
            ready = own
        if not ready:
            ready = [n for n in self.nodes if self.in_rotation(n)] or own
        return max(ready, key=lambda n: hashlib.blake2b(f"{n.name}|{ends}".encode(),
                                                        digest_size=8).digest())

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()


def free_network(hosts):
    """Returns a number n for which the admin port of the settings template is free on 127.n.0.1 on.

    The template names that port; all others are drawn by `free_ports`.
    """
    for number in range(11, 200):
        try:
            for host in range(1, hosts + 1):
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as test:
                    test.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    test.bind((f"127.{number}.0.{host}", 9100))
            return number
        except OSError:
            continue
    raise OSError("no free addresses")


def free_ports(addresses, count):
    """Returns a base port from which on `count` ports are free on all `addresses`."""
    for base in range(21000, 60000, 37):
        try:
            for ip in addresses:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as test:
                            test.bind((ip, port))
            return base
        except OSError:
            continue
    raise OSError("no free ports")


def end_on_signals():
    """Makes SIGTERM and SIGINT end the script in order, so that it ends what it started."""
    def leave(number, _frame):
        raise SystemExit(f"ended by signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, leave)


def node_fields(name, zone, zones, ip, base, seeds, store, bounds):
    """The fields of a process's settings, as DEPLOY.md lists them."""
    return {
        "nodeName": name, "role": "entry", "machineClass": "front", "serves": ["front", "control"],
        "ip": ip, "zone": zone, "region": "akl", "zones": {z: "akl" for z in zones},
        "listen": {"datagramAddr": f"{ip}:{base}", "ready": f"{ip}:{base + 1}",
                   "control": f"{ip}:{base + 2}"},
        "internalPorts": [base + 4, base + 19], "seeds": seeds, "bootstrap": True,
        "failureCounted": False,
        "limits": {"cpuShare": 0.055, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100,
                   "linkMbps": 1000.0, "diskMb": 0},
        "dataDir": None, "discovery": "platform", "entryType": "announcement",
        "heartbeatMs": 1200, "bounds": bounds, "hashMode": "steady", "deploymentMode": "echo",
        "platform": {"address": store, "deploymentMode": "read", "writesPerS": 400,
                     "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                     "ttlMinMs": 1000},
    }
