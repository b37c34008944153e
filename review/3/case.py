"""A backend spoils some of its answers: the number of slots that it tells in
X-Backend-Load is 4294967295.  The entry stands still."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from bed import (BROKEN, HELD, TROUBLE, Backend, Bed, CannotRun, Client,
                 config, main, new_id, read_answer, route)

USUAL_S = 5
GARBLE_S, GARBLE_X, GARBLE_COUNT = 5.0, 0.02, 2  # garble: for_s, x, 2 of 4
AFTER_S = 20
CLIENTS = 24
TIMEOUT_MS = 1000  # of the route
WAIT_MS = 8000  # of the client
SLACK_S = 0.5


class Garbled(Backend):
    """Spoils x of its answers; all else in them is right."""

    garble = False

    def load(self):
        if self.garble and random.random() < GARBLE_X:
            self.bed.record.line("%s spoils an answer" % self.name)
            return "%d,%d,4294967295,100" % (self.running, self.waiting)
        return super().load()


async def client(bed, machine, end, asked):
    """Sends safe requests one after the other on a kept connection."""
    one = Client(bed.record)
    while time.monotonic() < end:
        attempt = new_id()
        start = time.monotonic()
        try:
            if one.writer is None:
                await one.connect(machine.front())
        except (OSError, asyncio.TimeoutError):
            bed.record.line("no connection to %s" % machine.name)
            await asyncio.sleep(0.2)
            continue
        start = time.monotonic()
        answer = await one.ask("GET", "/proof/p", attempt, WAIT_MS)
        asked.append((start, time.monotonic() - start,
                      answer.status if answer else 0, machine.name))
        await asyncio.sleep(random.uniform(0.02, 0.1))
    one.close()


async def readiness(bed, end, silent):
    """The provider asks each machine once a second."""
    while time.monotonic() < end:
        for machine in bed.machines:
            status, _ = await bed.call(machine, "GET", "/ready", port=1)
            if status == 0:
                silent.append(machine.name)
                bed.record.line("%s doesn't say whether it is ready" %
                                machine.name)
        await asyncio.sleep(1)


async def case(record):
    bed = Bed(record)
    try:
        backends = [Garbled(bed, "i-%02d" % i, slots=4, work_s=0.1)
                    for i in range(4)]
        for one in backends:
            await one.start()
        await bed.start(config(1, [
            route("/proof/", "safe", timeout_ms=TIMEOUT_MS, aim_ms=500)]))
        asked, silent = [], []

        async def disrupt():
            await asyncio.sleep(USUAL_S)
            for one in backends[:GARBLE_COUNT]:
                one.garble = TROUBLE
            await asyncio.sleep(GARBLE_S)
            for one in backends:
                one.garble = False

        end = time.monotonic() + USUAL_S + GARBLE_S + AFTER_S
        await asyncio.gather(
            disrupt(), readiness(bed, end, silent),
            *[client(bed, bed.machines[i % 3], end, asked)
              for i in range(CLIENTS)])
        ended = bed.ended()
    finally:
        for one in bed.backends:
            one.stop()
        bed.close()
    limit = TIMEOUT_MS / 1000
    over = [a for a in asked if a[1] > limit + 0.05]
    late = [a for a in asked if a[1] > limit + SLACK_S]
    record.say("requests %d, unanswered at the route's timeout %d, still "
               "unanswered 0.5 s later %d, longest %.1f s" % (
                   len(asked), len(over), len(late),
                   max(a[1] for a in asked)))
    record.say("questions for readiness without an answer in 1 s: %d" %
               len(silent))
    record.say("processes that ended by themselves: %s" % (ended or "none"))
    if len(asked) < 100:
        raise CannotRun("too few requests")
    if len(late) >= 8 and len(late) * 2 > len(over):
        record.say("CONFIG: more than half have no answer 0.5 s after the "
                   "route's timeout_ms")
        return BROKEN
    return HELD


main(__file__, case)
