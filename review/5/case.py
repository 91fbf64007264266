"""A minion is cut off. The jobs whose starts it never got must be counted as waiting."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin

# One of 8 minions, 0.125 of them, is cut off for 5.5 s: the site has `node_cut` of servers with 0.17 for 5.5 s.
MINIONS = 8
CUT_S = 5.5
JOBS = 4
# `visible_ms` and 2 s more.
OLD_S = 5.0
STEP = {"count": 1, "cpu": 3700, "memMb": 9800, "gpu": 1, "estimateMs": 2000}


async def case(record, cluster, world, client, trouble):
    minions = await standin.add_minions(cluster, world, MINIONS)
    await asyncio.sleep(2.0)
    # The work in progress shows which minion gets the next jobs: the fullest one.
    job = {"spec": json.dumps({"ms": 40000}), "steps": [{**STEP, "estimateMs": 40000}]}
    if not await client.submit("/load/00000000000000c0", job):
        raise standin.CannotRun("the first job was not accepted")
    if not await standin.wait_for(world.running, 5):
        raise standin.CannotRun("the first job has not started")
    victim = next(minion for minion in minions if minion.id == world.running()[0]["minion"])
    await asyncio.sleep(1.0)

    if trouble:
        victim.cut(CUT_S)
    accepted = {}
    for number in range(JOBS):
        path = f"/fit/{0xc1 + number:016x}"
        job = {"spec": json.dumps({"ms": 2000}), "steps": [STEP]}
        if not await client.submit(path, job):
            raise standin.CannotRun("a job was not accepted")
        accepted[path] = record.now()

    held = True
    while record.now() < 25:
        await asyncio.sleep(0.25)
        before = record.now()
        answer = await client.send("GET", "/fit/", quiet=True)
        if answer is None or answer[0] != 200:
            continue
        # Waiting all the while: accepted long enough before the call, and without a start after the answer.
        waiting = [path for path, at in accepted.items()
                   if before - at > OLD_S and not world.starts(path.rsplit("/", 1)[1])]
        shown = json.loads(answer[1])["numWaiting"]
        if shown * 2 < len(waiting):
            if held:
                states = [await client.state(path) for path in waiting]
                record.line(f"GET /fit/ -> numWaiting {shown}; accepted over {OLD_S} s ago and never started: "
                            f"{len(waiting)}, shown as {states}")
            held = False
    for path in accepted:
        await client.state(path)
    return held


standin.main(case, FOLDER)
