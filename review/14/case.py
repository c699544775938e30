"""A roll-out that the operator takes back (see claim.txt)."""

import json
import os
import sys
import threading
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-3"))
import replica as stand_in  # noqa: E402
import rig  # noqa: E402

# pitchdesk
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryWindowS": 10,
    "budgetSlack": 62,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 190000,
    "leaseMs": 3000,
    "usageWindowS": 5,
    "exposureShare": 0.1,
    "exposureSlack": 50,
}
DURATION_S = 12
HOST = "pitch.example"


def route(name, prefix, service):
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": "safe",
        "timeoutMs": 600,
        "targetLatencyMs": 100,
        "priority": 1,
        "backend": service,
        "maxAttempts": 2,
        "allowAnonymous": True,
    }


def configuration(version, with_added_route):
    routes = [route("r-first", "/first/", "pitch-api")]
    services = [{"name": "pitch-api", "healthPath": "/healthz", "maxConnections": 130}]
    if with_added_route:
        routes.append(route("r-added", "/added/", "permit-api"))
        services.append({"name": "permit-api", "healthPath": "/healthz", "maxConnections": 130})
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def ask(cluster, number, prefix):
    machine = cluster.machines[number % len(cluster.machines)]
    headers = {"Host": HOST, "Request-Id": uuid.uuid4().hex, "Request-Deadline-Ms": "600"}
    status, fields, _ = rig.call(cluster.address(machine, "front"), "GET", prefix + "x", None, headers)
    cluster.record.write("client asked machine %d for %s: %d" % (machine.number, prefix, status))
    return status == 200 and "Response-Seal" in fields


def served(cluster, prefix, count):
    good = 0
    for number in range(count):
        good += ask(cluster, number, prefix)
        time.sleep(0.02)
    return good


class Load(threading.Thread):
    """Asks for one route at a steady rate."""

    def __init__(self, cluster, prefix, per_s):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.prefix = prefix
        self.interval = 1 / per_s
        self.ended = threading.Event()

    def run(self):
        number = 0
        next_time = time.monotonic()
        while not self.ended.is_set():
            number += 1
            ask(self.cluster, number, self.prefix)
            next_time = max(next_time + self.interval, time.monotonic() - 1)
            self.ended.wait(max(0, next_time - time.monotonic()))


def order(cluster, target):
    """Sends the order as the operator does, and returns when it is acknowledged."""
    body = json.dumps({"backend": "permit-api", "target": target, "durationS": DURATION_S})
    for number in range(20):
        machine = cluster.machines[number % len(cluster.machines)]
        status = rig.call(cluster.address(machine, "control"), "POST", "/Rollouts.Start", body)[0]
        cluster.record.write("operator ordered %s at machine %d: %d" % (target, machine.number, status))
        if status == 200:
            return
        time.sleep(0.3)
    raise rig.CannotRun("the roll-out was not accepted")


def state(cluster):
    for machine in cluster.machines:
        status, _, answer = rig.call(cluster.address(machine, "control"), "GET", "/Rollouts.Get/permit-api")
        if status == 200:
            found = json.loads(answer)
            cluster.record.write("roll-out to %s: %s" % (found["target"], found["state"]))
            return found["state"]
    return "running"


def case(trouble):
    zones = ["hob-a", "hob-b", "lst-a", "dvp-a"]
    cluster = rig.Cluster(FOLDER, [True] * 4 + [False] * 2, BOUNDS, 1, zones)
    replicas = []
    loads = []

    def start(count, service, version, kind):
        controls = [(cluster.address(item, "control"), "machine %d" % item.number) for item in cluster.machines]
        started = []
        for number in range(count):
            own = controls[number % 6 :] + controls[: number % 6]
            name = "i-%s-%d" % (kind, number)
            started.append(stand_in.Replica(name, service, version, zones[number % 4], own, cluster.record))
            started[-1].start()
        replicas.extend(started)
        return started

    try:
        cluster.cloud = rig.Cloud("127.0.0.1", cluster.record)
        operator = rig.Operator(cluster)
        cluster.start_all()
        if operator.put(configuration(3, False), 20) is None:
            raise rig.CannotRun("the first configuration was not accepted")
        rig.wait_ready(cluster, cluster.machines, 20)
        start(4, "pitch-api", "v1", "first")
        old = start(4, "permit-api", "v1", "old")
        if operator.put(configuration(8, True), 10) is None:
            raise rig.CannotRun("the second configuration was not accepted")
        time.sleep(4)
        if served(cluster, "/added/", 24) < 24 or served(cluster, "/first/", 24) < 24:
            raise rig.CannotRun("the routes are not served before the roll-out")

        # pitchdesk: bookings come 8.05 times a second, checks of permits 6.8 times.
        loads = [Load(cluster, "/first/", 8.05), Load(cluster, "/added/", 6.8)]
        for load in loads:
            load.start()
        order(cluster, "v2")
        new = start(4, "permit-api", "v2", "new")
        if trouble:
            time.sleep(4)
            # Back to the version in service. The platform starts replicas of it, as it does for any order.
            order(cluster, "v1")
            back = start(4, "permit-api", "v1", "back")
        end = time.monotonic() + DURATION_S + 4
        while state(cluster) == "running" and time.monotonic() < end:
            time.sleep(0.25)
        result = state(cluster)
        if result == "completed":
            # The old replicas stop at once: the v2 ones after the way back, else the v1 ones.
            for item in new if trouble else old:
                item.stop()
        else:
            time.sleep(3)
            for item in back if trouble else new:
                threading.Thread(target=leave, args=(item,), daemon=True).start()
        time.sleep(10)
        for load in loads:
            load.ended.set()
            load.join()

        first = served(cluster, "/first/", 60)
        last = served(cluster, "/added/", 60)
        cluster.record.write("served: first route %d of 60, added route %d of 60" % (first, last))
        if first < 45:
            raise rig.CannotRun("the first route is not served either")
        return last < first / 4
    finally:
        for load in loads:
            load.ended.set()
        for item in replicas:
            item.stop()
        cluster.stop()


def leave(item):
    """A planned end: deregisters, serves on for drainMs and exits."""
    item.life.deregistered = True
    item.tell("/Replicas.Deregister/" + item.id, {"born": item.life.born})
    time.sleep(BOUNDS["drainMs"] / 1000 + 0.3)
    item.stop()


rig.run(FOLDER, case)
