#!/usr/bin/env python3
"""Callers that use one entry until its process has ended and ignore the directory.

Some send all requests on one persistent connection, others open a connection for each request.
Prints counts as JSON. Fails when a request was lost: it was sent completely, its connection
ended without a complete response, and it was either executed or waited longer than
SLACK_SECONDS. The other incomplete requests are counted as "crossed": they were not
executed, and their connection ended within that time.
"""

import argparse
import asyncio
import json
import time

SLACK_SECONDS = 0.2
RESPONSE_TIMEOUT_SECONDS = 15
# An entry that refuses connections for this time has ended.
ENDED_SECONDS = 0.3
OPEN_INTERVAL_SECONDS = 0.02


class Callers:
    def __init__(self, options):
        self.host, port = options.target.split(":")
        self.port = int(port)
        self.prefix = options.prefix
        self.path = options.path
        self.runs = options.runs
        self.count = 0
        self.status_counts = {}
        self.incomplete = []
        self.entry_ended = False

    async def connect(self):
        """Returns None and sets entry_ended when the entry refuses connections."""
        end = time.monotonic() + ENDED_SECONDS
        while time.monotonic() < end:
            try:
                return await asyncio.open_connection(self.host, self.port)
            except OSError:
                await asyncio.sleep(0.02)
        self.entry_ended = True
        return None

    async def exchange(self, reader, writer):
        """Sends one request. Returns true when the connection can be used again."""
        self.count += 1
        name = f"{self.prefix}-{self.count}"
        head = f"POST {self.path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: {name}\r\n"
        head += "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n"
        sent_at = None
        try:
            writer.write(head.encode())
            await writer.drain()
            sent_at = time.monotonic()
            status, is_persistent = await asyncio.wait_for(read_response(reader), RESPONSE_TIMEOUT_SECONDS)
            self.status_counts[status] = self.status_counts.get(status, 0) + 1
            return is_persistent
        except (OSError, EOFError, asyncio.TimeoutError) as problem:
            if sent_at:
                self.incomplete.append((name, time.monotonic() - sent_at, repr(problem)))
            return False

    async def send_on_kept_connection(self):
        while not self.entry_ended:
            connection = await self.connect()
            if connection is None:
                return
            while await self.exchange(*connection):
                await asyncio.sleep(0.03)
            connection[1].close()

    async def send_on_new_connections(self):
        while not self.entry_ended:
            connection = await self.connect()
            if connection is None:
                return
            await self.exchange(*connection)
            connection[1].close()
            await asyncio.sleep(OPEN_INTERVAL_SECONDS)

    def lost_requests(self):
        """Returns the incomplete requests that were executed or waited too long."""
        with open(self.runs, encoding="utf-8") as lines:
            executed = {line.split()[0] for line in lines if line.strip()}
        return [request for request in self.incomplete if request[0] in executed or request[1] > SLACK_SECONDS]


async def read_response(reader):
    """Returns the status and whether the connection stays open after a complete response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    if fields.get("transfer-encoding") == "chunked":
        size = -1
        while size != 0:
            size = int(await reader.readuntil(b"\r\n"), 16)
            await reader.readexactly(size + 2)
    else:
        await reader.readexactly(int(fields["content-length"]))
    return head[0].split()[1], fields.get("connection") != "close"


async def main():
    parser = argparse.ArgumentParser()
    for name in ("target", "prefix", "path", "runs"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--kept", type=int, default=8, help="callers on a persistent connection")
    parser.add_argument("--opening", type=int, default=2, help="callers that open a connection for each request")
    options = parser.parse_args()
    callers = Callers(options)
    await asyncio.gather(*(callers.send_on_kept_connection() for _ in range(options.kept)),
                         *(callers.send_on_new_connections() for _ in range(options.opening)))
    lost = callers.lost_requests()
    print(json.dumps({"requests": callers.count, "statuses": callers.status_counts,
                      "crossed": len(callers.incomplete) - len(lost), "lost": lost}))
    return 1 if lost else 0


raise SystemExit(asyncio.run(main()))
