"""Replicas fail part of their requests with a 503 of their own, after they have run them."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from deployment import CannotRun, Deployment, Replica, call, main  # noqa: E402

# The doses of srv_grey in pitchdesk.toml, and its rate of pitch-book.
SHARE_FAILED, FAILURE_S, BOOKINGS_PER_S, DEADLINE_MS = 0.45, 4.0, 8, 600
PROMISES = (408, 421, 429, 503)


class FailingReplica(Replica):
    """Runs each request; while it fails, it answers a part of them with 503, its id and its seal.

    It says nothing of Not-Executed, since it has run them.
    """

    is_failing = False

    async def answer(self, path, headers, writer):
        if not self.is_failing or random.random() >= SHARE_FAILED:
            return await super().answer(path, headers, writer)
        self.run(path, headers)
        await asyncio.sleep(0.015)
        body = "booked, but the confirmation could not be written"
        writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{self.head(headers)}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        return True


def configuration(version):
    route = {"name": "book", "hostname": "desk.example", "pathPrefix": "/book/", "routeType": "unsafe", "timeoutMs": 600,
             "targetLatencyMs": 100, "priority": 2, "backend": "desk", "maxAttempts": 1, "allowAnonymous": False,
             "sessionAffinity": False, "resumable": False}
    service = {"name": "desk", "healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": [route], "services": [service], "limits": limits,
            "tenants": [{"name": "north", "apiKeys": ["north-key"]}]}


async def case(record, has_trouble):
    deployment = Deployment(record)
    try:
        await deployment.start_all(configuration(3))
        replicas = [FailingReplica(deployment, number, "desk", 6) for number in (1, 2, 3, 4)]
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(3)
        statuses, booking_of = {}, {}

        async def attempt(booking):
            request = f"{random.getrandbits(64):016x}"
            booking_of[request] = booking
            machine, when = random.randint(1, deployment.count), time.time()
            answer = await call(deployment.at(machine, "front"), "POST", "/book/1",
                                {"Host": "desk.example", "Request-Id": request, "Request-Deadline-Ms": str(DEADLINE_MS),
                                 "Authorization": "Token north-key"}, f"booking {booking}".encode(), timeout=DEADLINE_MS / 1000)
            statuses[request] = answer and answer[0]
            seal = answer and answer[1].get("response-seal")
            record(f"booking {booking}, request {request} to front-{machine}: {answer and answer[0]}, seal {seal}", when)
            return statuses[request]

        async def book(booking):
            # A request that may run once is repeated after a promise only, and once.
            if await attempt(booking) in PROMISES:
                await attempt(booking)

        async def book_for(seconds, first):
            tasks = []
            for number in range(int(seconds * BOOKINGS_PER_S)):
                tasks.append(asyncio.create_task(book(first + number)))
                await asyncio.sleep(1 / BOOKINGS_PER_S)
            await asyncio.gather(*tasks)

        await book_for(2, 0)
        if any(status != 200 for status in statuses.values()):
            raise CannotRun("a booking failed before the disruption")
        record("replicas begin to fail" if has_trouble else "no trouble")
        for replica in replicas:
            replica.is_failing = has_trouble
        await book_for(FAILURE_S, 1000)
        for replica in replicas:
            replica.is_failing = False
        await book_for(2, 2000)
        runs = [request for replica in replicas for _, request, _ in replica.runs]
        booked = [booking_of[request] for request in runs]
        record(f"bookings that were made twice: {sorted(booking for booking in set(booked) if booked.count(booking) > 1)}")
        return [f"REFUSED: {request} (booking {booking_of[request]}) was answered {statuses[request]} and has run"
                for request in runs if statuses[request] in PROMISES]
    finally:
        deployment.end()


main(case, sys.argv[1])
