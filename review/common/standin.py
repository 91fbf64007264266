"""Stand-ins for upstreams ("minions"), clients and the operator, and the project's own programs as processes.

Standard library only. All addresses are loopback addresses. Each case imports this module.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "trefoilvalved")

# Bounds of the site `sites/kaldbenk-plan.toml` (its sheet in SYSTEM.md).
HOLD_MAX_MS = 6000
STOP_TIMEOUT_MS = 400
GANG_TIMEOUT_MS = 3000
HEARTBEAT_MS = 1500
CHECKPOINT_S = 1.0

PORTS = 24


def free_ports():
    """The first of some ports that are free, also of listeners on all addresses; all instances and minions use the same ones."""
    while True:
        first = random.randrange(10_000, 31_000)
        try:
            for port in range(first, first + PORTS):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


CONTROL_PORT = free_ports()
FRONT_PORT, READY_PORT, MINION_PORT, CLAIM_PORT = (CONTROL_PORT + number for number in range(1, 5))
# The first of 16 ports for the calls between instances.
INTERNAL_PORT = CONTROL_PORT + 8


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


# ---------------------------------------------------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns first line, headers and body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, timeout=1.0, source=None):
    """One HTTP call on a connection of its own; returns (status, body) or None without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
            given = {"Host": f"{address[0]}:{address[1]}", "Connection": "close", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            status = int(message[0].split()[1])
            return status, message[2]
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


# ------------------------------------------------------------------------------------------------------- minions


class World:
    """What all minions of a case share: the record, the runs, the addresses of the control instances."""

    def __init__(self, record, controls):
        self.record = record
        self.controls = list(controls)
        self.minions = []
        # Runs as a minion sees them: dicts with task, run, minion, start, end, how.
        self.runs = []
        # Members of gangs that are present, by step and run: set of indexes.
        self.present = {}

    def running(self, job=None):
        return [run for run in self.runs if run["end"] is None and (job is None or run["task"].startswith(job))]

    def starts(self, job):
        return [run for run in self.runs if run["task"].startswith(job)]


class Minion:
    """A minion as PROTOCOL.md describes it. What a task does is in its spec: `ms` of work, `fail`, `gang` (width)."""

    def __init__(self, world, ident, ip, service, zone, rack, capacity):
        self.world, self.id, self.ip, self.service, self.zone = world, ident, ip, service, zone
        self.labels, self.capacity = ["a", rack], capacity
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.up = False
        self.state = "ready"
        # End of the partition that this minion is behind, if any.
        self.cut_until = None
        world.minions.append(self)

    # -- life

    async def start(self):
        """Begins a life: nothing runs, no fencing token was seen, all counts start anew."""
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.fence = 0
        self.deadline_ms = None
        self.runs = {}
        self.barred = {}
        self.ended = []
        self.end_count = 0
        self.sequence = 0
        self.heartbeat_url = None
        self.remaining_from = None
        self.state = "ready"
        self.changed = asyncio.Condition()
        self.server = await asyncio.start_server(self.serve, self.ip, MINION_PORT, reuse_address=True, backlog=256)
        self.up = True
        self.spawn(self.beat())
        self.spawn(self.expire())
        self.world.record.line(f"minion {self.id} up born={self.born}")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def crash(self, why="crash"):
        """Ends the life at once: connections are reset and everything that runs is gone."""
        self.up = False
        self.world.record.line(f"minion {self.id} {why} running={[r['task'] for r in self.runs.values()]}")
        for run in self.runs.values():
            run["end"], run["how"] = self.world.record.now(), why
            self.leave_gang(run)
        self.runs = {}
        for task in list(self.tasks):
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    def report(self):
        self.sequence += 1
        report = {
            "service": self.service, "address": f"{self.ip}:{MINION_PORT}", "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
            "clockMs": self.clock_ms(), "sequence": self.sequence, "born": self.born,
        }
        if self.remaining_from is not None:
            left = int((self.remaining_from - time.monotonic()) * 1000)
            report["remainingMs"] = max(0, left)
        return report

    async def send_beat(self):
        """Sends one heartbeat: to the address named for it, otherwise to the control instances in turn."""
        targets = [self.heartbeat_url] if self.heartbeat_url else []
        rest = list(self.world.controls)
        random.shuffle(rest)
        for target in targets + rest:
            answer = await call(target, "POST", f"/Instances.Heartbeat/{self.id}", self.report(), timeout=1.0)
            if answer and answer[0] // 100 == 2:
                try:
                    url = json.loads(answer[1] or b"{}").get("heartbeatUrl")
                except ValueError:
                    url = None
                if url:
                    host, port = url.rsplit(":", 1)
                    self.heartbeat_url = (host, int(port))
                return True
            self.heartbeat_url = None
        return False

    def is_cut(self):
        return self.cut_until is not None and time.monotonic() < self.cut_until

    def cut(self, for_s):
        """Cuts it off silently, in both directions: what is sent meanwhile is lost with its connection."""
        self.cut_until = time.monotonic() + for_s
        self.world.record.line(f"minion {self.id} is cut off for {for_s} s")

    async def beat(self):
        while True:
            if not self.is_cut():
                await self.send_beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    # -- orders

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or not self.up:
                    return
                method, path, _ = message[0].split()
                if method == "GET":
                    status, body = 200, {}
                else:
                    order = json.loads(message[2])
                    if self.is_cut():
                        await asyncio.sleep(3600)
                    if message[1].get("target-instance", self.id) != self.id:
                        status, body = 421, {}
                    else:
                        status, body = await self.order(path, order)
                    body["clockMs"] = self.clock_ms()
                if self.is_cut():
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def order(self, path, order):
        token = order.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        now = self.clock_ms()
        asked = order.get("deadlineMs")
        if asked is not None:
            granted = min(asked, now + HOLD_MAX_MS)
            self.deadline_ms = max(self.deadline_ms or 0, granted)
        if path == "/run-start":
            return self.run_start(order, now, asked)
        if path == "/run-stop":
            return self.run_stop(order)
        if path == "/hold":
            return await self.hold(order)
        return 404, {}

    def run_start(self, order, now, asked):
        task, number = order["task"], order["run"]
        if (task, number) in self.runs:
            return 200, {}
        if number <= self.barred.get(task, 0):
            return 409, {"reason": "old"}
        if asked is None or asked <= now:
            return 409, {"reason": "late"}
        spec = json.loads(order["spec"])
        run = {
            "task": task, "run": number, "minion": self.id, "start": self.world.record.now(), "end": None, "how": None,
            "spec": spec, "percent": 0, "saved": order.get("checkpoint", ""), "token": order.get("fencingToken", 0),
        }
        self.runs[(task, number)] = run
        self.world.runs.append(run)
        self.world.record.line(f"start {task} run={number} on {self.id} token={run['token']}")
        self.spawn(self.work(run))
        return 200, {}

    def gang_key(self, run):
        job, occurrence, step, _ = run["task"].split(".")
        return job, occurrence, step, run["run"]

    def leave_gang(self, run):
        members = self.world.present.get(self.gang_key(run))
        if members is not None:
            members.discard(run["task"])
            for minion in self.world.minions:
                for other in list(minion.runs.values()) if minion.up else []:
                    if other is not run and minion.gang_key(other) == self.gang_key(run) and other["spec"].get("gang"):
                        minion.spawn(minion.end(other, "broken"))

    async def work(self, run):
        spec = run["spec"]
        width = spec.get("gang")
        if width:
            members = self.world.present.setdefault(self.gang_key(run), set())
            members.add(run["task"])
            waited = time.monotonic()
            while len(members) < width:
                await asyncio.sleep(0.02)
                if (time.monotonic() - waited) * 1000 > GANG_TIMEOUT_MS:
                    return await self.end(run, "alone")
        total = spec.get("ms", 1000) / 1000
        began = time.monotonic()
        while (spent := time.monotonic() - began) < total:
            run["percent"] = int(100 * spent / total)
            await asyncio.sleep(min(0.05, total - spent))
        if width and not spec.get("fail"):
            # The members of a gang end `done` together.
            for minion in self.world.minions:
                for other in list(minion.runs.values()) if minion.up else []:
                    if minion.gang_key(other) == self.gang_key(run):
                        await minion.end(other, "done")
        else:
            await self.end(run, "failed" if spec.get("fail") else "done")

    async def end(self, run, how):
        key = (run["task"], run["run"])
        if self.runs.pop(key, None) is None:
            return
        run["end"], run["how"] = self.world.record.now(), how
        self.barred[run["task"]] = max(self.barred.get(run["task"], 0), run["run"])
        self.end_count += 1
        self.ended.append([self.end_count, run["task"], run["run"], how, run["saved"]])
        self.world.record.line(f"end {run['task']} run={run['run']} on {self.id} how={how}")
        if run["spec"].get("gang") and how != "done":
            self.leave_gang(run)
        async with self.changed:
            self.changed.notify_all()

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None:
            self.world.record.line(f"stop {task} run={number} on {self.id}")
            self.spawn(self.stop(run))
        return 200, {}

    async def stop(self, run):
        await asyncio.sleep(0.05)
        await self.end(run, "stopped")

    async def hold(self, order):
        last = order.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > last]
        wait = min(order.get("waitMs", 0), 2000) / 1000
        if wait and not self.ended:
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: self.ended)
            except asyncio.TimeoutError:
                pass
        running = [[r["task"], r["run"], r["saved"], r["percent"], 0] for r in self.runs.values()]
        return 200, {"runningTasks": running, "ended": self.ended[:500], "born": self.born}

    async def expire(self):
        """Ends everything that runs when the lease is over."""
        while True:
            await asyncio.sleep(0.02)
            if self.deadline_ms is not None and self.clock_ms() >= self.deadline_ms:
                for run in list(self.runs.values()):
                    await self.end(run, "lapsed")


# ----------------------------------------------------------------------------------------------------- processes


class Node:
    """One of the project's own programs."""

    def __init__(self, cluster, role, ip, zone, region, number):
        self.role, self.ip, self.name = role, ip, f"{role}-{number}"
        self.folder = os.path.join(cluster.folder, self.name)
        os.makedirs(self.folder)
        self.settings = os.path.join(self.folder, "node.conf")
        self.cluster, self.zone, self.region = cluster, zone, region
        self.process = None

    def write_settings(self, bootstrap):
        control = self.role == "control"
        lines = {
            "node": self.name, "role": self.role, "machineClass": "core" if control else "edge",
            "serves": "control_plane" if control else "edge", "ip": self.ip, "zone": self.zone, "region": self.region,
            "internalPorts": f"{INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "seeds": ",".join(f"{ip}:{CONTROL_PORT}" for ip in self.cluster.control_ips[:3]),
            "bootstrap": "true" if bootstrap else "false", "countsAsLoss": "true" if control else "false",
            "discovery": "registry", "entry": "vip", "heartbeatMs": HEARTBEAT_MS,
            "contracts": "base,drain,config,cost,recover,sched,tenants,advice,upkeep,sharing",
            "faultTolerance.machines": self.cluster.tolerated, "bounds.contactMs": 3000, "bounds.ackMs": 4000,
            "bounds.graceS": 6, "bounds.configApplyMs": 2500, "bounds.holdMaxMs": HOLD_MAX_MS,
            "bounds.stopTimeoutMs": STOP_TIMEOUT_MS, "bounds.gangTimeoutMs": GANG_TIMEOUT_MS,
            "bounds.cancel_ms": 3000, "bounds.visible_ms": 3000, "bounds.early_ms": 250, "bounds.finish_s": 14,
            "bounds.status_s": 120, "bounds.farFactor": 3, "bounds.checkpointS": CHECKPOINT_S,
            "bounds.restoreMs": 100, "bounds.leaseMs": 3000, "bounds.reclaimMs": 2900, "config_mode": "highest",
            "orders": "call",
        }
        if control:
            lines["listen.control"] = f"{self.ip}:{CONTROL_PORT}"
            lines["dataDir"] = os.path.join(self.folder, "data")
        else:
            lines["listen.front"] = f"{self.ip}:{FRONT_PORT}"
            lines["listen.ready"] = f"{self.ip}:{READY_PORT}"
        with open(self.settings, "w") as file:
            file.write("".join(f"{key}={value}\n" for key, value in lines.items()))

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TREFOILVALVE_BOOT"] = self.settings
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, self.role], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Cluster:
    """Control and entry instances on loopback addresses of a block of their own."""

    def __init__(self, record, controls=3, entries=1):
        self.record = record
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is not built")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.claim, self.block = claim_block()
        self.tolerated = (controls - 1) // 2
        self.control_ips = [self.ip(number) for number in range(1, controls + 1)]
        zones = [("bergen-a", "vestland"), ("trondheim-a", "trondelag"), ("forde-b", "vestland")]
        self.controls = [
            Node(self, "control", ip, *zones[number % 3], number) for number, ip in enumerate(self.control_ips)
        ]
        self.entries = [
            Node(self, "entry", self.ip(20 + number), *zones[number % 3], number) for number in range(entries)
        ]

    def ip(self, number):
        return f"127.78.{self.block}.{number}"

    def control_addresses(self):
        return [(ip, CONTROL_PORT) for ip in self.control_ips]

    def front(self, number=0):
        return self.entries[number].ip, FRONT_PORT

    def start(self):
        for node in self.controls + self.entries:
            node.start(bootstrap=True)

    def end(self):
        for node in self.controls + self.entries:
            node.end()
        self.claim.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, word):
        lines = []
        for node in self.controls + self.entries:
            with open(os.path.join(node.folder, "log.txt"), errors="replace") as file:
                lines += [f"{node.name}: {line.strip()}" for line in file if word in line]
        return lines

    def leader(self):
        """The control instance that last began to lead, by its log; used only to aim a disruption."""
        best = None
        for node in self.controls:
            with open(os.path.join(node.folder, "log.txt"), errors="replace") as file:
                terms = [int(line.rsplit("term=", 1)[1].split()[0]) for line in file if "event=lead_began" in line]
            if terms and (best is None or terms[-1] > best[0]):
                best = (terms[-1], node)
        return best[1] if best else None


def claim_block():
    """A block of addresses that no other case uses as long as the socket lives."""
    blocks = list(range(10, 250))
    random.shuffle(blocks)
    for block in blocks:
        claim = socket.socket()
        try:
            claim.bind((f"127.78.{block}.254", CLAIM_PORT))
            claim.listen()
            return claim, block
        except OSError:
            claim.close()
    raise CannotRun("no free block of loopback addresses")


# ------------------------------------------------------------------------------------------ operator and clients

HOST, KEY, SERVICE = "review.example", "key-of-the-review-tenant", "frameplan"


def config(version, **changes):
    """A configuration with the three queues of the site; `changes` replaces top-level fields."""
    def route(name, prefix, slo, priority, attempts, stretch):
        return {
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
            "sloMs": slo, "priority": priority, "service": SERVICE, "maxAttempts": attempts, "stretch": stretch,
            "public": False,
        }

    document = {
        "version": version,
        "routes": [
            route("r-sweep", "/sweep/", 3000, 2, 4, 3.0),
            route("r-load", "/load/", 1200, 1, 4, 3.0),
            route("r-fit", "/fit/", 300, 0, 3, 1.5),
        ],
        "services": [{
            "name": SERVICE, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False,
            "enforcesCapacity": False, "spare": False,
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "kaje80", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpu": 72}}],
    }
    document.update(changes)
    return document


async def configure(cluster, document, within=20.0):
    """Sends a configuration until it is acknowledged, as the operator does; returns whether it was."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        for address in cluster.control_addresses():
            answer = await call(address, "POST", "/Config.Replace", document)
            if answer and answer[0] == 200:
                cluster.record.line(f"operator: version {document['version']} acknowledged by {address[0]}")
                return True
        await asyncio.sleep(0.2)
    return False


class Client:
    def __init__(self, cluster, record):
        self.cluster, self.record = cluster, record

    async def send(self, method, path, body=None, entry=0, quiet=False):
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "Deadline-Ms": "3000"}
        answer = await call(self.cluster.front(entry), method, path, body, headers, timeout=3.0)
        text = "no answer" if answer is None else f"{answer[0]} {answer[1].decode(errors='replace')}"
        if not quiet:
            self.record.line(f"client: {method} {path} -> {text}")
        return answer

    async def submit(self, path, job, tries=10):
        """Submits a job; repeats the call under the same id until it is accepted."""
        for _ in range(tries):
            answer = await self.send("POST", path, job)
            if answer and answer[0] // 100 == 2:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, path, quiet=False):
        answer = await self.send("GET", path, quiet=quiet)
        if answer is None:
            return "no answer"
        if answer[0] != 200:
            return str(answer[0])
        return json.loads(answer[1])["state"]


async def add_minions(cluster, world, count, rack_size=8):
    """Starts minions of the site's kind: 32 cores, 64 GB and 8 accelerators, 8 to a rack."""
    zones = ["bergen-a", "trondheim-a", "forde-b"]
    minions = []
    for number in range(count):
        ip = cluster.ip(100 + number)
        capacity = {"cpu": 32000, "memMb": 65536, "gpu": 8}
        rack = number // rack_size
        minion = Minion(world, f"i-{number:08x}", ip, SERVICE, zones[rack % 3], f"r1-{rack}", capacity)
        await minion.start()
        minions.append(minion)
    return minions


async def wait_for(condition, within, step=0.05):
    """Waits until the condition holds; returns whether it did."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(step)
    return condition()


def main(case, folder):
    """Runs a case: `case(record, cluster, world, client, trouble)` returns whether the rule held."""
    def stop(*_):
        raise KeyboardInterrupt

    # The processes that were started are ended too if this one is told to end.
    signal.signal(signal.SIGTERM, stop)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"disruption {'on' if trouble else 'off'}")
    cluster = None
    try:
        cluster = Cluster(record, **getattr(case, "cluster", {}))

        async def run():
            cluster.start()
            world = World(record, cluster.control_addresses())
            client = Client(cluster, record)
            if not await configure(cluster, config(1)):
                raise CannotRun("the first configuration was not acknowledged")
            return await case(record, cluster, world, client, trouble)

        held = asyncio.run(asyncio.wait_for(run(), 112))
        code = 0 if held else 1
    except CannotRun as error:
        record.line(f"cannot run: {error}")
        code = 2
    except (Exception, KeyboardInterrupt) as error:  # noqa: BLE001
        record.line(f"cannot run: {type(error).__name__}: {error}")
        code = 2
    finally:
        if cluster is not None:
            cluster.end()
    record.line({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "no verdict"}[code])
    sys.exit(code)
