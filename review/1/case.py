"""Minions with a job's tasks are lost. The job must not be shown as `failed`: no run has failed, no task is at fault.

Two jobs, one after the other: a task whose minions are cut off and none of which crashes; a gang of which each member
sees one crash at most.
"""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin

# One of 8 minions at a time, 0.125 of them. The site has `node_cut` of servers with 0.13 for 6 s, and 0.17 for 5.5 s.
MINIONS = 8
# Cuts without a crash, and cuts behind which the minion crashes and starts again.
CUT_S, CRASH_CUT_S, DOWN_S = 6.0, 2.0, 1.0
# From a start to the cut.
AFTER_S, CRASH_AFTER_S = 0.25, 0.4
CUTS, CRASHES = 5, 3
ATTEMPTS = 4
WIDTH = 6
STEP = {"cpu": 13000, "memMb": 26000}
CUT_JOB, GANG_JOB = "/load/00000000000000a1", "/load/00000000000000a2"
ENDS = ("completed", "failed", "cancelled", "410")


def name(path):
    return path.rsplit("/", 1)[1]


async def next_runs(path, width, world):
    """Waits until a run with all its members is in progress, the others being over or cut off."""
    def found():
        last = max((run["run"] for run in world.starts(name(path))), default=0)
        runs = [run for run in world.running(name(path)) if run["run"] == last]
        return runs if len(runs) == width and last not in seen else []

    seen = world.seen.setdefault(path, set())
    if not await standin.wait_for(found, 16, 0.02):
        return []
    runs = found()
    seen.add(runs[0]["run"])
    return runs


async def cut_off(path, record, client, world, minions):
    for _ in range(CUTS):
        runs = await next_runs(path, 1, world)
        if not runs:
            return
        await asyncio.sleep(AFTER_S)
        victim = next(minion for minion in minions if minion.id == runs[0]["minion"])
        record.line(f"{victim.id} runs {runs[0]['task']} run={runs[0]['run']}")
        victim.cut(CUT_S)
        await asyncio.sleep(CUT_S)


async def crash(path, record, client, world, minions):
    for number in range(CRASHES):
        runs = await next_runs(path, WIDTH, world)
        if not runs:
            return
        await asyncio.sleep(CRASH_AFTER_S)
        run = next(run for run in runs if run["task"] == f"{name(path)}.0.0.{number}")
        victim = next(minion for minion in minions if minion.id == run["minion"])
        record.line(f"{victim.id} runs {run['task']} run={run['run']}")
        victim.cut(CRASH_CUT_S)
        await victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.start()
        await asyncio.sleep(CRASH_CUT_S - DOWN_S)


async def judge(path, record, client, world, within):
    """Asks for the state until the job has ended or the time is over; returns whether the rule held."""
    state = "running"
    for _ in range(within):
        await asyncio.sleep(1.0)
        state = await client.state(path)
        if state in ENDS:
            break
    runs = world.starts(name(path))
    failed = sum(run["how"] == "failed" for run in runs)
    crashes = {}
    for run in runs:
        crashes[run["task"]] = crashes.get(run["task"], 0) + (run["how"] == "crash")
    record.line(f"{path}: state {state}; runs that ended `failed`: {failed}, where {ATTEMPTS} attempts are allowed; "
                f"most crashes under one task: {max(crashes.values(), default=0)}")
    return not (state in ("failed", "cancelled", "410") and failed < ATTEMPTS)


async def case(record, cluster, world, client, trouble):
    minions = await standin.add_minions(cluster, world, MINIONS)
    world.seen = {}
    await asyncio.sleep(2.0)
    held = True
    single = {**STEP, "count": 1, "gpu": 1, "estimateMs": 20000}
    gang = {**STEP, "count": WIDTH, "gpu": 8, "estimateMs": 6000, "gang": True}
    jobs = [
        (CUT_JOB, {"spec": json.dumps({"ms": 20000}), "steps": [single]}, cut_off, 26),
        (GANG_JOB, {"spec": json.dumps({"ms": 6000, "gang": WIDTH}), "steps": [gang]}, crash, 16),
    ]
    for path, job, disrupt, within in jobs:
        if not await client.submit(path, job):
            raise standin.CannotRun("a job was not accepted")
        if trouble:
            await disrupt(path, record, client, world, minions)
        held &= await judge(path, record, client, world, within)
    for line in cluster.log_lines("event=job_ended") + cluster.log_lines("event=run_void"):
        record.line(f"log of {line}")
    return held


standin.main(case, FOLDER)
