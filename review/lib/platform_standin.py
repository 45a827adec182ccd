"""Stand-ins for the platform's store, its machine service and runners, and a
small client, all in one asyncio process on loopback addresses. They follow
PROTOCOL.md; each case replaces single answers where its disruption says so."""

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()
MAX_FDS = 4100  # Limits.MaxFds of the settings


def now_ms():
    return int((time.monotonic() - START) * 1000)


class Record:
    """Writes what was sent, answered and run, with the time in ms."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now_ms():7d} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class HttpServer:
    """A minimal HTTP/1.1 server. The handler takes (method, path, query,
    headers, body) and returns (code, object), or None to leave the call
    without an answer: its connection then stays open and silent."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the port and resets all connections, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handler(
                    method, url.path, query, headers, body)
                if answer is None:
                    await reader.read()  # until the caller closes
                    return
                code, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    (f"HTTP/1.1 {code} X\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    VALUE_BYTES = 1048576

    def __init__(self, record):
        self.record = record
        self.rev = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)
        self.delay_s = 0.001
        # Takes the entries of a transaction; returns None, or how many seconds
        # later it is to be carried out, without an answer.
        self.lose_txn = lambda puts: None

    async def start(self):
        await self.http.start()
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [lease for lease, (_, until) in self.leases.items()
                     if time.monotonic() >= until]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["Lease"] == lease]
        if keys:
            await self.apply([], keys)

    async def apply(self, puts, deletes):
        self.rev += 1
        for key, value, lease in puts:
            created = self.items[key]["Created"] if key in self.items else self.rev
            self.items[key] = {"Key": key, "Value": value, "Rev": self.rev,
                               "Created": created, "Lease": lease}
            self.events.append((self.rev, key, dict(self.items[key])))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    (self.rev, key,
                     {"Key": key, "Rev": self.rev, "Deleted": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.rev

    async def put(self, key, document):
        """A write of the operator or of a runner."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return await self.apply([(key, value, 0)], [])

    def read(self, key):
        item = self.items.get(key)
        return item and base64.b64decode(item["Value"]).decode()

    def watch_events(self, prefix, after):
        return [event for rev, key, event in self.events
                if rev > after and key.startswith(prefix)]

    async def txn(self, body):
        conditions = body.get("ExpectRev") or []
        puts = [(p["Key"], p["Value"], p.get("Lease", 0))
                for p in body.get("Puts") or []]
        deletes = body.get("Deletes") or []
        if len(conditions) + len(puts) + len(deletes) > 32:
            return 400, {}
        if any(len(value) * 3 // 4 > self.VALUE_BYTES for _, value, _ in puts):
            self.record("store refuses a value over ValueBytes: " + " ".join(
                f"{key}={len(value) * 3 // 4}" for key, value, _ in puts))
            return 400, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, {}
        for row in conditions:
            item = self.items.get(row["Key"])
            if (item["Rev"] if item else 0) != row["Rev"]:
                return 412, {"items": [self.items[c["Key"]] for c in conditions
                                       if c["Key"] in self.items]}
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        return 200, {"Rev": await self.apply(puts, deletes)}

    async def carry_out_late(self, seconds, body):
        await asyncio.sleep(seconds)
        code, _ = await self.txn(body)
        keys = [p["Key"] for p in body.get("Puts") or []]
        self.record(f"store carries out the unanswered write of {keys}: {code}")

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.delay_s)
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "AsOf": self.rev}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("Prefix", ""))
                          and k > query.get("After", ""))
            page, size = [], 0
            for key in keys:
                size += len(self.items[key]["Value"])
                if len(page) == 500 or (page and size > 1000000):
                    break
                page.append(self.items[key])
            return 200, {"items": page, "HasMore": len(page) < len(keys),
                         "AsOf": self.rev}
        if path == "/kv-watch":
            after, prefix = int(query["After"]), query.get("Prefix", "")
            until = time.monotonic() + int(query["WaitMs"]) / 1000
            while True:
                events = self.watch_events(prefix, after)
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.rev}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            document = json.loads(body)
            late = self.lose_txn(document.get("Puts") or [])
            if late is not None:
                asyncio.get_running_loop().create_task(
                    self.carry_out_late(late, document))
                return None
            return await self.txn(document)
        if path == "/kv-lease":
            ttl = max(1000, int(json.loads(body)["TtlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"TtlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


class Runner:
    """One runner. The payload of a job, its Spec, is a JSON object: work_ms is
    how long each task works."""

    def __init__(self, record, store, ident, service, machine, capacity,
                 labels=("a", "r1-1"), clock_start=100000):
        self.record, self.store = record, store
        self.ident, self.service, self.machine = ident, service, machine
        self.capacity, self.labels = capacity, list(labels)
        self.clock_start = clock_start
        self.http = HttpServer(self.handle)
        self.up = False
        self.seq = 0
        self.starts = []  # (time, task, run, spec, labels), of all lives
        self.port = 0

    async def start(self):
        """Begins a life, under the same id and address as before."""
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.stopped = {}
        self.ended = []
        self.next_end = 1
        self.ended_at = {}
        self.end_event = asyncio.Event()
        self.up = True
        await self.http.start(self.port)
        self.port = self.http.port
        self.record(f"runner {self.ident} starts, labels {self.labels}, "
                    f"born {self.born}")
        self.tasks = [asyncio.get_running_loop().create_task(t)
                      for t in (self.beat(), self.work())]

    def crash(self):
        self.record(f"runner {self.ident} crashes")
        self.up = False
        self.http.stop()
        for task in self.tasks:
            task.cancel()

    def clock(self):
        return self.clock_start + int((time.monotonic() - self.began) * 1000)

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.put("servers/" + self.ident, {
                "Service": self.service, "Addr": f"127.0.0.1:{self.port}",
                "Zone": "north", "Version": "v1", "Slots": 8, "State": "ready",
                "ColdLeftMs": 0, "Capacity": self.capacity,
                "Labels": self.labels, "ClockMs": self.clock(),
                "Machine": self.machine, "born": self.born, "Seq": self.seq})
            await asyncio.sleep(1.5)

    def end(self, task, how):
        run = self.running.pop(task)
        self.stopped[task] = max(self.stopped.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.ended_at[self.next_end] = now_ms()
        self.next_end += 1
        self.record(f"runner {self.ident} ends {task} run {run['run']} {how}")
        self.end_event.set()
        self.end_event = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            for task, run in list(self.running.items()):
                if self.clock() > self.lease:
                    self.end(task, "lapsed")
                elif run["stop"]:
                    self.end(task, "stopped")
                elif time.monotonic() >= run["until"]:
                    self.end(task, "done")

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + 10000))

    def answer(self, code, **fields):
        return code, {"ClockMs": self.clock(), "born": self.born, **fields}

    def run_start(self, order):
        task, run = order["Task"], order["Run"]
        there = self.running.get(task)
        if there and there["run"] == run:
            return self.answer(200)
        if run <= self.stopped.get(task, 0) or (there and run <= there["run"]):
            self.extend(order["UntilMs"])
            return self.answer(409, Reason="old")
        if order["UntilMs"] <= self.clock():
            return self.answer(409, Reason="late")
        self.extend(order["UntilMs"])
        spec = json.loads(order["Spec"])
        self.running[task] = {
            "run": run, "stop": False, "began": time.monotonic(),
            "until": time.monotonic() + spec.get("work_ms", 500) / 1000}
        self.starts.append((now_ms(), task, run, spec, list(self.labels)))
        self.record(f"runner {self.ident} {self.labels} starts {task} run {run}"
                    f" fence {order.get('Fence', 0)}")
        return self.answer(200)

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return self.answer(200)
        order = json.loads(body or b"{}")
        if headers.get("coltsfootshed-target-instance", self.ident) != self.ident:
            return self.answer(421)
        if order.get("Fence", 0) < self.fence:
            return self.answer(409, Reason="fence")
        self.fence = order.get("Fence", 0)
        if path == "/run-start":
            return self.run_start(order)
        if path == "/run-stop":
            task, run = order["Task"], order["Run"]
            self.stopped[task] = max(self.stopped.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run:
                self.running[task]["stop"] = True
            return self.answer(200)
        if path == "/pace":
            return self.answer(200)
        if path == "/hold":
            seen = order.get("LastSeen", 0)
            self.ended = [row for row in self.ended if row[0] > seen]
            if "UntilMs" in order:
                self.extend(order["UntilMs"])
            if order.get("WaitMs") and not self.ended:
                try:
                    await asyncio.wait_for(self.end_event.wait(),
                                           order["WaitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            rows = [[task, run["run"], "", 50, 0]
                    for task, run in self.running.items()]
            return self.answer(200, Running=rows, EndedRuns=self.ended[:500])
        return self.answer(404)


class Cloud:
    """The machine service; its machines stay as they are."""

    def __init__(self, runners):
        self.runners = runners
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        if path == "/machines":
            return 200, {"Machines": [
                {"Machine": r.machine, "Pool": r.service, "State": "up",
                 "Zone": "north", "Labels": r.labels, "Capacity": r.capacity,
                 "Id": r.ident} for r in self.runners], "NextToken": None}
        return 503, {}


def deploy_command():
    """The command of the deploy file, as a list of words."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.split('"')[1].split()
    raise RuntimeError("deploy/system.toml has no command")


class Node:
    """One process of the project, with the settings of a small deployment."""

    def __init__(self, record, folder, name, store_port, cloud_port,
                 status_s=120):
        self.record, self.folder, self.name = record, folder, name
        self.front, self.ready, self.control, self.peers = (
            free_port() for _ in range(4))
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.settings.write_text(SETTINGS.format(
            name=name, front=self.front, ready=self.ready,
            control=self.control, peers=self.peers, store=store_port,
            cloud=cloud_port, status_s=status_s))
        self.process = None
        self.starts = 0
        self.keep_stderr = True

    async def start(self):
        self.starts += 1
        command = deploy_command()
        command[0] = str(ROOT / command[0])
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log if self.keep_stderr
            else asyncio.subprocess.DEVNULL,
            preexec_fn=self.limit_descriptors,
            env={"PATH": os.environ.get("PATH", ""),
                 "COLTSFOOTSHED_NODE_FILE": str(self.settings)})
        log.close()
        self.record(f"node {self.name} starts")

    @staticmethod
    def limit_descriptors():
        """Sets Limits.MaxFds, as the platform does."""
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        limit = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def peak_mb(self):
        """Returns the most memory that the process has had."""
        return self.status_mb("VmHWM:")

    def rss_mb(self):
        return self.status_mb("VmRSS:")

    def status_mb(self, field):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1024
        return 0

    def log(self):
        path = pathlib.Path(self.folder) / f"{self.name}.log"
        return path.read_text(errors="replace")


async def call(port, method, target, document=None, timeout=3.0, host="q.example"):
    """One client call on a connection of its own. Returns (code, object), or
    (0, None) if no complete answer came in time."""
    body = b"" if document is None else json.dumps(document).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(
                (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                 f"Coltsfootshed-Deadline-Ms: {int(timeout * 1000)}\r\n"
                 f"Content-Type: application/json\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            code = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            data = await reader.readexactly(length) if length else b""
            try:
                return code, json.loads(data) if data else None
            except ValueError:
                return code, None
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


async def until(condition, seconds, step=0.05):
    """Waits until condition() is true; returns whether it became so."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(step)
    return bool(condition())


async def until_ready(nodes, seconds=15):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        codes = [(await call(n.ready, "GET", "/ready", timeout=1))[0]
                 for n in nodes]
        if all(code == 200 for code in codes):
            return True
        await asyncio.sleep(0.2)
    return False


def queue(name, prefix, service, attempts=3):
    return {"Name": name, "Host": "q.example", "Prefix": prefix,
            "Kind": "non_idempotent", "TimeoutMs": 3000,
            "TargetLatencyMs": 600, "Priority": 0, "Service": service,
            "MaxAttempts": attempts, "Stretch": 1.6}


def job_id():
    return "".join(random.choice("0123456789abcdef") for _ in range(16))


SETTINGS = """\
Node = "{name}"
Role = "entry"
Class = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = "north"
Region = "prairies"
PortRange = [{peers},{peers}]
Seeds = []
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Orders = "rpc"
[Zones]
north = "prairies"
[Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
Control = "127.0.0.1:{control}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
RecoveryS = 12
MaxHoldMs = 10000
StopMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {status_s}
FarX = 1.5
CheckpointS = 1
RestoreMs = 600
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
RequireFence = true
LeaseMs = 3000
ThawSlackMs = 300
PaceMs = 100
HarmMs = 4000
[platform]
Addr = "127.0.0.1:{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
[Cloud]
Addr = "127.0.0.1:{cloud}"
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
"""


class World:
    """Store, machine service, runners and nodes of one case."""

    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.runners = []
        self.nodes = []
        self.cloud = Cloud(self.runners)

    async def start(self, services, runners, nodes, routes, status_s=120,
                    spare=None, keep_stderr=True):
        """services: names; runners: (service, count, capacity); routes: rows of
        the configuration; status_s: the bound of that name; spare: name of the
        spare pool, if there is one; keep_stderr: whether the nodes' error
        output is kept."""
        await self.store.start()
        await self.cloud.http.start()
        for service, count, capacity in runners:
            for _ in range(count):
                number = len(self.runners) + 1
                runner = Runner(self.record, self.store, f"i-{number:04x}",
                                service, f"m-{number:04x}", capacity)
                self.runners.append(runner)
                await runner.start()
        await self.store.put("op/config", {
            "Version": 7, "Routes": routes,
            "Services": [{"Name": s, "EnforcesCapacity": False}
                         for s in services] +
                        ([{"Name": spare, "EnforcesCapacity": False,
                           "Spare": True}] if spare else []), "Limits": {}})
        for number in range(nodes):
            self.nodes.append(await self.start_node(
                f"front-north-{number + 1}", status_s, keep_stderr))
        return await until_ready(self.nodes)

    async def start_node(self, name, status_s, keep_stderr):
        """Starts a node; again with other ports if one was taken meanwhile."""
        for _ in range(5):
            node = Node(self.record, self.folder, name, self.store.http.port,
                        self.cloud.http.port, status_s)
            node.keep_stderr = keep_stderr
            await node.start()
            await asyncio.sleep(0.2)
            if node.process.returncode is None:
                break
        return node

    async def stop(self):
        for node in self.nodes:
            node.kill()
            if node.process is not None:
                await node.process.wait()

    def leader(self, duty):
        """The node whose name stands under the duty's key in the store. Used
        only to report who was hit, never to judge."""
        value = self.store.read("cf/n/lead/" + duty)
        return next((n for n in self.nodes if n.name == value), None)


def run_case(main):
    """Runs main(world, trouble) and exits with its result: 0 held, 1 broken, 2
    could not run."""
    folder = pathlib.Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"TROUBLE={1 if trouble else 0}")

    async def bounded(work):
        world = World(record, work)
        try:
            return await asyncio.wait_for(main(world, trouble), 110)
        except asyncio.TimeoutError:
            record("the case took too long")
            return 2
        except Exception as failure:  # the case could not run
            record(f"could not run: {failure!r}")
            return 2
        finally:
            await world.stop()

    with tempfile.TemporaryDirectory(prefix="review-") as work:
        code = asyncio.run(bounded(work))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in pathlib.Path(work).glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    record(f"exit {code}")
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
