"""Runs of a step have failed once on each minion. The step's other attempts must still be made.

First a sweep that can never be done, one of 20: it must be shown as `failed` once its attempts are used up. Then a job
that lasts, whose tasks fail now and then: they must be restarted.
"""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin

# The deployment of the sheet: 48 minions, 8 to a rack.
MINIONS = 48
# A sweep of the sheet has 16 tasks on average and 94 at most. This one may have one task a minion.
TASKS = 30
# Sweeps besides, each of 4 tasks: the one that can never be done is a twentieth of them.
OTHERS = 19
ATTEMPTS = 4
FINISH_S = 14
SWEEP, LASTING = "/sweep/00000000000000b1", "/load/00000000000000b2"
STEP = {"cpu": 2800, "memMb": 5700, "gpu": 1, "estimateMs": 1500}
# Tasks of the job that lasts, and how long each runs until it fails.
SERVING, FAILS_AFTER_MS = 8, 2000


async def watch(path, client, world, record, until, enough, ends):
    """Returns the last state of a job and the longest time in which nothing ran on any minion."""
    idle_since, longest, state = None, 0.0, "running"
    while record.now() < until and longest < enough:
        state = await client.state(path, quiet=True)
        if state in ends:
            break
        if world.running():
            idle_since = None
        else:
            idle_since = idle_since or record.now()
            longest = max(longest, record.now() - idle_since)
        await asyncio.sleep(0.25)
    runs = world.starts(path.rsplit("/", 1)[1])
    failures = {}
    for run in runs:
        if run["how"] == "failed":
            failures[run["task"]] = failures.get(run["task"], 0) + 1
    record.line(f"{path}: state {state}; runs: {len(runs)}; `failed` ends of one task: {max(failures.values(), default=0)}"
                f" at most; nothing running for {longest:.1f} s; tasks running now: {len(world.running())}")
    return state, longest


async def sweep(record, client, world, trouble):
    spec = json.dumps({"ms": 1500, "fail": trouble})
    job = {"spec": spec, "steps": [{**STEP, "count": TASKS, "antiAffinity": 1}]}
    if not await client.submit(SWEEP, job):
        raise standin.CannotRun("the sweep was not accepted")
    others = [f"/sweep/{number:016x}" for number in range(0xb100, 0xb100 + OTHERS)]
    for path in others:
        small = {"spec": json.dumps({"ms": 1500}), "steps": [{**STEP, "count": 4}]}
        if not await client.submit(path, small):
            raise standin.CannotRun("a job was not accepted")
        await asyncio.sleep(0.5)
    # The end of the traffic. `finish_s` later the sweep is asked for, and looked at.
    await asyncio.sleep(FINISH_S)
    done = [await client.state(path, quiet=True) for path in others].count("completed")
    record.line(f"other sweeps completed: {done} of {OTHERS}")
    state, longest = await watch(SWEEP, client, world, record, record.now() + 30, 20, ("completed", "failed"))
    return not (state not in ("completed", "failed") and longest >= 3.0)


async def lasting(record, client, world, trouble):
    spec = {"ms": FAILS_AFTER_MS, "fail": True} if trouble else {"ms": 600000}
    step = {**STEP, "count": SERVING, "antiAffinity": 1}
    if not await client.submit(LASTING, {"spec": json.dumps(spec), "longRunning": True, "steps": [step]}):
        raise standin.CannotRun("the job that lasts was not accepted")
    await asyncio.sleep(1.0)
    # Six seconds after the last run there have to be others; this waits for 9 s and more.
    _, longest = await watch(LASTING, client, world, record, record.now() + 35, 15, ("completed", "failed"))
    return longest < 6.0 + 3.0


async def case(record, cluster, world, client, trouble):
    await standin.add_minions(cluster, world, MINIONS)
    await asyncio.sleep(3.0)
    held = await sweep(record, client, world, trouble)
    return await lasting(record, client, world, trouble) and held


standin.main(case, FOLDER)
