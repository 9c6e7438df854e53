"""Clients and servers that speak the packets of PROTOCOL.md."""
import asyncio
import random
import socket
import struct
import time

now = time.monotonic
SYN, ACK, FIN, RST = 1, 32, 128, 16
HEAD = struct.Struct("<4sH4sHIIIIHB5s")
WORK_MEAN_S, WORK_MAX_S = 0.029, 0.18  # `work_ms` of owner-reply.
OWN_SUM = 0x51a7c0de  # Stands for the keyed sum; a reset of the system's own carries 0.


def _ip(text):
    return bytes(reversed(socket.inet_aton(text)))


def _text(ip):
    return socket.inet_ntoa(bytes(reversed(ip)))


def pack(destination, source, echo, sequence, acknowledged, flags, data=b""):
    return HEAD.pack(_ip(destination[0]), destination[1], _ip(source[0]), source[1], OWN_SUM, echo,
                     sequence & 0xffffffff, acknowledged & 0xffffffff, len(data), flags, bytes(5)) + data


def unpack(datagram):
    dst, dport, src, sport, checksum, echo, seq, ack, _, flags, _ = HEAD.unpack(datagram[:36])
    return ((_text(dst), dport), (_text(src), sport), checksum, echo, seq, ack, flags, datagram[36:])


class Server(asyncio.DatagramProtocol):
    """One server. It notes the arrival of each opening packet and of each request that it runs."""

    def __init__(self, ip, service, zone, caller_port):
        self.ip, self.service, self.zone, self.caller_port = ip, service, zone, caller_port
        self.instance = random.getrandbits(40)
        self.id = f"i-{self.instance:010x}"
        self.state, self.seq, self.is_running = "ready", 0, True
        self.flows, self.openings, self.runs = {}, [], []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 2, "state": self.state, "coldLeftMs": 0, "seq": self.seq}

    def stop(self):
        self.is_running = False
        self.transport.close()

    def datagram_received(self, datagram, address):
        if not self.is_running or len(datagram) < 44:
            return
        if int.from_bytes(datagram[:8], "big") not in (0, self.instance):
            return
        service, caller, _, echo, seq, ack, flags, data = unpack(datagram[8:])
        key = (caller, service)

        def answer(sequence, acknowledged, answer_flags, body=b""):
            packet = pack(caller, service, echo, sequence, acknowledged, answer_flags, body)
            self.transport.sendto(packet, (caller[0], self.caller_port))

        if flags & SYN:
            first = self.flows.setdefault(key, [random.getrandbits(31), None])[0]
            self.openings.append((now(), key, address[0]))
            answer(first, seq + 1, SYN | ACK)
        elif key not in self.flows:
            if not flags & RST:
                answer(ack, seq, RST)
        elif flags & RST:
            del self.flows[key]
        elif data and self.flows[key][1] is None:
            self.runs.append((now(), key, data.decode("latin1")))
            first = self.flows[key][0]

            def finish():
                if self.is_running:
                    answer(first + 1, seq + len(data), ACK, b"OK " + data)

            self.flows[key][1] = finish
            work = min(random.expovariate(1 / WORK_MEAN_S), WORK_MAX_S)
            asyncio.get_running_loop().call_later(work, finish)
        elif flags & FIN:
            answer(ack, seq + 1, ACK | FIN)
            del self.flows[key]


class Clients:
    """Client addresses of one zone. Each request opens a flow of its own from a new port."""

    def __init__(self, ips, caller_port):
        self.ips, self.caller_port = ips, caller_port
        self.sockets, self.handlers, self.last_port = {}, {}, 1023

    def start(self):
        loop = asyncio.get_running_loop()
        for ip in self.ips:
            client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            client.setblocking(False)
            client.bind((ip, self.caller_port))
            loop.add_reader(client.fileno(), self._read, client)
            self.sockets[ip] = client

    def _read(self, client):
        while True:
            try:
                datagram, _ = client.recvfrom(2048)
            except BlockingIOError:
                return
            to, _, checksum, echo, seq, ack, flags, data = unpack(datagram)
            handler = self.handlers.get(to)
            if handler:
                handler(checksum, echo, seq, ack, flags, data)

    async def request(self, host, route, text, deadline_s=1.2):
        """Sends one request through the host (ip, port) and returns what happened, with the time of sending."""
        ip = random.choice(self.ips)
        self.last_port = 1024 + (self.last_port - 1023) % 60000
        own = (ip, self.last_port)
        first = random.getrandbits(31)
        outcome = asyncio.get_running_loop().create_future()
        state = {}

        def send(flags, sequence, acknowledged, data=b""):
            packet = pack(route, own, state.get("echo", 0), sequence, acknowledged, flags, data)
            self.sockets[ip].sendto(packet, host)

        def handle(checksum, echo, seq, ack, flags, data):
            if outcome.done():
                return
            if flags & RST:
                outcome.set_result("reset by the system" if checksum == 0 else "reset by a server")
            elif flags & SYN and "echo" not in state:
                state["echo"], state["server"] = echo, seq
                send(ACK, first + 1, seq + 1, text.encode())
            elif data and "echo" in state:
                send(ACK | FIN, first + 1 + len(text), state["server"] + 1 + len(data))
                outcome.set_result("answered")

        self.handlers[own] = handle
        sent = now()
        send(SYN, first, 0)
        try:
            for copy, wait in enumerate((0.2, 0.4, deadline_s - 0.6), 1):
                done, _ = await asyncio.wait([outcome], timeout=wait)
                if done:
                    break
                if copy < 3:
                    if "echo" in state:
                        send(ACK, first + 1, state["server"] + 1, text.encode())
                    else:
                        send(SYN, first, copy)
            result = outcome.result() if outcome.done() else (
                "open, no answer" if "echo" in state else "not opened")
        finally:
            self.handlers.pop(own, None)
        return sent, (own, route), result
