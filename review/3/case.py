"""A new version adds a route on another host, to another service, under a name that is in use. Work must stay in place."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin

# Minions of each of the two services.
MINIONS = 4
OTHER_SERVICE, OTHER_HOST = "archive", "archive.example"
# `configApplyMs` and `contactMs`.
APPLY_S, CONTACT_S = 2.5, 3.0
STEP = {"count": 2, "cpu": 3700, "memMb": 9800, "gpu": 1, "estimateMs": 2000}
BEFORE, AFTER = "/fit/00000000000000f1", "/fit/00000000000000f2"


async def case(record, cluster, world, client, trouble):
    minions = await standin.add_minions(cluster, world, 2 * MINIONS)
    for minion in minions[MINIONS:]:
        minion.service = OTHER_SERVICE
    await asyncio.sleep(3.0)
    service_of = {minion.id: minion.service for minion in minions}
    job = {"spec": json.dumps({"ms": 2000}), "steps": [STEP]}
    if not await client.submit(BEFORE, job):
        raise standin.CannotRun("the first job was not accepted")
    await asyncio.sleep(3.0)
    document = standin.config(2)
    document["services"].append({**document["services"][0], "name": OTHER_SERVICE})
    route = next(route for route in document["routes"] if route["pathPrefix"] == "/fit/")
    name = route["name"] if trouble else "r-archive"
    document["routes"].append({**route, "name": name, "host": OTHER_HOST, "service": OTHER_SERVICE})
    record.line("routes of version 2: " + ", ".join(
        f"{route['name']} {route['host']}{route['pathPrefix']} -> {route['service']}" for route in document["routes"]))
    if not await standin.configure(cluster, document):
        raise standin.CannotRun("the second configuration was not acknowledged")
    await asyncio.sleep(APPLY_S + CONTACT_S)
    if not await client.submit(AFTER, job):
        raise standin.CannotRun("the second job was not accepted")
    await asyncio.sleep(5.0)
    held = True
    for path in (BEFORE, AFTER):
        for run in world.starts(path.rsplit("/", 1)[1]):
            service = service_of[run["minion"]]
            record.line(f"{standin.HOST}{path}: {run['task']} started on {run['minion']} of service {service}")
            held &= service == standin.SERVICE
    return held


standin.main(case, FOLDER)
