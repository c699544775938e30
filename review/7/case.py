"""The operator takes the keys of one tenant after the other away; then requests come with them."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from deployment import BOUNDS, CannotRun, Deployment, Replica, call, main  # noqa: E402

NORTH, SOUTH = {"name": "north", "apiKeys": ["north-key"]}, {"name": "south", "apiKeys": ["south-key"]}


def configuration(version, tenants):
    route = {"name": "book", "hostname": "desk.example", "pathPrefix": "/book/", "routeType": "unsafe", "timeoutMs": 3000,
             "targetLatencyMs": 100, "priority": 2, "backend": "desk", "maxAttempts": 1, "allowAnonymous": False,
             "sessionAffinity": False, "resumable": False}
    service = {"name": "desk", "healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": [route], "services": [service], "limits": limits, "tenants": tenants}


async def case(record, has_trouble):
    deployment = Deployment(record)
    try:
        await deployment.start_all(configuration(3, [NORTH, SOUTH]))
        replicas = [Replica(deployment, number, "desk", 6) for number in (1, 2)]
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(3)
        sent = {}

        async def send(key):
            for machine in range(1, deployment.count + 1):
                request = f"{random.getrandbits(64):016x}"
                sent[request] = key
                when = time.time()
                answer = await call(deployment.at(machine, "front"), "POST", "/book/1",
                                    {"Host": "desk.example", "Request-Id": request, "Request-Deadline-Ms": "600",
                                     "Authorization": f"Token {key}"}, b"a booking", timeout=2)
                record(f"request {request} with {key} to front-{machine}: {answer and answer[0]}", when)

        async def change(version, tenants):
            if not await deployment.put(1 + version % deployment.count, configuration(version, tenants)):
                raise CannotRun(f"version {version} is not acknowledged")
            # Requests count from configApplyMs after the acknowledgement; the core is calm all the while.
            await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 1)

        def runs_with(key):
            return [run for replica in replicas for run in replica.runs if sent.get(run[1]) == key]

        await send("north-key")
        await send("never-held-key")
        if len(runs_with("north-key")) != deployment.count:
            raise CannotRun("a proper request did not run before the change")
        await change(5, [SOUTH])
        await send("north-key")
        if len(runs_with("north-key")) != deployment.count:
            raise CannotRun("the key of the first tenant is still accepted")
        await change(8, [] if has_trouble else [SOUTH])
        for key in ("north-key", "never-held-key") + (("south-key",) if has_trouble else ()):
            await send(key)
        await asyncio.sleep(1)
        broken = [f"ROUTE: {request} ran with a key that no configuration ever held" for _, request, _ in runs_with("never-held-key")]
        broken += [f"CONFIG: {request} ran with a key that version 5 dropped" for _, request, _ in runs_with("north-key")[deployment.count:]]
        broken += [f"CONFIG: {request} ran with a key that version 8 dropped" for _, request, _ in runs_with("south-key")]
        return broken
    finally:
        deployment.end()


main(case, sys.argv[1])
