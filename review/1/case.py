"""Minions are cut off, crash and start again while they run a job's tasks. The job must not be shown as `failed`.

Three jobs, one after the other: a gang whose members each see one crash at most; a job that lasts; a job of one task.
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
# Time from a start to the cut with the crash, from there to the next life, and length of the cut.
AFTER_S, DOWN_S, CUT_S = 0.4, 1.0, 2.0
ATTEMPTS = 4
STEP = {"cpu": 13000, "memMb": 26000, "estimateMs": 6000}
GANG, LASTING, PLAIN = "/load/00000000000000a1", "/load/00000000000000a2", "/load/00000000000000a3"
WIDTH = 6
ENDS = ("completed", "failed", "cancelled", "410")


def name(path):
    return path.rsplit("/", 1)[1]


async def crash_under(path, times, record, client, world, minions):
    """Crashes a minion that runs the job, so many times, each shortly after a start; of a gang another member's."""
    for number in range(times):
        def running():
            found = world.running(name(path))
            return found if len(found) in (1, WIDTH) else []

        if not await standin.wait_for(running, 12):
            return
        await asyncio.sleep(AFTER_S)
        found = running()
        if not found or await client.state(path) in ENDS:
            return
        run = min(found, key=lambda run: (run["task"] != f"{name(path)}.0.0.{number}", run["task"]))
        victim = next(minion for minion in minions if minion.id == run["minion"])
        victim.cut(CUT_S)
        record.line(f"{victim.id} runs {run['task']} and crashes")
        await victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.start()
        await asyncio.sleep(CUT_S - DOWN_S)


async def judge(path, record, client, world, ends, within):
    """Asks for the state until it is one of `ends` or the time is over; returns whether the rule held."""
    state = "running"
    for _ in range(within):
        await asyncio.sleep(1.0)
        state = await client.state(path)
        if state in ends:
            break
    runs = world.starts(name(path))
    failed = sum(run["how"] == "failed" for run in runs)
    crashes = {}
    for run in runs:
        if run["how"] == "crash":
            crashes[run["task"]] = crashes.get(run["task"], 0) + 1
    record.line(f"{path}: state {state}; runs that ended `failed`: {failed}, where {ATTEMPTS} attempts are allowed; "
                f"most crashes under one task: {max(crashes.values(), default=0)}; "
                f"running now: {len(world.running(name(path)))}")
    return not (state in ("failed", "cancelled", "410") and failed < ATTEMPTS)


async def case(record, cluster, world, client, trouble):
    minions = await standin.add_minions(cluster, world, MINIONS)
    await asyncio.sleep(2.0)
    held = True
    gang = {**STEP, "count": WIDTH, "gpu": 8, "gang": True}
    single = {**STEP, "count": 1, "gpu": 1}
    jobs = [
        (GANG, {"spec": json.dumps({"ms": 6000, "gang": WIDTH}), "steps": [gang]}, 5, ENDS, 14),
        (LASTING, {"spec": json.dumps({"ms": 600000}), "longRunning": True, "steps": [single]}, 2, ENDS, 8),
        (PLAIN, {"spec": json.dumps({"ms": 6000}), "steps": [single]}, 2, ENDS, 14),
    ]
    for path, job, crashes, ends, within in jobs:
        if not await client.submit(path, job):
            raise standin.CannotRun("a job was not accepted")
        if trouble:
            await crash_under(path, crashes, record, client, world, minions)
        held &= await judge(path, record, client, world, ends, within)
    for line in cluster.log_lines("event=job_ended") + cluster.log_lines("event=run_void"):
        record.line(f"log of {line}")
    return held


standin.main(case, FOLDER)
