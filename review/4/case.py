"""Many machines lose power at once while a server begins to drain and the configuration changes."""
import asyncio
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from packets import Clients, Server, now  # noqa: E402
from platform_standin import (Power, Relay, Store, common_datagram_port, configuration, free_port, route,  # noqa: E402
                      settings_of)

ROOT = os.path.abspath(os.path.join(HERE, "..", ".."))
ZONES = {"lahore-hall": 4, "faisalabad-hall": 3, "multan-hall": 2}  # Of hamsaya-lb.
CALM = "lahore-hall"
DRAIN_S = 3.0  # drainMs
CONFIG_S = 3.0  # configApplyMs
TOUCH_S = 4.0  # contactMs
DARK_S = 2.0  # for_s of herd_kill in hamsaya-lb.toml
STALE_S = 2.5  # "may be seconds old"
LEAVES_S = 3.3  # A draining server exits "drainMs ... and a little longer" after the store took its report.
ROUNDS = 5
PING_S = 1.5  # Between two pings of the elected host, as seen on the network.
SEEDS = 3  # "at most three machines": here the first three, which are in one zone.
ROW = ("198.18.0.1", 8443)


class Host:
    def __init__(self, name, zone, ip):
        self.name, self.zone, self.ip, self.process = name, zone, ip, None


class Case:
    def __init__(self, record, trouble):
        self.record, self.trouble = record, trouble
        self.folder = tempfile.mkdtemp(prefix="review-4-")
        self.power, self.hosts, self.servers = Power(), [], []
        self.pings, self.heard = {}, {}
        self.began, self.version, self.routes, self.broken = now(), 7, [], []

    def note(self, text):
        self.record.write(f"{now() - self.began:9.3f} {text}\n")

    def note_bytes(self, sender, receiver, size):
        """Notes when the elected host of the calm zone pings the hosts of Multan: it speaks first."""
        if size < 40:
            return
        multan = {h.ip for h in self.hosts if h.zone == "multan-hall"}
        if sender == self.elected.ip and receiver in multan and now() - self.heard.get(receiver, 0) > 0.03:
            self.pings[receiver] = now()
        if receiver == self.elected.ip:
            self.heard[sender] = now()

    async def begin(self):
        self.store = Store("127.3.0.1", STALE_S)
        await self.store.start()
        for i, (zone, count) in enumerate(ZONES.items(), 1):
            for n in range(1, count + 1):
                self.hosts.append(Host(f"front-{zone}-{n}", zone, f"127.1.{i}.{n}"))
        self.elected = next(h for h in self.hosts if h.name == f"front-{CALM}-2")
        client_ips = [f"127.100.0.{n}" for n in range(1, 5)]
        self.datagram_port = common_datagram_port([h.ip for h in self.hosts] + client_ips)
        self.clients = Clients(client_ips, self.datagram_port)
        self.clients.start()
        for i, zone in enumerate(ZONES, 1):
            for n in (1, 2):
                await self.add_server(f"127.2.{i}.{n}", zone)
        self.routes.append(route("r-replies", *ROW, "desk", "unsafe"))
        self.publish()
        for host in self.hosts:
            host.ports = {name: free_port(host.ip) for name in ("control", "admin", "ready")}
            relay = Relay(host.ip.replace("127.1.", "127.4.", 1), (host.ip, host.ports["control"]),
                          self.power, self.note_bytes)
            await relay.start()
            host.advertised = f"{relay.ip}:{relay.port}"
        seeds = [h.advertised for h in self.hosts[:SEEDS]]
        for host in self.hosts:
            host.file = os.path.join(self.folder, host.name + ".toml")
            with open(host.file, "w") as file:
                file.write(settings_of(host.name, host.zone, host.ip, host.ports, self.datagram_port,
                                       host.advertised, f"127.3.0.1:{self.store.port}", seeds))
            self.start(host)
        for host in self.hosts:
            await self.wait_ready(host)
        self.note("all hosts are ready")

    async def add_server(self, ip, zone):
        server = Server(ip, "desk", zone, self.datagram_port)
        await server.start()
        self.servers.append(server)
        self.store.put("servers/" + server.id, server.entry())
        return server

    def publish(self):
        self.version += random.randrange(1, 4)
        return self.store.put("op/config", configuration(self.version, self.routes))

    def start(self, host):
        log = open(os.path.join(self.folder, host.name + ".log"), "ab")
        host.process = subprocess.Popen([os.path.join(ROOT, "target", "flamingograded"), "--config", host.file],
                                        cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    async def wait_ready(self, host):
        end = now() + 15
        while now() < end:
            try:
                reader, writer = await asyncio.open_connection(host.ip, host.ports["ready"])
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(reader.read(64), 1)
                writer.close()
                if b" 200 " in head:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{host.name} is not ready")

    async def wait_before_ping(self):
        """Returns shortly before the elected host pings a host of Multan, which it does every 1.5 s."""
        end = now() + 5
        while now() < end:
            if any(PING_S - 0.15 < now() - at < PING_S - 0.05 for at in self.pings.values()):
                return
            await asyncio.sleep(0.005)

    async def wait_for_ping(self):
        """Returns when the elected host has just pinged a host of Multan: it pings it again 1.5 s later."""
        end = now() + 5
        while now() < end:
            if self.pings and 0.02 < now() - max(self.pings.values()) < 0.06:
                return
            await asyncio.sleep(0.005)

    async def lose_power(self, lost):
        for host in lost:
            self.power.lose(host.ip)
            host.process.send_signal(signal.SIGSTOP)  # From now on nothing of it reaches anybody.
        self.note("without power: " + ", ".join(h.name for h in lost))
        await asyncio.sleep(DARK_S)
        for host in lost:
            host.process.kill()
            host.process.wait()
        for host in lost:
            self.power.restore(host.ip)
            self.start(host)
        self.note("power is back and the processes are started")

    async def press(self, until, sent, row, pause):
        """Sends requests of a route through the calm hosts in turn, each on a flow of its own."""
        calm = [h for h in self.hosts if h.zone == CALM]
        tasks, n = [], 0
        while now() < until:
            host = calm[n % len(calm)]
            n += 1

            async def one(host=host, number=n):
                result = await self.clients.request((host.ip, self.datagram_port), row, f"{row[1]}-{number}")
                sent.append((host, *result))

            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(pause)
        await asyncio.gather(*tasks)

    async def round(self, number):
        await asyncio.sleep(TOUCH_S + 3 + random.random())
        leaving = next(s for s in self.servers if s.zone == CALM and s.state == "ready")
        await self.wait_before_ping()
        await self.add_server(f"127.2.1.{10 + number}", CALM)  # The new one starts first.
        await self.wait_for_ping()
        lost = [h for h in self.hosts if h.zone != CALM]
        loss = asyncio.create_task(self.lose_power(lost)) if self.trouble else None
        await asyncio.sleep(0.05)
        leaving.state = "draining"
        drain_ack = self.store.put("servers/" + leaving.id, leaving.entry())
        new_row = ("198.18.0.2", 9000 + number)
        self.routes.append(route(f"r-new-{number}", *new_row, "desk", "safe"))
        config_ack = self.publish()
        self.note(f"round {number}: the store took 'draining' of {leaving.id}, then version {self.version}"
                  f" with {new_row[0]}:{new_row[1]}")
        replies, news = [], []
        end = drain_ack + LEAVES_S + 0.7

        async def leave():
            await asyncio.sleep(drain_ack + LEAVES_S - now())
            leaving.stop()
            self.store.remove("servers/" + leaving.id)
            self.note(f"{leaving.id} has ended")

        await asyncio.gather(leave(), self.press(end, replies, ROW, 0.01), self.press(end, news, new_row, 0.02))
        if loss:
            await loss
        self.judge(number, leaving, drain_ack, config_ack, replies, news)
        for host in lost:
            await self.wait_ready(host)

    def judge(self, number, leaving, drain_ack, config_ack, replies, news):
        for host, sent, flow, result in sorted(replies + news, key=lambda it: it[1]):
            (ip, port), row = flow
            self.record.write(f"  sent {sent - self.began:9.3f} {ip}:{port} > {row[0]}:{row[1]} through {host.name}: {result}\n")
        for server in self.servers:
            for at, ((ip, port), row), text in server.runs:
                self.record.write(f"  run  {at - self.began:9.3f} {ip}:{port} > {row[0]}:{row[1]} by {server.id}: {text}\n")
            server.runs.clear()
        by_flow = {flow: (host, sent, result) for host, sent, flow, result in replies}
        late = [(at, flow, *by_flow[flow]) for at, flow, _ in leaving.openings
                if flow in by_flow and at > drain_ack + DRAIN_S]
        for at, flow, host, sent, result in late:
            self.note(f"DRAIN: request from {flow[0]} sent at +{sent - drain_ack:.3f} s through {host.name} reached"
                      f" {leaving.id} {at - drain_ack:.3f} s after the ack; the client saw: {result}")
        refused = [(sent, host, result) for host, sent, flow, result in news
                   if sent > config_ack + CONFIG_S and result == "reset by the system"]
        for sent, host, result in refused:
            self.note(f"CONFIG: request sent {sent - config_ack:.3f} s after the ack through {host.name}: {result}")
        last_at = max([at for at, _, _ in leaving.openings if at > drain_ack], default=drain_ack)
        counts = {}
        for _, _, _, result in replies + news:
            counts[result] = counts.get(result, 0) + 1
        lost = sum(1 for _, _, _, _, result in late if result == "open, no answer")
        summary = (f"round {number}: the leaving server got its last opening {last_at - drain_ack:.3f} s after the ack;"
                   f" {len(late)} unsafe requests after drainMs, {lost} of them run and never answered;"
                   f" {len(refused)} requests of the new route refused after configApplyMs; all: {counts}")
        self.note(summary)
        print(summary, flush=True)
        if late or refused:
            self.broken.append(number)

    def end(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def main():
    status = 2
    with open(os.path.join(HERE, "record.txt"), "w") as record:
        case = Case(record, os.environ.get("TROUBLE") != "0")
        try:
            await case.begin()
            await asyncio.sleep(4)
            for number in range(1, ROUNDS + 1):
                await case.round(number)
            status = 1 if case.broken else 0
            case.note(f"rounds in which a rule was broken: {case.broken}")
            print("rounds in which a rule was broken:", case.broken)
        except (OSError, RuntimeError) as error:
            case.note(f"could not run: {error}")
            print("could not run:", error)
        finally:
            case.end()
    sys.stdout.flush()
    os._exit(status)


asyncio.run(main())
