"""A machine of the core stands still for three seconds; meanwhile a key is taken away."""
import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from deployment import BOUNDS, CannotRun, Deployment, Replica, call, main  # noqa: E402

FREEZES, FREEZE_S, REVOKED_AFTER_S, WATCHED_S = 7, 3.1, 0.8, 4.5
# What the clocks of the test may be off by.
MARGIN_S = 0.05


def configuration(version, keys):
    route = {"name": "book", "hostname": "desk.example", "pathPrefix": "/book/", "routeType": "unsafe", "timeoutMs": 600,
             "targetLatencyMs": 100, "priority": 2, "backend": "desk", "maxAttempts": 1, "allowAnonymous": False,
             "sessionAffinity": False, "resumable": False}
    service = {"name": "desk", "healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": [route], "services": [service], "limits": limits,
            "tenants": [{"name": "north", "apiKeys": keys}]}


async def case(record, has_trouble):
    deployment = Deployment(record)
    try:
        await deployment.start_all(configuration(3, ["north-key"]))
        replicas = [Replica(deployment, number, "desk", 6) for number in (1, 2, 3, 4)]
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(4)
        version, late = 10, {}

        async def change(keys):
            """Sends a configuration to the machines in turn until it is acknowledged; returns when that was."""
            nonlocal version
            version += 3
            for machine in [5] + [random.randint(1, 4) for _ in range(8)]:
                if await deployment.put(machine, configuration(version, keys)):
                    return time.time()
            raise CannotRun(f"version {version} is not acknowledged")

        async def send(machine, key, thawed, acknowledged):
            request, when = f"{random.getrandbits(64):016x}", time.time()
            is_in_touch = when > thawed + BOUNDS["contactMs"] / 1000 + MARGIN_S
            if is_in_touch and when > acknowledged + BOUNDS["configApplyMs"] / 1000 + MARGIN_S:
                late[request] = (machine, key, when - thawed, when - acknowledged)
            answer = await call(deployment.at(machine, "front"), "POST", "/book/1",
                                {"Host": "desk.example", "Request-Id": request, "Request-Deadline-Ms": "600",
                                 "Authorization": f"Token {key}"}, b"a booking", timeout=1)
            record(f"request {request} with {key} to front-{machine}, {when - thawed:.3f} s after it woke: {answer and answer[0]}", when)

        for number in range(FREEZES):
            machine, key = 1 + number % deployment.disks, f"key-{number}"
            await change(["north-key", key])
            await asyncio.sleep(1.5)
            if has_trouble:
                deployment.signal(machine, signal.SIGSTOP)
            frozen = time.time()
            await asyncio.sleep(REVOKED_AFTER_S)
            acknowledged = await change(["north-key"])
            await asyncio.sleep(max(0.0, frozen + FREEZE_S - time.time()))
            if has_trouble:
                deployment.signal(machine, signal.SIGCONT)
            thawed = time.time()
            sends = []
            while time.time() < thawed + WATCHED_S:
                sends.append(asyncio.create_task(send(machine, key, thawed, acknowledged)))
                await asyncio.sleep(0.02)
            await asyncio.gather(*sends)
        runs = {request for replica in replicas for _, request, _ in replica.runs}
        return [f"CONFIG: {request} with the dropped {key}, sent {after_thaw:.3f} s after front-{machine} woke and "
                f"{after_ack:.3f} s after the acknowledgement, has run"
                for request, (machine, key, after_thaw, after_ack) in late.items() if request in runs]
    finally:
        deployment.end()


main(case, sys.argv[1])
