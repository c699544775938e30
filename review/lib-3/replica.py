"""A sound replica of a plain service, as PROTOCOL.md describes it: it answers requests that name it,
sends heartbeats, and can be restarted under its id. Python's standard library only."""

import json
import re
import socket
import threading
import time

BEAT_S = 1.2


class Life:
    """One start of a replica: its listening socket, its `born` and its count of heartbeats."""

    def __init__(self, replica):
        self.replica = replica
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.ended = threading.Event()
        self.deregistered = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", replica.port))
        replica.port = self.listener.getsockname()[1]
        self.listener.listen(200)
        self.connections = set()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.send_beats, daemon=True).start()

    def accept(self):
        while not self.ended.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            buffered = b""
            while True:
                while b"\r\n\r\n" not in buffered:
                    received = connection.recv(65536)
                    if not received:
                        return
                    buffered += received
                head, _, buffered = buffered.partition(b"\r\n\r\n")
                fields = {
                    name.lower(): value.decode("latin-1")
                    for name, value in re.findall(rb"\r\n([^:\r\n]+): ?([^\r\n]*)", head)
                }
                length = int(fields.get(b"content-length", "0"))
                while len(buffered) < length:
                    received = connection.recv(65536)
                    if not received:
                        return
                    buffered += received
                buffered = buffered[length:]
                connection.sendall(self.answer(fields))
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def answer(self, fields):
        request = fields.get(b"request-id", "")
        if fields.get(b"expect-instance", self.replica.id) != self.replica.id:
            return ("HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n" % request).encode()
        time.sleep(0.015)
        number = self.replica.count_run(request)
        body = "%s %s %s" % (request, self.replica.id, self.replica.version)
        return (
            "HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Seal: %s.%d\r\nContent-Length: %d\r\n\r\n%s"
            % ("500 Failed" if self.replica.fails else "200 OK", request, self.replica.id, number, len(body), body)
        ).encode()

    def send_beats(self):
        while not self.ended.is_set() and not self.deregistered:
            self.sequence += 1
            self.replica.tell(
                "/Replicas.Heartbeat/" + self.replica.id,
                {
                    "backend": self.replica.service,
                    "address": "127.0.0.1:%d" % self.replica.port,
                    "zone": self.replica.zone,
                    "version": self.replica.version,
                    "slots": 6,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": self.sequence,
                    "born": self.born,
                },
            )
            self.ended.wait(BEAT_S)

    def end(self):
        self.ended.set()
        # shutdown() wakes the thread that waits in accept(); close() alone would leave it there.
        for one in [self.listener, *list(self.connections)]:
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            one.close()


class Replica:
    """`paths` are the (address, name) pairs of the daemons in the order in which it calls them."""

    def __init__(self, name, service, version, zone, paths, record):
        self.id = name
        self.service = service
        self.version = version
        self.zone = zone
        self.paths = paths
        self.record = record
        self.port = 0
        self.runs = 0
        self.lock = threading.Lock()
        # One call at a time, on connections that are kept.
        self.calling = threading.Lock()
        self.kept = {}
        self.answered = {}
        self.preferred = 0
        self.life = None
        # A bad version: it runs each request and answers with a failure.
        self.fails = False

    def count_run(self, _request):
        with self.lock:
            self.runs += 1
            return self.runs

    def start(self):
        self.life = Life(self)
        self.record.write("%s (%s %s) started, born %d" % (self.id, self.service, self.version, self.life.born))

    def tell(self, path, message):
        """Calls one daemon after the other, a second each, until one acknowledges; the one that has
        acknowledged last comes first."""
        body = json.dumps(message).encode()
        first = self.preferred
        for step in range(len(self.paths)):
            position = (first + step) % len(self.paths)
            address, name = self.paths[position]
            if self.call(address, path, body):
                self.preferred = position
                if "Deregister" in path:
                    self.record.write("%s: %s acknowledged %s" % (self.id, name, path))
                return True
            self.record.write("%s: no acknowledgement of %s by %s" % (self.id, path, name))
        return False

    def call(self, address, path, body):
        """Uses the connection that is kept to the daemon, or opens one."""
        with self.calling:
            connection = self.kept.pop(address, None)
            try:
                if connection is None:
                    connection = socket.create_connection(address, 1)
                connection.settimeout(1)
                head = (
                    "POST %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                    "Content-Length: %d\r\n\r\n" % (path, len(body))
                )
                connection.sendall(head.encode() + body)
                status, keeps = self.read_answer(connection)
            except (OSError, ValueError):
                status, keeps = 0, False
            if keeps:
                self.kept[address] = connection
                self.answered[address] = time.monotonic()
            elif connection:
                connection.close()
            return 200 <= status < 300

    @staticmethod
    def read_answer(connection):
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(4096)
            if not data:
                raise OSError("closed")
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        length = int(re.search(rb"content-length: *(\d+)", head, re.I).group(1))
        while len(body) < length:
            data = connection.recv(4096)
            if not data:
                raise OSError("closed")
            body += data
        return int(head.split()[1]), b"connection: close" not in head.lower()

    def is_between_beats(self, address):
        """Whether a connection is kept to the daemon, and no heartbeat is on its way or due."""
        since = time.monotonic() - self.answered.get(address, 0)
        return address in self.kept and 0.1 < since < 0.5

    def restart(self, serve_s, down_s):
        """A planned restart under the same id: deregisters, serves on, exits and starts again."""
        life = self.life
        life.deregistered = True
        self.tell("/Replicas.Deregister/" + self.id, {"born": life.born})
        time.sleep(serve_s)
        life.end()
        self.record.write("%s exited" % self.id)
        time.sleep(down_s)
        self.start()

    def stop(self):
        if self.life:
            self.life.end()


class Path:
    """A relay from a replica to a daemon. While it is cut, the bytes of established connections are
    held, as a partition does; they arrive when it heals, also those of a sender that has closed its end
    meanwhile. Connections that are opened during the cut come to nothing."""

    def __init__(self, target):
        self.target = target
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(100)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.relay, args=(connection,), daemon=True).start()

    def relay(self, connection):
        # A connection that is opened during the cut isn't established; its bytes are never sent.
        if not self.open.is_set():
            self.open.wait()
            connection.close()
            return
        try:
            with socket.create_connection(self.target, 2) as daemon:
                back = threading.Thread(target=self.pump, args=(daemon, connection), daemon=True)
                back.start()
                self.pump(connection, daemon)
                back.join(2)
        except OSError:
            pass
        finally:
            connection.close()

    def pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self.open.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pass

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()
