"""An acknowledged configuration after overlapping losses with two lost disks (see claim.txt)."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-3"))
import rig  # noqa: E402

# shikongo-grates-grown: five machines with a disk, one a zone; two losses are to be borne.
BOUNDS = {
    "contactMs": 4000,
    "catchUpS": 6,
    "graceS": 8,
    "configApplyMs": 2500,
    "retryWindowS": 10,
    "budgetSlack": 222,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 190000,
    "leaseMs": 3000,
    "usageWindowS": 5,
    "exposureShare": 0.1,
    "exposureSlack": 50,
}
RECOVERY_S = 15
LEAD_S = 14
DARK_S = 7


def configuration(version):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "hostname": "desk.example",
                "pathPrefix": "/a/",
                "routeType": "safe",
                "timeoutMs": 1000 + version,
                "targetLatencyMs": 150,
                "priority": 1,
                "backend": "desk",
                "maxAttempts": 2,
                "allowAnonymous": True,
            }
        ],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 610}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def case(trouble):
    zones = ["khomas-" + letter for letter in "abcde"]
    cluster = rig.Cluster(FOLDER, [True] * 5, BOUNDS, 2, zones)
    try:
        cluster.cloud = rig.Cloud("127.0.0.1", cluster.record)
        operator = rig.Operator(cluster)
        started = time.monotonic()
        cluster.start_all()
        if operator.put(configuration(7), 20) is None:
            raise rig.CannotRun("the first configuration was not accepted")
        rig.wait_ready(cluster, cluster.machines, 20)
        time.sleep(max(0, started + LEAD_S - time.monotonic()))

        first, second, third, fourth, fifth = cluster.machines
        dark_since = time.monotonic()
        if trouble:
            cluster.kill(fifth)
        time.sleep(5)
        if operator.put(configuration(9), 5, [first, second, third, fourth]) is None:
            raise rig.CannotRun("the change was not acknowledged, so that nothing was promised")
        time.sleep(0.5)
        if trouble:
            for machine in (first, second):
                cluster.kill(machine)
                cluster.wipe(machine)
            time.sleep(0.5)
            for machine in (first, second):
                cluster.restart(machine)
            time.sleep(max(0, dark_since + DARK_S - time.monotonic()))
            cluster.restart(fifth)
        cluster.record.write("all machines are back")
        time.sleep(RECOVERY_S)

        # The operator reads for at least contactMs, here for three times as long.
        end = time.monotonic() + 3 * BOUNDS["contactMs"] / 1000
        read = []
        while time.monotonic() < end:
            for machine in cluster.machines:
                version = operator.get(machine)
                if version is not None:
                    read.append(version)
            time.sleep(0.3)
        cluster.record.write("versions read back: %s" % sorted(set(read)))
        return not read or min(read) < 9
    finally:
        cluster.stop()


rig.run(FOLDER, case)
