#!/usr/bin/env python3
"""A crowd of callers that send large requests, stop just short of their end and stay open.

Prints, as JSON, the peak of the memory that one process takes up (resident memory and the bytes in the queues of
the sockets at its port) and the peak of its open descriptors while the crowd sends and stays. Errors of the crowd's
own connections are expected, since the process may refuse requests and close connections.
"""

import argparse
import asyncio
import json
import os
import threading
import time

MIB = 1024 * 1024
HOLD_SECONDS = 1.5
# Long enough for the slowest mode on a busy machine; the crowd ends earlier when all have sent their part.
SEND_TIMEOUT_SECONDS = 40
SAMPLE_INTERVAL_SECONDS = 0.02

HEAD = "POST /look/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: crowd-{number}\r\nAuthorization: Token key-1\r\n"


def head(number, field):
    return (HEAD.format(number=number) + field + "\r\n\r\n").encode()


def chunk(size):
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


def whole(number):
    """A body of legal size with its length, one byte short, in large writes."""
    size = 4 * MIB - 1024
    yield head(number, f"Content-Length: {size}")
    for _ in range(size // (256 * 1024)):
        yield b"x" * (256 * 1024)
    yield b"x" * (size % (256 * 1024) - 1)


def pieces(number):
    """The same in small writes."""
    size = 4 * MIB - 1024
    yield head(number, f"Content-Length: {size}")
    for _ in range((size - 1) // 4096):
        yield b"x" * 4096


def large_chunks(number):
    """A chunked body of legal size without its last chunk."""
    yield head(number, "Transfer-Encoding: chunked")
    for _ in range(63):
        yield chunk(64 * 1024)


def small_chunks(number):
    """A chunked body in chunks of 16 bytes without its last chunk."""
    yield head(number, "Transfer-Encoding: chunked")
    block = chunk(16) * 1024
    for _ in range(2 * MIB // (16 * 1024)):
        yield block


def announced(number):
    """A body far over the limit, announced."""
    yield head(number, f"Content-Length: {1024 * MIB}")
    for _ in range(32):
        yield b"x" * (256 * 1024)


def endless(number):
    """A chunked body that exceeds the limit without an announcement."""
    yield head(number, "Transfer-Encoding: chunked")
    for _ in range(128):
        yield chunk(64 * 1024)


def fields(number):
    """A head of legal size that consists of short fields, and a body that stops short of its end."""
    names = "".join(f"{n % 26 + 97:c}:\r\n" for n in range(3800))
    yield head(number, names + "Content-Length: 100")
    yield b"x" * 99


MODES = {mode.__name__: mode for mode in (whole, pieces, large_chunks, small_chunks, announced, endless, fields)}


class Watch(threading.Thread):
    """Samples a process until it is told to stop."""

    def __init__(self, pid, port):
        super().__init__(daemon=True)
        self.pid = pid
        self.port = f":{port:04X}"
        self.peak_resident = 0
        self.peak_memory = 0
        self.peak_descriptors = 0
        self.is_alive_process = True
        self.is_over = threading.Event()

    def run(self):
        while not self.is_over.wait(SAMPLE_INTERVAL_SECONDS):
            try:
                self.sample()
            except (FileNotFoundError, ProcessLookupError, StopIteration):
                self.is_alive_process = False
                return

    def sample(self):
        with open(f"/proc/{self.pid}/status") as status:
            resident = next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmRSS:"))
        self.peak_resident = max(self.peak_resident, resident)
        self.peak_memory = max(self.peak_memory, resident + self.queued_bytes())
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))

    def queued_bytes(self):
        total = 0
        with open("/proc/net/tcp") as table:
            for line in table.readlines()[1:]:
                columns = line.split()
                if columns[1].endswith(self.port):
                    sent, received = columns[4].split(":")
                    total += int(sent, 16) + int(received, 16)
        return total


async def call(host, port, parts, hold):
    """Sends the parts and keeps the connection open until all others have sent theirs. Returns the status line."""
    reader, writer = None, None
    try:
        reader, writer = await asyncio.open_connection(host, port, limit=64 * 1024)
        for part in parts:
            writer.write(part)
            await writer.drain()
    except OSError:
        pass
    await hold()
    status = b""
    try:
        if reader is not None:
            status = (await asyncio.wait_for(reader.readline(), 0.1)).strip()
    except (OSError, ValueError, asyncio.TimeoutError):
        pass
    if writer is not None:
        writer.transport.abort()
    return status.decode(errors="replace") or "none"


async def run_crowd(options):
    host, port = options.target.split(":")
    sending = options.connections
    all_sent = asyncio.Event()

    async def hold():
        nonlocal sending
        sending -= 1
        if sending == 0:
            await asyncio.sleep(HOLD_SECONDS)
            all_sent.set()
        await all_sent.wait()

    async def end():
        await asyncio.sleep(SEND_TIMEOUT_SECONDS)
        all_sent.set()

    limit = asyncio.create_task(end())
    mode = MODES[options.mode]
    calls = [asyncio.create_task(call(host, int(port), mode(n), hold)) for n in range(options.connections)]
    done, late = await asyncio.wait(calls, timeout=SEND_TIMEOUT_SECONDS + 2)
    for task in late:
        task.cancel()
    limit.cancel()
    counts = {}
    for task in done:
        counts[task.result()] = counts.get(task.result(), 0) + 1
    counts["still sending"] = len(late)
    return counts


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", required=True, help="HOST:PORT")
    parser.add_argument("--pid", type=int, required=True)
    parser.add_argument("--mode", choices=MODES, required=True)
    parser.add_argument("--connections", type=int, required=True)
    options = parser.parse_args()
    watch = Watch(options.pid, int(options.target.split(":")[1]))
    watch.start()
    started = time.monotonic()
    statuses = asyncio.run(run_crowd(options))
    watch.is_over.set()
    watch.join()
    print(json.dumps({
        "mode": options.mode,
        "alive": watch.is_alive_process,
        "memory_mib": round(watch.peak_memory / MIB, 1),
        "resident_mib": round(watch.peak_resident / MIB, 1),
        "descriptors": watch.peak_descriptors,
        "seconds": round(time.monotonic() - started, 1),
        "statuses": statuses,
    }))


if __name__ == "__main__":
    main()
