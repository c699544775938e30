"""A diskless machine is killed right after it acknowledged that a replica is gone."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from bed import BOUNDS, main  # noqa: E402
from standins import Clients, Replica, plain_configuration  # noqa: E402

# The replica serves on for drainMs and "a little longer (at times many seconds)".
SERVES_S = 8


async def play(bed):
    await bed.start(plain_configuration(7))
    replicas = [Replica(bed, i, f"i-{i}", "wuno96b", "hob-a") for i in range(4)]
    for replica in replicas:
        await replica.start()
    clients = Clients(bed, "ficu95.example", "key-of-tenant-1")
    await asyncio.sleep(4)
    load = asyncio.create_task(clients.load(15, "POST", "/book/1", 32))
    await asyncio.sleep(4)

    leaving = replicas[0]
    diskless = bed.core + 1
    was_in_touch = bed.in_touch(diskless)
    acknowledged_by = await leaving.deregister(diskless)
    acknowledged_at = bed.now()
    if bed.trouble and acknowledged_by == diskless:
        bed.signal(diskless, signal.SIGKILL)
    bed.record(f"front-{acknowledged_by} had acknowledged at {acknowledged_at:.4f} that {leaving.name} is gone;"
               f" it was in touch: {was_in_touch}")
    await asyncio.sleep(3)
    if bed.trouble:
        await bed.processes[diskless].wait()
        await bed.start_daemon(diskless)
    await asyncio.sleep(SERVES_S - 3)
    leaving.exit()
    await load

    # DRAIN: runs later than drainMs after the acknowledgement, sent on by machines in touch.
    breaks = []
    for ran_at, name in leaving.runs:
        sent_at, front = clients.sent[name]
        late = ran_at - acknowledged_at - BOUNDS["drainMs"] / 1000
        in_touch = front != diskless and was_in_touch
        if late > 0 and sent_at > acknowledged_at and in_touch:
            breaks.append(f"DRAIN: {leaving.name} runs {name}, taken by front-{front},"
                          f" {late:.3f} s later than drainMs after the acknowledgement")
    return breaks


main(sys.argv[1], play, machines=6, core=4, seconds=100)
