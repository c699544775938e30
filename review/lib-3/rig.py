"""Starts the product's processes on loopback addresses and kills, pauses and wipes them.

Used by the scripts of review/11 to review/15. Python's standard library only. Each machine has a
loopback address of its own, since the platform gives the same ports to all machines of a day.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target/src/process/cli/lagoonladder")
TEMPLATE = os.path.join(REPOSITORY, "platform/settings.ini.template")
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def text_of(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(item) for item in value)
    return str(value)


def render(template, fields):
    """Fills a settings template in as the platform does."""

    def section(match):
        value = lookup(fields, match.group(1))
        if isinstance(value, dict):
            return "".join(
                match.group(2).replace("{{@}}", key).replace("{{.}}", text_of(item))
                for key, item in value.items()
            )
        return match.group(2) if value not in (None, "", False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(lookup(fields, match.group(1))), text)


class Record:
    def __init__(self, folder):
        path = os.environ.get("RECORD") or os.path.join(folder, "record.txt")
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Machine:
    def __init__(self, number, ip, zone, has_disk):
        self.number = number
        self.ip = ip
        self.zone = zone
        self.has_disk = has_disk
        self.process = None
        self.bootstrap = True


class Cluster:
    """A small deployment. `bounds` are those of the site that a case names."""

    def __init__(self, folder, machines, bounds, tolerated, zones, network=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program is not built: " + PROGRAM)
        self.record = Record(folder)
        # Runs beside each other draw different addresses and ports.
        network = network or random.randrange(20, 120)
        self.work = tempfile.mkdtemp(prefix="review-3-")
        self.bounds = bounds
        self.tolerated = tolerated
        self.zones = zones
        self.machines = [
            Machine(i + 1, "127.%d.0.%d" % (network, i + 1), zones[i % len(zones)], has_disk)
            for i, has_disk in enumerate(machines)
        ]
        self.ports = self.free_ports(8)
        self.cloud = None

    def free_ports(self, count):
        """Ports that are free at the addresses of all machines."""
        found = []
        candidate = random.randrange(21000, 31000)
        while len(found) < count:
            candidate += 1
            if candidate > 32000:
                raise CannotRun("no free ports")
            try:
                for machine in self.machines:
                    with socket.socket() as probe:
                        probe.bind((machine.ip, candidate))
                found.append(candidate)
            except OSError:
                continue
        return found

    def address(self, machine, role):
        index = {"front": 0, "readiness": 1, "control": 2, "directory": 3, "internal": 4}[role]
        return machine.ip, self.ports[index]

    def text_address(self, machine, role):
        return "%s:%d" % self.address(machine, role)

    def fields(self, machine):
        seeds = [item for item in self.machines if item.has_disk][:3]
        fields = {
            "nodeName": "front-%s-%d" % (machine.zone, machine.number),
            "ip": machine.ip,
            "zone": machine.zone,
            "zones": {zone: "region" for zone in self.zones},
            "internalPortRange": [self.ports[4], self.ports[5]],
            "seedNodes": [self.text_address(seed, "control") for seed in seeds],
            "bootstrap": machine.bootstrap,
            "listen": {
                role: self.text_address(machine, role)
                for role in ("front", "readiness", "control", "directory")
            },
            "faultTolerance": {"machines": self.tolerated, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "cloud": {"address": self.cloud.address if self.cloud else ""},
        }
        if machine.has_disk:
            fields["dataDir"] = os.path.join(self.work, "data-%d" % machine.number)
        return fields

    def settings_path(self, machine):
        return os.path.join(self.work, "machine-%d.ini" % machine.number)

    def start(self, machine):
        with open(TEMPLATE, encoding="utf-8") as template:
            text = render(template.read(), self.fields(machine))
        # The platform scrapes one fixed port of each machine; here a free one takes its place.
        text = text.replace(machine.ip + ":9464", "%s:%d" % (machine.ip, self.ports[6]))
        path = self.settings_path(machine)
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(text)
        log = open(os.path.join(self.work, "machine-%d.log" % machine.number), "ab")
        machine.process = subprocess.Popen(
            [PROGRAM, "serve", "--settings", path],
            cwd=REPOSITORY,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "LAGOONLADDER_CONFIG": path,
            },
        )
        log.close()
        self.record.write("machine %d started, bootstrap=%s" % (machine.number, machine.bootstrap))

    def start_all(self):
        for machine in self.machines:
            self.start(machine)

    def signal(self, machine, number):
        machine.process.send_signal(number)
        self.record.write("machine %d got %s" % (machine.number, signal.Signals(number).name))

    def kill(self, machine):
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()

    def restart(self, machine):
        machine.bootstrap = False
        self.start(machine)

    def wipe(self, machine):
        shutil.rmtree(os.path.join(self.work, "data-%d" % machine.number))
        self.record.write("machine %d lost its disk" % machine.number)

    def unexpected_ends(self):
        return [item.number for item in self.machines if item.process and item.process.poll() is not None]

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if self.cloud:
            self.cloud.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.work, kept, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Sends one request on a new connection. Returns (status, headers, body); status 0 means that
    no complete answer came."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Cloud:
    """The platform's API: accepts each duty call and keeps it."""

    def __init__(self, ip, record):
        cloud = self
        self.calls = []
        self.record = record

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                while True:
                    line = self.rfile.readline().decode("latin-1").split()
                    if len(line) < 3:
                        return
                    headers = {}
                    while True:
                        field = self.rfile.readline().decode("latin-1").strip()
                        if not field:
                            break
                        name, _, value = field.partition(":")
                        headers[name.strip().lower()] = value.strip()
                    body = self.rfile.read(int(headers.get("content-length", "0")))
                    cloud.take(line[1], headers, body)
                    self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True

        self.server = Server((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def take(self, path, headers, body):
        self.calls.append((time.monotonic(), path, headers, body))
        self.record.write(
            "platform got %s from %s with token %s: %s"
            % (path, headers.get("duty-holder"), headers.get("fencing-token"), body.decode("latin-1"))
        )

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class Operator:
    """Sends orders as PROTOCOL.md says: to one daemon after the other until one answers clearly."""

    def __init__(self, cluster):
        self.cluster = cluster

    def put(self, configuration, seconds, machines=None):
        """Returns the number of seconds until the acknowledgement; None when none came."""
        body = json.dumps(configuration)
        begin = time.monotonic()
        pause = 0.1
        targets = machines or self.cluster.machines
        turn = 0
        while time.monotonic() - begin < seconds:
            machine = targets[turn % len(targets)]
            turn += 1
            status, _, answer = call(
                self.cluster.address(machine, "control"),
                "POST",
                "/Config.Put",
                body,
                {"Content-Type": "application/json"},
            )
            self.cluster.record.write(
                "operator sent version %d to machine %d: %d %s"
                % (configuration["version"], machine.number, status, answer[:80].decode("latin-1"))
            )
            if status == 200:
                return time.monotonic() - begin
            if 400 <= status < 500:
                raise CannotRun("the configuration was refused: %d" % status)
            time.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return None

    def get(self, machine):
        """Returns the version that the daemon reads back; None when it answers with no 200."""
        status, _, answer = call(self.cluster.address(machine, "control"), "GET", "/Config.Get")
        version = json.loads(answer)["version"] if status == 200 else None
        self.cluster.record.write(
            "operator read machine %d: %d version %s" % (machine.number, status, version)
        )
        return version


def wait_ready(cluster, machines, seconds):
    end = time.monotonic() + seconds
    for machine in machines:
        while call(cluster.address(machine, "readiness"), "GET", "/ready")[0] != 200:
            if time.monotonic() > end:
                raise CannotRun("machine %d is not ready" % machine.number)
            time.sleep(0.1)


def run(folder, case):
    """Runs case(trouble) and ends the script with the exit code of its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = case(trouble)
    except CannotRun as problem:
        print("not run: %s" % problem)
        sys.exit(NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
