"""A minion is cut off, crashes and starts again, twice, while it runs the same task. Its job must not become `failed`.

First a job of one task, then a job that lasts (`longRunning`).
"""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin

# One of 8 minions at a time: 0.125 of them, where the site has `node_cut` of servers with 0.17 for 5.5 s.
MINIONS = 8
CRASHES = 2
# Time from a start to the cut with the crash, from there to the next life, and length of the cut.
AFTER_S, DOWN_S, CUT_S = 0.4, 1.0, 2.0
ATTEMPTS = 4
STEP = {"count": 1, "cpu": 13000, "memMb": 26000, "gpu": 1, "estimateMs": 6000}
PLAIN = "/load/00000000000000a1"
LASTING = "/load/00000000000000a2"


def name(path):
    return path.rsplit("/", 1)[1]


async def crash_under(path, record, world, minions):
    """Crashes the minion that runs the job, as often as allowed, each time shortly after the start."""
    for _ in range(CRASHES):
        if not await standin.wait_for(lambda: world.running(name(path)), 10):
            return
        await asyncio.sleep(AFTER_S)
        running = world.running(name(path))
        if not running:
            return
        victim = next(minion for minion in minions if minion.id == running[0]["minion"])
        victim.cut(CUT_S)
        await victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.start()
        await asyncio.sleep(CUT_S - DOWN_S)


async def judge(path, record, client, world, ends, within):
    """Asks for the state until it is one of `ends` or the time is over; returns whether the rule held."""
    state = "running"
    for _ in range(int(within)):
        await asyncio.sleep(1.0)
        state = await client.state(path)
        if state in ends:
            break
    failed = sum(run["how"] == "failed" for run in world.starts(name(path)))
    record.line(f"{path}: state {state}; runs that ended `failed`: {failed} of {ATTEMPTS} attempts; "
                f"running now: {len(world.running(name(path)))}")
    return not (state in ("failed", "cancelled", "410") and failed < ATTEMPTS)


async def case(record, cluster, world, client, trouble):
    minions = await standin.add_minions(cluster, world, MINIONS)
    await asyncio.sleep(2.0)
    job = {"spec": json.dumps({"ms": 6000}), "steps": [STEP]}
    if not await client.submit(PLAIN, job):
        raise standin.CannotRun("the first job was not accepted")
    if trouble:
        await crash_under(PLAIN, record, world, minions)
    held = await judge(PLAIN, record, client, world, ("completed", "failed", "cancelled", "410"), 25)

    job = {"spec": json.dumps({"ms": 600000}), "longRunning": True, "steps": [STEP]}
    if not await client.submit(LASTING, job):
        raise standin.CannotRun("the job that lasts was not accepted")
    if trouble:
        await crash_under(LASTING, record, world, minions)
    held &= await judge(LASTING, record, client, world, ("failed", "cancelled", "410"), 14)
    for line in cluster.log_lines("event=job_ended") + cluster.log_lines("event=run_void"):
        record.line(f"log of {line}")
    return held


standin.main(case, FOLDER)
