"""Stand-ins of the platform's replicas and clients, as PROTOCOL.md describes them."""

import asyncio
import itertools
import json
import random
import time

from bed import CONTROL, DIRECTORY, FRONT, REPLICA, read_body, read_head

LOST = (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError)


class Replica:
    """A replica of a plain service. It deregisters as one that never reports `draining`."""

    def __init__(self, bed, number, name, service, zone, work_s=0.015, version="v1"):
        self.bed, self.name, self.service, self.zone = bed, name, service, zone
        self.ip, self.work_s, self.version = bed.ip(100 + number), work_s, version
        self.address = f"{self.ip}:{REPLICA}"
        self.born = int(time.time() * 1000)
        self.sequence, self.next_daemon = 0, number
        self.state, self.runs, self.connections = "ready", [], set()
        self.server = self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, REPLICA)
        self.beats = asyncio.create_task(self.beat())
        self.bed.tasks.append(self.beats)
        self.bed.record(f"replica {self.name} of {self.service} starts at {self.address}")

    def message(self):
        self.sequence += 1
        return json.dumps({"backend": self.service, "address": self.address, "zone": self.zone,
                           "version": self.version, "slots": 6, "state": self.state, "coldRemainingMs": 0,
                           "sequence": self.sequence, "born": self.born}).encode()

    async def say(self, what, first=None):
        """Tells one daemon after another, until one acknowledges; returns its number."""
        for attempt in itertools.count():
            number = (first or self.next_daemon % self.bed.count + 1) if attempt == 0 else \
                self.next_daemon % self.bed.count + 1
            try:
                head, body = await self.bed.call(self.bed.ip(number), CONTROL, "POST",
                                                 f"/Replicas.{what}/{self.name}", self.message())
                if head.first[1].startswith("2") and len(body) <= 4096:
                    return number
            except LOST:
                pass
            self.next_daemon += 1

    async def beat(self):
        while True:
            await self.say("Heartbeat")
            await asyncio.sleep(1.2)

    async def deregister(self, at):
        """Deregisters first and serves on; returns the number of the daemon that acknowledged."""
        self.beats.cancel()
        self.state = "draining"
        return await self.say("Deregister", at)

    def exit(self):
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        self.bed.record(f"replica {self.name} exits")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                writer.write(await self.answer(head, body))
                await writer.drain()
        except LOST:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, head, body):
        name = head.get("request-id", "")
        if head.get("expect-instance", self.name) != self.name:
            return f"HTTP/1.1 421 Misdirected\r\nRequest-Id: {name}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        self.runs.append((self.bed.now(), name))
        self.bed.record(f"replica {self.name} runs {name}")
        await asyncio.sleep(self.work_s)
        content = f"answer of {self.name} to {name}".encode()
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: {self.name}.{name}\r\n"
                f"Replica-Load: 1,0,6\r\nContent-Length: {len(content)}\r\n\r\n").encode() + content


class Clients:
    """Clients that keep their connections, and ask the directory as PROTOCOL.md says."""

    def __init__(self, bed, host, key, prefix="q"):
        self.bed, self.host, self.key, self.prefix = bed, host, key, prefix
        self.numbers = itertools.count(1)
        self.addresses, self.until, self.idle = [], 0, {}
        self.sent, self.paths, self.statuses = {}, {}, {}

    async def resolve(self):
        if time.monotonic() < self.until:
            return
        for number in random.sample(range(1, self.bed.count + 1), 3):
            try:
                head, body = await self.bed.call(self.bed.ip(number), DIRECTORY, "GET",
                                                 f"/resolve?name={self.host}&region=tas&zone=hob-a")
                found = json.loads(body)
                self.addresses = found["addresses"]
                self.until = time.monotonic() + min(found["ttlS"], 5)
                return
            except LOST + (ValueError, KeyError):
                continue

    async def request(self, method, path, deadline_ms=600, body=b""):
        """Sends one request once; returns its id and the status, 0 for none."""
        await self.resolve()
        name = f"{self.prefix}{next(self.numbers):05d}"
        address = random.choice(self.addresses)
        number = int(address.split(":")[0].rsplit(".", 1)[1])
        self.sent[name] = (self.bed.now(), number)
        self.paths[name] = path
        self.bed.record(f"client sends {name} {method} {path} to front-{number}")
        try:
            status = await asyncio.wait_for(self.exchange(address, name, method, path, deadline_ms, body),
                                            deadline_ms / 1000 + 0.5)
        except LOST as problem:
            self.idle.pop(address, None)
            status = 0
            self.bed.record(f"client gets no answer to {name}: {problem!r}")
        else:
            self.bed.record(f"client gets {status} to {name}")
        self.statuses[name] = status
        return name, status

    async def exchange(self, address, name, method, path, deadline_ms, body):
        pool = self.idle.setdefault(address, [])
        if pool:
            reader, writer = pool.pop()
        else:
            reader, writer = await asyncio.open_connection(address.split(":")[0], FRONT)
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nRequest-Id: {name}\r\n"
                      f"Request-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {self.key}\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            raise EOFError("the connection ended")
        await read_body(reader, head)
        if head.get("connection", "").lower() == "close":
            writer.close()
        else:
            pool.append((reader, writer))
        return int(head.first[1])

    async def load(self, per_s, method, path, seconds):
        end = time.monotonic() + seconds
        running = set()
        while time.monotonic() < end:
            task = asyncio.create_task(self.request(method, path))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / per_s)
        if running:
            await asyncio.wait(running, timeout=3)


def plain_configuration(version, host="ficu95.example", service="wuno96b", key="key-of-tenant-1"):
    return {
        "version": version,
        "routes": [
            {"name": "r-book", "hostname": host, "pathPrefix": "/book/", "routeType": "unsafe", "timeoutMs": 600,
             "targetLatencyMs": 100, "priority": 2, "backend": service, "maxAttempts": 2,
             "allowAnonymous": False, "sessionAffinity": False, "resumable": False},
            {"name": "r-look", "hostname": host, "pathPrefix": "/look/", "routeType": "safe", "timeoutMs": 600,
             "targetLatencyMs": 100, "priority": 2, "backend": service, "maxAttempts": 2,
             "allowAnonymous": False, "sessionAffinity": False, "resumable": False}],
        "services": [{"name": service, "healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [key], "priority": 1}],
    }
