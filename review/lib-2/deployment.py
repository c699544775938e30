"""A small deployment on loopback addresses: daemons, replicas, the platform, an operator.

The daemons run with the command of deploy/system.toml and with its settings template, filled in as
DEPLOY.md describes. Each machine has a loopback address of its own, so that all of them use the same
ports. Replicas and the platform are stand-ins that do what PROTOCOL.md says.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# The bounds of pitchdesk, as SYSTEM.md gives them.
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "retryWindowS": 10, "budgetSlack": 62, "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 190000,
    "leaseMs": 3000, "usageWindowS": 5, "exposureShare": 0.1, "exposureSlack": 50, "recoveryS": 12,
}


def value_of(key, deploy_file):
    """Returns a text of the deploy file, which has one role."""
    return re.search(rf'^{key} = "([^"]*)"$', deploy_file, re.M).group(1)


def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ", ".join(map(str, value)) if isinstance(value, list) else str(value)


def fill_in(template, scopes, key=""):
    """Fills in the placeholders and sections that platform/settings.ini.template uses."""
    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = look_up(match.group(1), scopes)
        if isinstance(value, dict):
            return "".join(fill_in(match.group(2), scopes + [item], name) for name, item in value.items())
        return fill_in(match.group(2), scopes, key) if value not in (None, False, "") else ""

    text = section.sub(expand, template)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda m: key if m.group(1) == "@" else text_of(look_up(m.group(1), scopes)), text)


class Deployment:
    """Machines 1 to `machines`, of which the first `disks` have a disk and are the core."""

    def __init__(self, record, machines=5, disks=4):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
            deploy_file = file.read()
        self.command = value_of("run", deploy_file).split()
        with open(os.path.join(REPOSITORY, value_of("template", deploy_file)), encoding="utf-8") as file:
            self.template = file.read()
        self.record, self.count, self.disks = record, machines, disks
        self.work = tempfile.mkdtemp(prefix="lagoonladder-review-")
        self.network = random.randrange(20, 250)
        first = random.randrange(12000, 28000)
        names = ("front", "readiness", "control", "directory", "cloud")
        self.ports = {name: first + number for number, name in enumerate(names)}
        self.internal = [first + 20, first + 35]
        self.processes, self.cloud_calls, self.replicas, self.cloud = {}, [], [], None

    def ip(self, machine):
        return f"127.{self.network}.0.{machine}"

    def at(self, machine, what):
        return self.ip(machine), self.ports[what]

    def start(self, machine, first_start=True):
        address = lambda number, what: "%s:%d" % self.at(number, what)
        fields = {
            "nodeName": f"front-{machine}", "role": "entry", "ip": self.ip(machine), "zone": f"zone-{machine}",
            "zones": {f"zone-{number}": "tas" for number in range(1, self.count + 1)},
            "internalPortRange": self.internal, "bootstrap": first_start, "bounds": BOUNDS,
            "seedNodes": [address(number, "control") for number in range(1, min(3, self.disks) + 1)],
            "listen": {what: address(machine, what) for what in ("front", "readiness", "control", "directory")},
            "cloud": {"address": f"127.{self.network}.9.1:{self.ports['cloud']}"},
        }
        if machine <= self.disks:
            fields["dataDir"] = f"{self.work}/data-{machine}"
        path = f"{self.work}/settings-{machine}"
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_in(self.template, [fields]))
        command = [os.path.join(REPOSITORY, self.command[0])] + self.command[1:-1] + [path]
        with open(f"{self.work}/log-{machine}", "ab") as log:
            self.processes[machine] = subprocess.Popen(command, stdout=log, stderr=log, cwd=REPOSITORY)

    async def start_all(self, configuration):
        await self.start_cloud()
        for machine in range(1, self.count + 1):
            self.start(machine)
        if not await wait_for(30, lambda: self.put(1, configuration)):
            raise CannotRun("the first configuration is not acknowledged")
        for machine in range(1, self.count + 1):
            if not await wait_for(20, lambda: self.is_ready(machine)):
                raise CannotRun(f"machine {machine} is not ready")

    async def start_cloud(self):
        async def serve(reader, writer):
            try:
                while True:
                    method, path, headers, body = await read_request(reader)
                    self.cloud_calls.append((time.time(), path, headers.get("duty-holder"), headers.get("fencing-token"), body))
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        self.cloud = await asyncio.start_server(serve, f"127.{self.network}.9.1", self.ports["cloud"])

    async def is_ready(self, machine):
        answer = await call(self.at(machine, "readiness"), "GET", "/ready", timeout=1)
        return answer is not None and answer[0] == 200

    async def put(self, machine, configuration):
        """Sends a configuration; returns whether it was acknowledged."""
        sent = time.time()
        answer = await call(self.at(machine, "control"), "POST", "/Config.Put", {"Content-Type": "application/json"},
                            json.dumps(configuration).encode(), timeout=1)
        self.record(f"operator: version {configuration['version']} to front-{machine}: {answer and answer[0]}", sent)
        return answer is not None and answer[0] == 200

    def signal(self, machine, number):
        self.record(f"signal {signal.Signals(number).name} to front-{machine}")
        self.processes[machine].send_signal(number)

    def end(self):
        for replica in self.replicas:
            replica.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


class Replica:
    """A sound replica: answers 421 to requests for another one, runs all others and answers them."""

    def __init__(self, deployment, number, service, slots):
        self.deployment, self.number, self.service, self.slots = deployment, number, service, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born, self.sequence, self.is_serving = int(time.time() * 1000), 0, True
        self.runs, self.connections = [], set()
        deployment.replicas.append(self)

    async def start(self):
        ip = f"127.{self.deployment.network}.8.{self.number}"
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        self.beats = asyncio.create_task(self.send_heartbeats())

    def stop(self):
        self.is_serving = False

    async def send_heartbeats(self):
        machine = self.number
        while self.is_serving:
            self.sequence += 1
            body = {"backend": self.service, "address": self.address, "zone": f"zone-{1 + self.number % self.deployment.count}",
                    "version": "v1", "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "phase": "both",
                    "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence, "born": self.born}
            answer = await call(self.deployment.at(1 + machine % self.deployment.count, "control"), "POST",
                                f"/Replicas.Heartbeat/{self.id}", {"Content-Type": "application/json"},
                                json.dumps(body).encode(), timeout=1)
            is_acknowledged = answer is not None and answer[0] // 100 == 2
            machine += 0 if is_acknowledged else 1
            await asyncio.sleep(1.2 if is_acknowledged else 0.2)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                method, path, headers, body = await read_request(reader)
                if headers.get("expect-instance") != self.id:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {headers.get('request-id', '')}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                elif not await self.answer(path, headers, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def run(self, path, headers):
        self.runs.append((time.time(), headers["request-id"], headers.get("tenant")))
        self.deployment.record(f"{self.id} runs {headers['request-id']} for tenant {headers.get('tenant')}")

    def head(self, headers):
        return f"Request-Id: {headers['request-id']}\r\nResponse-Seal: {self.id}\r\nReplica-Load: 1,0,{self.slots}\r\n"

    async def answer(self, path, headers, writer):
        """Runs a request; returns whether the connection stays open."""
        self.run(path, headers)
        await asyncio.sleep(0.015)
        body = f"answer to {headers['request-id']}"
        writer.write(f"HTTP/1.1 200 OK\r\n{self.head(headers)}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        return True


class CannotRun(Exception):
    """The case could not be brought to its disruption."""


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    first, headers = await read_head(reader)
    method, path, _ = first.split(" ", 2)
    return method, path, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def read_answer(reader):
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() != "chunked":
        body = await reader.readexactly(int(headers["content-length"])) if "content-length" in headers else await reader.read()
        return int(first.split()[1]), headers, body
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return int(first.split()[1]), headers, body


async def call(address, method, path, headers=None, body=b"", timeout=3.0):
    """One request on a new connection; returns status, headers and body, or nothing."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            fields = {"Host": "%s:%d" % address, **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode("latin1") + body)
            return await read_answer(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


async def wait_for(seconds, condition):
    end = time.time() + seconds
    while time.time() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


def main(case, record_path):
    """Runs `case(record, has_trouble)`, which returns the sentences that say how the rule was broken.

    Ends with 1 if there are any, with 0 if there are none, and with 2 after any problem of the test itself.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    started, broken = time.time(), None
    with open(record_path, "w", encoding="utf-8") as file:
        def record(text, when=None):
            file.write(f"{(when or time.time()) - started:8.3f} s  {text}\n")
            file.flush()

        try:
            broken = asyncio.run(asyncio.wait_for(case(record, os.environ.get("TROUBLE", "1") != "0"), 112))
        except Exception as problem:
            record(f"could not run: {problem!r}")
            sys.exit(2)
        for sentence in broken:
            record(f"BROKEN: {sentence}")
        record(f"{len(broken)} breaks of the rule")
    sys.exit(1 if broken else 0)
