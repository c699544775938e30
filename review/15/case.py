"""A roll-out that is ordered again after it was rolled back (see claim.txt)."""

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
RECOVERY_S = 12
ACK_S = 4
DURATION_S = 40
HOST = "pitch.example"


def configuration(version):
    route = {
        "name": "r-1",
        "hostname": HOST,
        "pathPrefix": "/a/",
        "routeType": "safe",
        "timeoutMs": 600 + version,
        "targetLatencyMs": 100,
        "priority": 1,
        "backend": "pitch-api",
        "maxAttempts": 2,
        "allowAnonymous": True,
    }
    services = [{"name": "pitch-api", "healthPath": "/healthz", "maxConnections": 130}]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": [route], "services": services, "limits": limits}


def order(cluster, target, machines):
    """Sends the order as the operator does: to the next daemon after a second without an answer."""
    body = json.dumps({"backend": "pitch-api", "target": target, "durationS": DURATION_S})
    for number in range(8):
        machine = machines[number % len(machines)]
        status = rig.call(cluster.address(machine, "control"), "POST", "/Rollouts.Start", body)[0]
        cluster.record.write("operator ordered %s at machine %d: %d" % (target, machine.number, status))
        if status == 200:
            return
        time.sleep(0.1)
    raise rig.CannotRun("the roll-out was not accepted")


def read(cluster, machine):
    """Returns the state that the daemon names; None when it answers with no 200."""
    status, _, answer = rig.call(cluster.address(machine, "control"), "GET", "/Rollouts.Get/pitch-api")
    found = json.loads(answer) if status == 200 else {}
    cluster.record.write("operator read machine %d: %d %s" % (machine.number, status, json.dumps(found)))
    return found.get("state")


def ask_until(cluster, ended):
    """Clients ask about 15 times a second, as often as pitchdesk asks for pitch-api."""
    number = 0
    while not ended.wait(1 / 15):
        number += 1
        machine = cluster.machines[number % 5]
        headers = {"Host": HOST, "Request-Id": uuid.uuid4().hex, "Request-Deadline-Ms": "600"}
        rig.call(cluster.address(machine, "front"), "GET", "/a/x", None, headers)


def case(trouble):
    zones = ["hob-a", "hob-b", "lst-a", "dvp-a"]
    cluster = rig.Cluster(FOLDER, [True] * 4 + [False] * 2, BOUNDS, 1, zones)
    replicas = []
    ended = threading.Event()

    def start(version, kind="", fails=False):
        controls = [(cluster.address(item, "control"), "machine %d" % item.number) for item in cluster.machines[:5]]
        for number in range(4):
            own = controls[number:] + controls[:number]
            name = "i-%s%s-%d" % (version, kind, number)
            replicas.append(stand_in.Replica(name, "pitch-api", version, zones[number], own, cluster.record))
            replicas[-1].fails = fails
            replicas[-1].start()
        return replicas[-4:]

    try:
        cluster.cloud = rig.Cloud("127.0.0.1", cluster.record)
        operator = rig.Operator(cluster)
        cluster.start_all()
        if operator.put(configuration(3), 20) is None:
            raise rig.CannotRun("the first configuration was not accepted")
        rig.wait_ready(cluster, cluster.machines, 20)
        start("v1")
        time.sleep(8)
        threading.Thread(target=ask_until, args=(cluster, ended), daemon=True).start()

        others = cluster.machines
        first_order = time.monotonic()
        order(cluster, "v2", others)
        # Without the trouble the operator orders v3, which nobody has tried before.
        tried = start("v2", "-bad", fails=True)
        while read(cluster, others[0]) == "running":
            if time.monotonic() > first_order + DURATION_S:
                raise rig.CannotRun("the bad version was not rolled back")
            time.sleep(0.25)
        if read(cluster, others[0]) != "rolled_back":
            raise rig.CannotRun("the bad version was not rolled back")
        cluster.record.write("the bad version was rolled back")
        time.sleep(1)
        for item in tried:
            item.life.deregistered = True
            item.tell("/Replicas.Deregister/" + item.id, {"born": item.life.born})
        time.sleep(BOUNDS["drainMs"] / 1000 + 0.3)
        for item in tried:
            item.stop()

        # Later than ackMs after the first order, so that this is no resent one.
        time.sleep(max(0, first_order + ACK_S + 1 - time.monotonic()))
        again = "v2" if trouble else "v3"
        order(cluster, again, others)
        start(again, "-mended")
        time.sleep(3)
        read(cluster, others[0])

        # The final fault: all processes are killed right after a configuration was acknowledged.
        if operator.put(configuration(9), 5) is None:
            raise rig.CannotRun("the change was not acknowledged")
        for machine in cluster.machines:
            cluster.kill(machine)
        time.sleep(1)
        for machine in cluster.machines:
            cluster.restart(machine)
        time.sleep(RECOVERY_S)
        end = time.monotonic() + 3 * BOUNDS["contactMs"] / 1000
        found = []
        while time.monotonic() < end:
            for machine in cluster.machines:
                state = read(cluster, machine)
                if state is not None:
                    found.append(state)
            time.sleep(0.5)
        cluster.record.write("states read back: %s" % sorted(set(found)))
        # The order still has time, or has been carried out: 12 s and more of its 40 s are left.
        return not found or all(state == "rolled_back" for state in found)
    finally:
        ended.set()
        for item in replicas:
            item.stop()
        cluster.stop()


rig.run(FOLDER, case)
