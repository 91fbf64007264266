"""A new version takes the route of accepted jobs away and adds one with the same host and prefix. The jobs must stay."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin

MINIONS = 8
# `visible_ms`, `configApplyMs` and `contactMs`.
VISIBLE_S, APPLY_S, CONTACT_S = 3.0, 2.5, 3.0
STEP = {"count": 1, "cpu": 3700, "memMb": 9800, "gpu": 1, "estimateMs": 20000}
FIRST = "/fit/00000000000000d1"
SECOND = "/fit/00000000000000d2"


async def case(record, cluster, world, client, trouble):
    await standin.add_minions(cluster, world, MINIONS)
    await asyncio.sleep(2.0)
    for path in (FIRST, SECOND):
        if not await client.submit(path, {"spec": json.dumps({"ms": 20000}), "steps": [STEP]}):
            raise standin.CannotRun("a job was not accepted")
    accepted = record.now()
    await asyncio.sleep(VISIBLE_S)
    for path in (FIRST, SECOND):
        if await client.state(path) not in ("queued", "running"):
            raise standin.CannotRun("a job is not shown before the change")
    # Without the disruption the change is one of a time-out.
    document = standin.config(2)
    route = next(route for route in document["routes"] if route["pathPrefix"] == "/fit/")
    if trouble:
        route["name"] = "r-fit-again"
    else:
        route["timeoutMs"] = 2900
    if not await standin.configure(cluster, document):
        raise standin.CannotRun("the second configuration was not acknowledged")
    await asyncio.sleep(APPLY_S + CONTACT_S)
    held = True
    for path in (FIRST, SECOND):
        state = await client.state(path)
        ran = [run for run in world.starts(path.rsplit("/", 1)[1])]
        record.line(f"{path}: accepted {record.now() - accepted:.1f} s ago, never cancelled, {len(ran)} run(s), "
                    f"running now: {len([run for run in ran if run['end'] is None])}; answered {state}")
        held &= state != "410"
    answer = await client.send("DELETE", SECOND)
    await asyncio.sleep(4.0)
    record.line(f"after the DELETE of {SECOND} ({answer[0] if answer else 'no answer'}): running now: "
                f"{len(world.running(SECOND.rsplit('/', 1)[1]))}")
    return held


standin.main(case, FOLDER)
