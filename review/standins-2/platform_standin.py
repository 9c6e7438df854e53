"""The platform's metadata store, a relay between hosts that models power loss, and settings of hosts."""
import asyncio
import base64
import json
import socket
import time
import urllib.parse

now = time.monotonic
SYN_RESENDS_S = (1.0, 2.0, 4.0)


class Store:
    """Items with revisions, ranges and watches. Reads with staleOk=1 are `stale_s` seconds old."""

    page = 500

    def __init__(self, ip, stale_s):
        self.ip, self.stale_s = ip, stale_s
        self.revision, self.items, self.history, self.waiting, self.snapshots = 100, {}, [], set(), []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Writes an item and returns the time of the acknowledgement."""
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                           "revision": self.revision, "lease": 0,
                           "createdRev": old["createdRev"] if old else self.revision}
        return self._changed(self.items[key])

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        return self._changed({"key": key, "revision": self.revision, "removed": True})

    def _changed(self, event):
        self.history.append((self.revision, event))
        self.snapshots.append((now(), self.revision, dict(self.items)))
        for future in list(self.waiting):
            if not future.done():
                future.set_result(None)
        return now()

    def _view(self, may_be_stale):
        old = [s for s in self.snapshots if s[0] <= now() - self.stale_s]
        if not may_be_stale or not old:
            return self.items, self.revision
        return old[-1][2], old[-1][1]

    def _range(self, query):
        items, revision = self._view(query.get("staleOk") == "1")
        keys = sorted(k for k in items if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
        return {"items": [items[k] for k in keys[:self.page]], "morePages": len(keys) > self.page,
                "currentRev": revision}

    async def _watch(self, query):
        after, end = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [e for revision, e in self.history
                      if revision > after and e["key"].startswith(query.get("prefix", ""))]
            if events or now() >= end:
                return {"events": events, "currentRev": self.revision}
            future = asyncio.get_running_loop().create_future()
            self.waiting.add(future)
            try:
                await asyncio.wait_for(future, end - now())
            except asyncio.TimeoutError:
                pass
            self.waiting.discard(future)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                url = urllib.parse.urlsplit(head.split(b" ")[1].decode())
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(0.004)
                answer = None
                if url.path == "/-/kv-range":
                    answer = self._range(query)
                elif url.path == "/-/kv-watch":
                    answer = await self._watch(query)
                elif url.path == "/-/kv-key" and query.get("key") in self.items:
                    answer = dict(self.items[query["key"]], currentRev=self.revision)
                body = json.dumps(answer).encode() if answer is not None else b""
                status = b"200 OK" if answer is not None else b"404 Not Found"
                writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


class Power:
    """Which machines (by IP) have no power, and how often each has been started."""

    def __init__(self):
        self.dark, self.boots = set(), {}

    def boot_of(self, ip):
        return self.boots.get(ip, 0)

    def lose(self, ip):
        self.dark.add(ip)

    def restore(self, ip):
        self.boots[ip] = self.boot_of(ip) + 1
        self.dark.discard(ip)


class Relay:
    """The network before the `control` address of one host.

    A machine without power does not answer, and connections to it hang. When it is back it knows none
    of its old connections: it answers their next bytes by a reset.
    """

    def __init__(self, ip, target, power, on_bytes=None):
        self.ip, self.target, self.power, self.on_bytes = ip, target, power, on_bytes

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        source, target = writer.get_extra_info("peername")[0], self.target[0]
        boot = self.power.boot_of(source)
        for pause in SYN_RESENDS_S:  # A SYN that is lost is sent again.
            if not {source, target} & self.power.dark:
                break
            await asyncio.sleep(pause)
        if self.power.boot_of(source) != boot or {source, target} & self.power.dark:
            writer.transport.abort()
            return
        boots = {ip: self.power.boot_of(ip) for ip in (source, target)}
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target, local_addr=(source, 0))
        except OSError:
            writer.transport.abort()
            return

        def is_lost(ip):
            return ip in self.power.dark or self.power.boot_of(ip) != boots[ip]

        def reset():
            writer.transport.abort()
            far_writer.transport.abort()

        async def pass_on(from_reader, to_writer, sender, receiver):
            try:
                while True:
                    data = await from_reader.read(65536)
                    if is_lost(sender):
                        if not data:
                            return
                        continue
                    if is_lost(receiver):
                        while receiver in self.power.dark:
                            await asyncio.sleep(0.005)
                        reset()
                        return
                    if not data:
                        break
                    if self.on_bytes:
                        self.on_bytes(sender, receiver, len(data))
                    to_writer.write(data)
                    await to_writer.drain()
            except (ConnectionError, OSError):
                pass
            if not is_lost(sender) and not is_lost(receiver):
                to_writer.close()

        await asyncio.gather(pass_on(reader, far_writer, source, target),
                             pass_on(far_reader, writer, target, source))


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def common_datagram_port(ips):
    """Returns a port that is free on all of `ips`: ports are the same on all machines of a day."""
    for _ in range(100):
        port = free_port(ips[0], socket.SOCK_DGRAM)
        try:
            for ip in ips:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
    raise OSError("no common port is free")


def settings_of(name, zone, ip, ports, datagram_port, advertised, store, seeds):
    """Returns the settings of a host as platform/settings.toml renders them, and the relay's address."""
    text = f'''[host]
name = "{name}"
zone = "{zone}"
link_mbps = 1000.0
[listen]
peer = "{ip}:{ports['control']}"
admin = "{ip}:{ports['admin']}"
ready = "{ip}:{ports['ready']}"
ready_path = "/-/readiness"
[advertise]
peer = "{advertised}"
[network]
source = "{ip}"
[packets]
listen = "{ip}:{datagram_port}"
[platform]
address = "{store}"
publishes = "directory"
heartbeat_ms = 1200
[limits]
stop_timeout_ms = 5000
'''
    return text + "".join(f'[[seed]]\npeer = "{seed}"\n' for seed in seeds)


def route(name, host, port, service, kind):
    return {"name": name, "host": host, "prefix": f"/{port}/", "service": service, "routeType": kind,
            "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2}


def configuration(version, routes):
    services = sorted({r["service"] for r in routes})
    return {"version": version, "routes": routes,
            "services": [{"name": s, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}
