"""Stand-in servers and clients that speak the platform's packets, for the scripts under review/.

A flow carries HTTP/1.1 requests, one packet each way. Both ends follow PROTOCOL.md: three copies of
an opening packet, retransmissions after 200 ms, and the last `echo` received in each packet.
"""
import hashlib
import random
import socket
import struct
import threading
import time

SYN, ACK, FIN, RST, BOUNCED = 1, 32, 128, 16, 4
HEAD = struct.Struct("<IHIHIIIIHB5s")
KEY = b"known to clients and servers only"


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def total(data):
    """The keyed sum over a packet without sum, echo, pad and BOUNCED; never 0."""
    copy = bytearray(data)
    copy[12:20] = bytes(8)
    copy[30] &= ~BOUNCED & 255
    copy[31:36] = bytes(5)
    value = int.from_bytes(hashlib.blake2b(bytes(copy), key=KEY, digest_size=4).digest(), "little")
    return value or 1


class Packet:
    def __init__(self, dst, src, flags, seq=0, ack=0, echo=0, data=b"", sum_=None):
        self.dst, self.src, self.flags = dst, src, flags
        self.seq, self.ack, self.echo, self.data, self.sum = seq, ack, echo, data, sum_

    def bytes(self):
        def pack(sum_):
            return HEAD.pack(ip_number(self.dst[0]), self.dst[1], ip_number(self.src[0]),
                             self.src[1], sum_, self.echo, self.seq, self.ack, len(self.data),
                             self.flags, bytes(5)) + self.data
        return pack(total(pack(0)))

    @staticmethod
    def parse(data):
        if len(data) < HEAD.size:
            return None
        dst, dport, src, sport, sum_, echo, seq, ack, length, flags, _ = HEAD.unpack(
            data[:HEAD.size])
        if length != len(data) - HEAD.size:
            return None
        packet = Packet((ip_text(dst), dport), (ip_text(src), sport), flags, seq, ack, echo,
                        data[HEAD.size:], sum_)
        packet.intact = sum_ == total(data)
        return packet


class Server:
    """A server: takes packets behind 8 bytes that name it, and answers clients directly."""

    def __init__(self, service, instance, address, zone, client_port, record, work_s=0.02):
        self.service, self.instance, self.zone = service, instance, zone
        self.record, self.client_port, self.work_s = record, client_port, work_s
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.socket.bind((address, 0))
        self.address = self.socket.getsockname()
        self.flows = {}  # (client, service address) -> state
        self.lock = threading.Lock()
        self.runs = {}
        self.forged = 0
        self.strays = []  # (time, client, service address) of packets of flows not held here
        threading.Thread(target=self._serve, daemon=True).start()

    def entry(self, state="ready"):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": 2, "state": state, "coldLeftMs": 0, "seq": 1}

    def holds(self, client, service):
        """Returns when the flow opened here; None if it is not open."""
        with self.lock:
            flow = self.flows.get((client, service))
            return flow["open"] if flow else None

    def _serve(self):
        own = self.instance.to_bytes(8, "big")
        while True:
            data = self.socket.recv(2048)
            if data[:8] not in (own, bytes(8)):
                continue
            packet = Packet.parse(data[8:])
            if packet is None or not packet.intact or packet.flags & BOUNCED:
                self.forged += 1
                self.record.write(f"forged at {self.service} {data.hex()}")
                continue
            with self.lock:
                self._take(packet)

    def _send(self, to, packet):
        self.socket.sendto(packet.bytes(), (to[0], self.client_port))

    def _take(self, packet):
        client, service = packet.src, packet.dst
        key = (client, service)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {"seq": random.getrandbits(31), "client": packet.seq + 1, "open": None,
                        "answers": {}}
                self.flows[key] = flow
            flow["echo"] = packet.echo
            self._send(client, Packet(client, service, SYN | ACK, flow["seq"], flow["client"],
                                      packet.echo))
            return
        if flow is None:
            self.strays.append((time.monotonic(), client, service))
            if not packet.flags & RST:
                self._send(client, Packet(client, service, RST, packet.ack, packet.seq,
                                          packet.echo))
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if flow["open"] is None and packet.ack == flow["seq"] + 1:
            flow["open"] = time.monotonic()
            flow["next"] = flow["seq"] + 1
        if packet.data and flow["open"] is not None:
            self._request(flow, key, packet)
        if packet.flags & FIN:
            self._send(client, Packet(client, service, ACK | FIN, flow["next"], packet.seq + 1,
                                      flow["echo"]))
            del self.flows[key]

    def _request(self, flow, key, packet):
        client, service = key
        if packet.seq == flow["client"]:
            flow["client"] += len(packet.data)
            head = packet.data.split(b"\r\n\r\n")[0].decode()
            name = next(line.split(": ")[1] for line in head.split("\r\n")
                        if line.lower().startswith("x-flamingograde-request-id"))
            self.runs[name] = self.runs.get(name, 0) + 1
            body = f"done {name}".encode()
            answer = (b"HTTP/1.1 200 OK\r\nX-Flamingograde-Response-Signature: ok\r\n"
                      b"Content-Length: %d\r\n\r\n" % len(body)) + body
            seq = flow["next"]
            flow["next"] += len(answer)
            flow["answers"][packet.seq] = (seq, answer)
            timer = threading.Timer(self.work_s, self._answer, (key, packet.seq))
            timer.daemon = True
            timer.start()
        elif packet.seq in flow["answers"]:
            self._answer_now(flow, key, packet.seq)
            return
        self._send(client, Packet(client, service, ACK, flow["next"], flow["client"],
                                  flow["echo"]))

    def _answer(self, key, seq):
        with self.lock:
            flow = self.flows.get(key)
            if flow is not None:
                self._answer_now(flow, key, seq)

    def _answer_now(self, flow, key, seq):
        start, answer = flow["answers"][seq]
        self._send(key[0], Packet(key[0], key[1], ACK, start, flow["client"], flow["echo"],
                                  answer))


class Flow:
    """A client's end of a flow, driven by `Client.tick`."""

    def __init__(self, client, port, service, method, period, deadline):
        self.client, self.service, self.method = client, service, method
        self.local = (client.ip, port)
        self.period, self.deadline = period, deadline
        self.state = "opening"
        self.seq = random.getrandbits(31)
        self.opened_at = self.started = time.monotonic()
        self.copies = 0
        self.echo = self.ack = 0
        self.pending = None  # (name, sent at, data, resends, next resend)
        self.next_request = 0
        self.count = 0
        self.served = 0
        self.server = None
        self.client.send(self, Packet(service, self.local, SYN, self.seq, 0, 0))

    def name(self):
        return "%s:%d>%s:%d" % (self.local + self.service)


class Client:
    """All clients of one zone at one address; packets go through the fabric."""

    def __init__(self, ip, zone, client_port, fabric, servers, record):
        self.ip, self.zone, self.fabric, self.servers = ip, zone, fabric, servers
        self.record = record
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.socket.bind((ip, client_port))
        self.flows = {}
        self.port = 20000
        self.lock = threading.RLock()
        self.resets = []  # of open flows, not sent by their server
        self.refused = 0
        self.lost = []  # requests without an answer: (id, why)
        self.sent = self.served = 0
        self.stopped = False
        threading.Thread(target=self._receive, daemon=True).start()
        threading.Thread(target=self._run, daemon=True).start()

    def open(self, service, method, period, deadline=1.2):
        with self.lock:
            self.port += 1
            flow = Flow(self, self.port, service, method, period, deadline)
            self.flows[self.port] = flow
            return flow

    def send(self, flow, packet):
        node = self.fabric.choose(self.zone, flow.name())
        flow.node = node.name
        host, port = node.fields["listen"]["datagramAddr"].split(":")
        self.socket.sendto(packet.bytes(), (host, int(port)))

    def _receive(self):
        while not self.stopped:
            data = self.socket.recv(2048)
            packet = Packet.parse(data)
            if packet is None:
                continue
            with self.lock:
                flow = self.flows.get(packet.dst[1])
                if flow is not None and packet.src == flow.service:
                    self._take(flow, packet)

    def _take(self, flow, packet):
        if packet.flags & RST:
            self._reset(flow, packet)
            return
        if not packet.intact:
            self.record.write(f"MIXED {flow.name()} got bytes that nobody wrote")
            return
        if packet.flags & SYN:
            if flow.state == "opening":
                flow.state = "open"
                flow.seq += 1
                flow.ack, flow.echo = packet.seq + 1, packet.echo
                flow.next_request = time.monotonic() + random.uniform(0, flow.period)
            if packet.seq + 1 == flow.ack:
                self.send(flow, Packet(flow.service, flow.local, ACK, flow.seq, flow.ack,
                                       flow.echo))
            return
        if flow.state != "open":
            return
        flow.echo = packet.echo
        if packet.data and packet.seq == flow.ack:
            flow.ack += len(packet.data)
            if flow.pending and flow.pending["name"].encode() in packet.data:
                self.served += 1
                flow.served += 1
                self.record.write(f"answered {flow.pending['name']}")
                flow.pending = None
                flow.next_request = time.monotonic() + flow.period
        if packet.data:
            self.send(flow, Packet(flow.service, flow.local, ACK, flow.seq, flow.ack, flow.echo))

    def _reset(self, flow, packet):
        if flow.state == "closed":
            return
        by_system = packet.sum == 0
        held = [s for s in self.servers if s.holds(flow.local, flow.service)]
        if flow.state == "open" and held and by_system:
            since = time.monotonic() - held[0].holds(flow.local, flow.service)
            busy = flow.pending["name"] if flow.pending else "none"
            self.resets.append((flow.name(), busy, flow.method))
            self.record.write(f"FLOW {flow.name()} open for {since:.3f} s at "
                              f"{held[0].instance:08x} got a reset of the system, last packet "
                              f"through {flow.node}, request under way: {busy} ({flow.method})")
        elif flow.state == "opening":
            self.refused += 1
            self.record.write(f"refused {flow.name()} through {flow.node}")
        else:
            self.record.write(f"reset {flow.name()} by_server={not by_system}")
        self._close(flow, "reset")

    def _close(self, flow, why):
        if flow.pending:
            self.lost.append((flow.pending["name"], why))
            self.record.write(f"unanswered {flow.pending['name']} {why}")
        flow.state = "closed"
        self.flows.pop(flow.local[1], None)

    def _run(self):
        while not self.stopped:
            with self.lock:
                for flow in list(self.flows.values()):
                    self._tick(flow, time.monotonic())
            time.sleep(0.005)

    def _tick(self, flow, now):
        if flow.state == "opening":
            age = now - flow.started
            if age > 1.4:
                self.refused += 1
                self._close(flow, "never opened")
            elif flow.copies < 2 and age > (0.2, 0.6)[flow.copies]:
                flow.copies += 1
                self.send(flow, Packet(flow.service, flow.local, SYN, flow.seq, flow.copies, 0))
            return
        if flow.state != "open":
            return
        pending = flow.pending
        if pending is None:
            if now >= flow.next_request:
                flow.count += 1
                name = f"{flow.local[0]}-{flow.local[1]}-{flow.service[0]}-{flow.count}"
                data = (f"{flow.method} / HTTP/1.1\r\nX-Flamingograde-Request-Id: {name}\r\n"
                        "Content-Length: 0\r\n\r\n").encode()
                flow.pending = {"name": name, "at": now, "seq": flow.seq, "data": data,
                                "wait": 0.2, "next": now + 0.2}
                flow.seq += len(data)
                self.sent += 1
                self.record.write(f"sent {name} {flow.method}")
                self._send_request(flow)
        elif now - pending["at"] > flow.deadline:
            self._close(flow, "deadline")
        elif now >= pending["next"]:
            pending["wait"] = min(2 * pending["wait"], 1.6)
            pending["next"] = now + pending["wait"]
            self._send_request(flow)

    def _send_request(self, flow):
        pending = flow.pending
        self.send(flow, Packet(flow.service, flow.local, ACK, pending["seq"], flow.ack, flow.echo,
                               pending["data"]))

    def stop(self):
        self.stopped = True
