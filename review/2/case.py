"""Of 20 sweeps one can never be done. It must be shown as `failed` once its attempts are used up."""

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
JOB = "/sweep/00000000000000b1"
STEP = {"cpu": 2800, "memMb": 5700, "gpu": 1, "estimateMs": 1500}


async def case(record, cluster, world, client, trouble):
    await standin.add_minions(cluster, world, MINIONS)
    await asyncio.sleep(3.0)
    spec = json.dumps({"ms": 1500, "fail": trouble})
    job = {"spec": spec, "steps": [{**STEP, "count": TASKS, "antiAffinity": 1}]}
    if not await client.submit(JOB, job):
        raise standin.CannotRun("the job was not accepted")
    others = [f"/sweep/{number:016x}" for number in range(0xb100, 0xb100 + OTHERS)]
    for path in others:
        small = {"spec": json.dumps({"ms": 1500}), "steps": [{**STEP, "count": 4}]}
        if not await client.submit(path, small):
            raise standin.CannotRun("a job was not accepted")
        await asyncio.sleep(0.5)
    # The end of the traffic. `finish_s` later the job is asked for, and looked at for the rest of the time.
    await asyncio.sleep(FINISH_S)
    done = [await client.state(path, quiet=True) for path in others].count("completed")
    record.line(f"other sweeps completed: {done} of {OTHERS}")
    idle_since, longest = None, 0.0
    state = "running"
    while record.now() < 90:
        state = await client.state(JOB, quiet=True)
        if state in ("completed", "failed"):
            break
        if world.running():
            idle_since = None
        else:
            idle_since = idle_since or record.now()
            longest = max(longest, record.now() - idle_since)
        await asyncio.sleep(0.25)
    runs = world.starts(JOB.rsplit("/", 1)[1])
    failures = {}
    for run in runs:
        if run["how"] == "failed":
            failures[run["task"]] = failures.get(run["task"], 0) + 1
    record.line(f"{JOB}: state {state}; runs: {len(runs)}; most `failed` ends of one task: "
                f"{max(failures.values(), default=0)} of {ATTEMPTS}; minions with runs now: {len(world.running())}")
    record.line(f"longest time with nothing running: {longest:.1f} s")
    return not (state not in ("completed", "failed") and longest >= 3.0)


standin.main(case, FOLDER)
