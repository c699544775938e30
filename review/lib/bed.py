"""A small deployment on loopback: the project's daemons and stand-ins of the platform's parts.

The daemons are started with the command and the template of deploy/system.toml. Each machine has
a loopback address of its own, so that all of them use the same ports, as on the platform.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT, READINESS, CONTROL, DIRECTORY, METRICS, PLATFORM, REPLICA = 8221, 8224, 8229, 8220, 9464, 8225, 8080
ZONES = ["hob-a", "hob-b", "lst-a", "dvp-a"]
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "budgetSlack": 62,
          "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 190000, "leaseMs": 3000,
          "exposureShare": 0.1, "exposureSlack": 50, "usageWindowS": 5, "downgradeSlackMs": 250}


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def deploy_file():
    """Returns the words of `run` and the path of the template in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "([^"]*)"', text, re.M).group(1).split()
    return run, re.search(r'^template = "([^"]*)"', text, re.M).group(1)


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
        if value is None:
            return None
    return value


def fill(template, fields):
    def section(match):
        return match.group(2) if look_up(fields, match.group(1)) else ""

    def value(match):
        found = look_up(fields, match.group(1))
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return str(found).lower() if isinstance(found, bool) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Head:
    def __init__(self, first, fields):
        self.first, self.fields = first, fields

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head; None when the connection ended before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as problem:
        if not problem.partial:
            return None
        raise
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), fields)


async def read_body(reader, head, ends_with_connection=False):
    if head.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    if head.get("content-length") is not None:
        return await reader.readexactly(int(head.get("content-length")))
    return await reader.read() if ends_with_connection else b""


class Bed:
    def __init__(self, record_path, machines=6, core=4, seconds=110):
        self.core, self.count = core, machines
        self.started = time.monotonic()
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.work = tempfile.mkdtemp(prefix="review-")
        self.processes, self.last_event, self.servers = {}, {}, []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.platform_calls = []
        self.net = None
        self.deadline = self.started + seconds
        self.tasks = []

    # --- record

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        self.record_file.write(f"{self.now():9.4f} {text}\n")
        self.record_file.flush()

    # --- addresses

    def choose_network(self):
        for _ in range(20):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last in list(range(1, self.count + 1)) + [200]:
                    for port in (FRONT, READINESS, CONTROL, DIRECTORY, METRICS, PLATFORM, 7600, 7615):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"{net}.{last}", port))
                self.net = net
                return
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def ip(self, number):
        return f"{self.net}.{number}"

    # --- daemons

    def settings(self, number, bootstrap):
        ip = self.ip(number)
        fields = {
            "nodeName": f"front-{number}", "ip": ip, "zone": ZONES[(number - 1) % len(ZONES)],
            "internalPortRange": [7600, 7615],
            "seedNodes": [f"{self.ip(i)}:{CONTROL}" for i in (1, 2, 3)],
            "bootstrap": bootstrap,
            "listen": {"front": f"{ip}:{FRONT}", "readiness": f"{ip}:{READINESS}",
                       "control": f"{ip}:{CONTROL}", "directory": f"{ip}:{DIRECTORY}"},
            "bounds": BOUNDS, "cloud": {"address": f"{self.ip(200)}:{PLATFORM}"},
        }
        if number <= self.core:
            fields["dataDir"] = os.path.join(self.work, f"data-{number}")
            os.makedirs(fields["dataDir"], exist_ok=True)
        return fields

    async def start_daemon(self, number, bootstrap=False):
        run, template = deploy_file()
        program = os.path.join(ROOT, run[0])
        if not os.path.exists(program):
            raise CannotRun(f"{run[0]} is missing; run the build of deploy/system.toml")
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = fill(file.read(), self.settings(number, bootstrap))
        path = os.path.join(self.work, f"front-{number}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = [path if word.startswith("/etc/") else word for word in run[1:]]
        log = open(os.path.join(self.work, f"front-{number}.log"), "ab")
        self.processes[number] = await asyncio.create_subprocess_exec(
            program, *words, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.work, "LANG": "C"})
        self.touched(number, "start")

    def touched(self, number, what):
        self.last_event[number] = time.monotonic()
        self.record(f"machine front-{number}: {what}")

    def signal(self, number, value):
        os.kill(self.processes[number].pid, value)
        self.touched(number, signal.Signals(value).name)

    def in_touch(self, number, margin=0.0):
        """No event of this machine, nor of a machine of the core, within contactMs."""
        span = BOUNDS["contactMs"] / 1000 + margin
        now = time.monotonic()
        return all(now - self.last_event.get(i, now) > span
                   for i in set(range(1, self.core + 1)) | {number})

    async def start(self, configuration):
        self.choose_network()
        await self.serve_platform()
        await asyncio.gather(*(self.start_daemon(i, True) for i in range(1, self.count + 1)))
        await self.put(configuration)
        for number in range(1, self.count + 1):
            while True:
                try:
                    head, _ = await self.call(self.ip(number), READINESS, "GET", "/ready")
                    if head.first[1] == "200":
                        break
                except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if self.now() > 40:
                    raise CannotRun(f"front-{number} is not ready")
                await asyncio.sleep(0.2)
        self.record("all machines are ready")

    async def call(self, ip, port, method, path, body=b"", fields=None, timeout=1.0):
        async def run():
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                lines = [f"{method} {path} HTTP/1.1", f"Host: {ip}:{port}", f"Content-Length: {len(body)}"]
                lines += [f"{k}: {v}" for k, v in (fields or {}).items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                head = await read_head(reader)
                if head is None:
                    raise EOFError("no answer")
                return head, await read_body(reader, head, True)
            finally:
                writer.close()
        return await asyncio.wait_for(run(), timeout)

    async def put(self, configuration, first=1, limit=40):
        """The operator sends a configuration, to one daemon after another, until it is acknowledged."""
        number, end = first, time.monotonic() + limit
        while time.monotonic() < end:
            try:
                head, _ = await self.call(self.ip(number), CONTROL, "POST", "/Config.Put",
                                          json.dumps(configuration).encode())
                self.record(f"configuration {configuration['version']} at front-{number}: {head.first[1]}")
                if head.first[1] == "200":
                    return number
                if head.first[1] in ("400", "409", "412", "413", "422"):
                    raise CannotRun("the configuration is refused")
            except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            number = number % self.count + 1
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration is not acknowledged")

    # --- platform

    async def serve_platform(self):
        async def handle(reader, writer):
            try:
                while (head := await read_head(reader)) is not None:
                    body = await read_body(reader, head)
                    self.platform_calls.append((self.now(), head.first[1], head.get("duty-holder"),
                                                int(head.get("fencing-token", "0")), body.decode()))
                    self.record(f"platform: {head.first[1]} {head.get('duty-holder')} "
                                f"{head.get('fencing-token')} {body.decode()}")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()
        self.servers.append(await asyncio.start_server(handle, self.ip(200), PLATFORM))

    # --- end

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            for value in (signal.SIGCONT, signal.SIGKILL):
                try:
                    process.send_signal(value)
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def main(record_path, play, **options):
    """Runs `play(bed)`, which returns the list of breaks of the rule, and exits as the issue says."""
    async def run():
        bed = Bed(record_path, **options)
        try:
            breaks = await asyncio.wait_for(play(bed), bed.deadline - time.monotonic())
        except (CannotRun, asyncio.TimeoutError) as problem:
            bed.record(f"the case could not run: {problem!r}")
            return 2
        finally:
            await bed.end()
        for line in breaks:
            bed.record(f"BROKEN {line}")
        bed.record(f"result: {'broken' if breaks else 'held'}, {len(breaks)} breaks")
        print(f"{'broken' if breaks else 'held'}: {len(breaks)} breaks; see record.txt")
        return 1 if breaks else 0
    sys.exit(asyncio.run(run()))
