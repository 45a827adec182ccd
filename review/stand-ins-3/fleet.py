"""Stand-ins for the platform, written from PROTOCOL and DEPLOY: the metadata
store, the cloud that moves and maintains machines, runners and clients. Also
starts and signals the entry VMs under test. Loopback addresses only.

All stand-ins run in one event loop. A scenario sets the hooks of a stand-in to
delay or drop answers, and reads the record that they keep.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import zlib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NO_ANSWER = object()  # a handler returns this to close the connection instead


def now_ms():
    return time.monotonic() * 1000


given_ports = set()


def free_ports(count):
    """Returns ports that are free now, below those that the system gives to
    outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            ports.append(port)
    return ports


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, path):
        self.began = now_ms()
        self.file = open(path, "w", buffering=1)

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{(now_ms() - self.began) / 1000:8.3f} {what} {text}\n")


class HttpServer:
    """Serves HTTP/1.1 with keep-alive. handle(method, path, query, headers,
    body) returns (status, document), or NO_ANSWER."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, HOST, port)

    def stop(self):
        """Closes the port and all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                parts = urlsplit(target)
                query = {name: values[0]
                         for name, values in parse_qs(parts.query).items()}
                document = json.loads(body) if body else {}
                answer = await self.handle(
                    method, unquote(parts.path), query, headers, document)
                if answer is NO_ANSWER:
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Store:
    """The platform's metadata store. Nothing that it acknowledged is lost."""

    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.leases = {}  # id: [TTL in ms, end]
        self.last_lease = 70000
        self.renewed_at = {}  # lease: time of the last renewal
        self.before_answer = None  # async hook (path, body, answer)
        self.port = free_ports(1)[0]
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start(self.port)
        self.expiry = asyncio.ensure_future(self.expire())

    def view(self, key):
        value, revision, created, lease = self.items[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(),
                "Rev": revision, "Created": created, "Lease": lease}

    def text(self, key):
        return self.items[key][0].decode() if key in self.items else None

    def apply(self, puts, deletes):
        """Makes one change. puts has rows of key, value and lease."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.events.append((self.revision, self.view(key)))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, {
                    "Key": key, "Rev": self.revision, "Deleted": True}))
        asyncio.ensure_future(self.notify())

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, document):
        """Writes as the operator or a runner."""
        value = document if isinstance(document, bytes) \
            else json.dumps(document).encode()
        self.apply([(key, value, 0)], [])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.apply([], keys)

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            for lease, (_, end) in list(self.leases.items()):
                if now_ms() >= end:
                    self.record("store-lease-expired", lease=lease)
                    self.end_lease(lease)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.ANSWER_S / 2)
        answer = await self.act(method, path, query, body)
        if self.before_answer is not None:
            await self.before_answer(path, body, answer)
        await asyncio.sleep(self.ANSWER_S / 2)
        return answer

    async def act(self, method, path, query, body):
        if path == "/kv-key":
            key = query["Key"]
            if key not in self.items:
                return 404, {"AsOf": self.revision}
            return 200, dict(self.view(key), AsOf=self.revision)
        if path == "/kv-range":
            prefix, after = query["Prefix"], query.get("After", "")
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > after)
            return 200, {"items": [self.view(key) for key in keys[:500]],
                         "HasMore": len(keys) > 500, "AsOf": self.revision}
        if path == "/kv-watch":
            return await self.watch(query["Prefix"], int(query["After"]),
                                    int(query["WaitMs"]))
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = [body["TtlMs"],
                                            now_ms() + body["TtlMs"]]
            return 200, {"Lease": self.last_lease, "TtlMs": body["TtlMs"]}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = now_ms() + ttl
            self.renewed_at[lease] = now_ms()
            return 200, {"TtlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = now_ms() + wait

        def found():
            return [event for revision, event in self.events
                    if revision > after and event["Key"].startswith(prefix)]

        async with self.changed:
            while not found() and now_ms() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           (end - now_ms()) / 1000)
                except asyncio.TimeoutError:
                    break
        return 200, {"events": found(), "AsOf": self.revision}

    def transact(self, body):
        puts, deletes = body.get("Puts", []), body.get("Deletes", [])
        for put in puts:
            if put.get("Lease", 0) and put["Lease"] not in self.leases:
                return 404, {}
        conditions = body.get("ExpectRev", [])
        holds = all((self.items[row["Key"]][1] if row["Key"] in self.items
                     else 0) == row["Rev"] for row in conditions)
        if not holds:
            return 412, {"items": [
                self.view(row["Key"]) if row["Key"] in self.items
                else {"Key": row["Key"], "Rev": 0} for row in conditions]}
        self.apply([(put["Key"], base64.b64decode(put["Value"]),
                     put.get("Lease", 0)) for put in puts], deletes)
        return 200, {"Rev": self.revision}


class Runner:
    """One life of a machine that runs tasks. The payload of a job tells how
    long its tasks work, as "ms=800"; a long-running task has no end."""

    def __init__(self, platform, machine, service, runner_id=None, port=None):
        self.platform = platform
        self.record = platform.record
        self.machine = machine
        self.service = service
        self.id = runner_id or f"i-{random.randrange(16 ** 8):08x}"
        self.port = port or free_ports(1)[0]
        self.born = int(time.time() * 1000)
        self.zero = now_ms() - random.randrange(1000, 5000)
        self.runs = {}    # task: dict of its run
        self.highest = {} # task: highest run that was stopped or has ended
        self.ended = []
        self.end_count = 0
        self.fence = 0
        self.sequence = 0
        self.until = 0
        self.draining = False
        self.is_up = False
        self.on_call = None  # async hook (path, body); True: leave unanswered
        self.ended_event = asyncio.Condition()
        self.http = HttpServer(self.handle)
        self.tasks = []

    async def start(self):
        await self.http.start(self.port)
        self.is_up = True
        self.tasks = [asyncio.ensure_future(self.beat()),
                      asyncio.ensure_future(self.work())]
        self.platform.runners.append(self)
        self.record("runner-up", id=self.id, machine=self.machine.name,
                    service=self.service, born=self.born,
                    labels=",".join(self.machine.labels))

    def stop(self, entry="removed"):
        """Ends at once. The entry is removed, or left to expire."""
        self.is_up = False
        self.http.stop()
        for task in self.tasks:
            task.cancel()
        for task, run in self.runs.items():
            self.record("run-lost", task=task, run=run["run"], runner=self.id)
        self.runs = {}
        self.platform.runners.remove(self)
        if entry == "removed":
            self.platform.store.apply([], [f"servers/{self.id}"])
        self.record("runner-down", id=self.id)

    def clock(self):
        return int(now_ms() - self.zero)

    def entry(self):
        self.sequence += 1
        return {"Service": self.service, "Addr": f"{HOST}:{self.port}",
                "Zone": "z1", "Version": "v1", "Slots": 8,
                "State": "draining" if self.draining else "ready",
                "ColdLeftMs": 0, "Capacity": self.machine.capacity,
                "Labels": list(self.machine.labels), "Machine": self.machine.name,
                "born": self.born, "ClockMs": self.clock(), "Seq": self.sequence}

    async def beat(self):
        while True:
            self.platform.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(self.platform.HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            clock = self.clock()
            for task, run in list(self.runs.items()):
                if run["stop_at"] is not None and clock >= run["stop_at"]:
                    await self.end(task, "stopped")
                elif clock >= self.until:
                    await self.end(task, "lapsed")
                elif run["lasts"] is not None and \
                        clock >= run["began"] + run["lasts"]:
                    await self.end(task, "done")

    async def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.end_count += 1
        self.ended.append([self.end_count, task, run["run"], how, ""])
        self.record("run-ended", task=task, run=run["run"], runner=self.id,
                    how=how)
        self.platform.on_end(self, task, run["run"], how)
        async with self.ended_event:
            self.ended_event.notify_all()

    def refuse(self, reason):
        return 409, {"ClockMs": self.clock(), "Reason": reason}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.001)
        instance = headers.get("coltsfootshed-target-instance")
        if path == "/health":
            return 200, {}
        if instance != self.id:
            return 421, {"ClockMs": self.clock()}
        if self.on_call is not None and await self.on_call(path, body):
            return NO_ANSWER
        return await self.act(path, body)

    async def act(self, path, body):
        fence = body.get("Fence", 0)
        if fence < self.fence:
            if path != "/hold":
                self.record("order-refused", path=path, runner=self.id,
                            task=body.get("Task"), run=body.get("Run"),
                            reason="fence")
            return self.refuse("fence")
        self.fence = fence
        if path == "/hold":
            return await self.hold(body)
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            task, number = body["Task"], body["Run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.runs.get(task)
            if run is not None and run["run"] == number:
                run["stop_at"] = self.clock() + self.platform.STOP_MS
            return 200, {"ClockMs": self.clock()}
        if path == "/pace":
            self.record("pace", task=body["Task"], percent=body["Percent"],
                        runner=self.id)
            return 200, {"ClockMs": self.clock()}
        return 404, {}

    def extend(self, until):
        if until is not None:
            longest = self.clock() + self.platform.MAX_HOLD_MS
            self.until = max(self.until, min(until, longest))

    async def hold(self, body):
        self.extend(body.get("UntilMs"))
        self.ended = [end for end in self.ended if end[0] > body["LastSeen"]]
        if body.get("WaitMs") and not self.ended:
            async with self.ended_event:
                try:
                    await asyncio.wait_for(self.ended_event.wait(),
                                           body["WaitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
        clock = self.clock()
        running = [[task, run["run"], "",
                    100 if run["lasts"] is None and clock - run["began"] > 200
                    else 0 if run["lasts"] is None
                    else int(100 * (clock - run["began"]) / run["lasts"]),
                    self.platform.metric(self, task)]
                   for task, run in self.runs.items()]
        return 200, {"ClockMs": clock, "born": self.born, "Running": running,
                     "EndedRuns": self.ended[:500]}

    def run_start(self, body):
        task, number = body["Task"], body["Run"]
        present = self.runs.get(task)
        if present is not None and present["run"] == number:
            return 200, {"ClockMs": self.clock()}
        if number <= self.highest.get(task, 0) or present is not None:
            self.extend(body["UntilMs"])
            return self.refuse("old")
        if body["UntilMs"] <= self.clock():
            return self.refuse("late")
        if not self.platform.has_ticket(self, body):
            self.extend(body["UntilMs"])
            return self.refuse("ticket")
        self.extend(body["UntilMs"])
        lasts = re.search(r"ms=(\d+)", body["Spec"])
        self.runs[task] = {"run": number, "began": self.clock(),
                           "lasts": int(lasts.group(1)) if lasts else None,
                           "stop_at": None}
        self.record("run-began", task=task, run=number, runner=self.id,
                    service=self.service,
                    labels=",".join(self.machine.labels), fence=body["Fence"])
        self.platform.on_start(self, task, number, body)
        return 200, {"ClockMs": self.clock()}


class Machine:
    def __init__(self, name, pool, labels, capacity):
        self.name = name
        self.pool = pool
        self.labels = labels
        self.capacity = capacity
        self.state = "up"
        self.runner = None
        self.fence = 0
        self.upkeeps = set()  # waves whose upkeep has begun


class Cloud:
    """Moves and maintains machines."""

    MOVE_S = 1.5
    UPKEEP_S = 2.0

    def __init__(self, platform):
        self.platform = platform
        self.record = platform.record
        self.machines = {}
        self.on_order = None  # async hook (path, headers, body); True: no answer
        self.port = free_ports(1)[0]
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.0018)
        if path == "/machines":
            return 200, {"Machines": [
                {"Machine": machine.name, "Pool": machine.pool,
                 "State": machine.state, "Zone": "z1",
                 "Labels": list(machine.labels), "Capacity": machine.capacity,
                 "Id": machine.runner.id if machine.runner else None}
                for machine in self.machines.values()], "NextToken": None}
        self.record("cloud-called", path=path, machine=body.get("Machine"),
                    wave=body.get("Wave"), pool=body.get("Pool"),
                    holder=headers.get("coltsfootshed-holder"),
                    token=headers.get("coltsfootshed-fence-token"))
        if self.on_order is not None and \
                await self.on_order(path, headers, body):
            return NO_ANSWER
        return self.order(path, headers, body)

    def order(self, path, headers, body):
        answer = self.decide(path, headers, body)
        self.record("cloud-did", path=path, machine=body.get("Machine"),
                    holder=headers.get("coltsfootshed-holder"),
                    token=headers.get("coltsfootshed-fence-token"),
                    answer=f"{answer[0]}{answer[1].get('Reason', '')}")
        return answer

    def decide(self, path, headers, body):
        machine = self.machines.get(body.get("Machine"))
        if machine is None:
            return 400, {}
        token = int(headers.get("coltsfootshed-fence-token", "0"))
        if token < machine.fence:
            return 409, {"Reason": "fence"}
        machine.fence = token
        if path == "/machine-upkeep":
            wave = self.platform.waves.get(body["Wave"])
            if wave is None or machine.name not in wave["Machines"]:
                return 409, {"Reason": "wave"}
            if body["Wave"] in machine.upkeeps:
                return 200, {}
            if machine.state != "up":
                return 409, {"Reason": "busy"}
            machine.upkeeps.add(body["Wave"])
            self.platform.on_upkeep(machine, body["Wave"])
            asyncio.ensure_future(
                self.take_away(machine, "upkeep", machine.pool, self.UPKEEP_S))
            return 200, {}
        if machine.pool == body["Pool"]:
            return 200, {}
        if machine.state != "up":
            return 409, {"Reason": "busy"}
        asyncio.ensure_future(
            self.take_away(machine, "moving", body["Pool"], self.MOVE_S))
        return 200, {}

    async def take_away(self, machine, state, pool, seconds):
        machine.state = state
        machine.pool = pool
        if machine.runner is not None:
            machine.runner.stop()
            machine.runner = None
        await asyncio.sleep(seconds)
        machine.state = "up"
        await self.platform.add_runner(machine)


class Platform:
    HEARTBEAT_S = 1.5
    STOP_MS = 100
    MAX_HOLD_MS = 10000

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.runners = []
        self.waves = {}
        # Recent tail latency of a task that serves, or processor time in use.
        self.metric = lambda runner, task: 0
        self.has_ticket = lambda runner, body: True
        self.advice_port = None
        self.cloud = Cloud(self)
        self.spare = None
        self.upkeep_listeners = []
        self.start_listeners = []
        self.end_listeners = []

    async def start(self):
        await self.store.start()
        await self.cloud.http.start(self.cloud.port)

    async def add_runner(self, machine, **options):
        if machine.pool == self.spare:
            return
        machine.runner = Runner(self, machine, machine.pool, **options)
        await machine.runner.start()

    async def add_machine(self, name, pool, labels=("a", "r1"),
                          capacity=None):
        machine = Machine(name, pool, labels,
                          capacity or {"Cpu": 8000, "MemMb": 32768, "Gpu": 0})
        self.cloud.machines[name] = machine
        await self.add_runner(machine)
        return machine

    def put_wave(self, number, machines, duration, cap):
        self.waves[number] = {"Wave": number, "Machines": machines,
                              "DurationS": duration, "Cap": cap}
        self.store.put(f"op/wave/{number}", self.waves[number])
        self.record("wave", number=number, machines=",".join(machines), cap=cap)

    def on_upkeep(self, machine, wave):
        for listener in self.upkeep_listeners:
            listener(machine, wave)

    def on_start(self, runner, task, run, body):
        for listener in self.start_listeners:
            listener(runner, task, run, body)

    def on_end(self, runner, task, run, how):
        for listener in self.end_listeners:
            listener(runner, task, run, how)


class AdviceService:
    """Knows which runners may run a step: about half of them. Handles one call
    at a time, in turn."""

    DECIDE_S = 0.05
    EACH_S = 0.01
    VALID_MS = 3000
    MOST_WAITING = 32

    def __init__(self, platform):
        self.platform = platform
        self.turn = asyncio.Lock()
        self.waiting = 0
        self.tickets = {}  # step and runner: ticket and the end of its validity
        self.port = free_ports(1)[0]
        self.http = HttpServer(self.handle)
        platform.advice_port = self.port
        platform.has_ticket = self.has_ticket

    async def start(self):
        await self.http.start(self.port)

    def has_ticket(self, runner, body):
        step = body["Task"].rsplit(".", 1)[0]
        ticket, end = self.tickets.get((step, runner.id), (None, 0))
        return ticket is not None and body.get("Ticket") == ticket and \
            now_ms() < end

    async def handle(self, method, path, query, headers, body):
        step, workers = body["Step"], body["Workers"]
        if self.waiting >= self.MOST_WAITING:
            self.platform.record("advice-refused", step=step)
            return 429, {}
        self.waiting += 1
        asked = now_ms()
        async with self.turn:
            self.waiting -= 1
            await asyncio.sleep(self.DECIDE_S + self.EACH_S * len(workers))
        granted = []
        for worker in workers:
            if zlib.crc32(f"{step}/{worker}".encode()) % 2 == 0:
                ticket = f"{random.randrange(16 ** 12):012x}"
                self.tickets[step, worker] = (ticket, now_ms() + self.VALID_MS)
                granted.append([worker, ticket])
        self.platform.record("advice-given", step=step, workers=len(workers),
                             granted=len(granted),
                             after_ms=int(now_ms() - asked))
        return 200, {"Granted": granted, "ValidMs": self.VALID_MS}


class EntryVm:
    """A process under test, started with the command of the deploy file."""

    def __init__(self, platform, name, folder, cloud=True, bounds=None):
        self.platform = platform
        self.name = name
        self.folder = folder
        self.cloud = cloud
        self.bounds = bounds or {}
        self.front, self.ready, self.control, self.peers = free_ports(4)
        self.store_port = platform.store.port
        self.process = None

    def settings(self):
        bounds = {"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000,
                  "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6,
                  "LossSlackMs": 200, "ConfigMs": 2000,
                  "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RecoveryS": 12,
                  "MaxHoldMs": self.platform.MAX_HOLD_MS, "StopMs": 900,
                  "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                  "early_ms": 250, "finish_s": 14, "status_s": 120,
                  "FarX": 1.5, "CheckpointS": 1, "RestoreMs": 600,
                  "NoticeMs": 4500, "MoveS": 1.5, "UpkeepS": 2,
                  "RequireFence": True, "LeaseMs": 3000, "ThawSlackMs": 300,
                  "PaceMs": 100, "HarmMs": 4000}
        bounds.update(self.bounds)
        lines = [f'Node = "{self.name}"', 'Role = "entry"', 'Class = "front"',
                 'Serves = ["front"]', f'Ip = "{HOST}"', 'Zone = "z1"',
                 'Region = "r"', f"PortRange = [{self.peers},{self.peers}]",
                 "Seeds = []", "Bootstrap = true", "HeartbeatMs = 1500",
                 'Orders = "rpc"'] + (
                     [f'Advice = "{HOST}:{self.platform.advice_port}"']
                     if self.platform.advice_port else []) + [
                 "[Zones]", 'z1 = "r"', "[Listen]",
                 f'Front = "{HOST}:{self.front}"',
                 f'Ready = "{HOST}:{self.ready}"',
                 f'Control = "{HOST}:{self.control}"',
                 "[Limits]", "CpuShare = 0.25", "Cores = 1", "MemoryMb = 260",
                 "MaxFds = 4100", "LinkMbps = 1000.0", "DiskMb = 0", "[Bounds]"]
        lines += [f"{name} = {json.dumps(value)}"
                  for name, value in bounds.items()]
        lines += ["[platform]", f'Addr = "{HOST}:{self.store_port}"',
                  'form = "kv"', "WritesPerS = 400", "ReadsPerS = 2000",
                  "HistoryS = 20", "ValueBytes = 1048576", "MinTtlMs = 1000"]
        if self.cloud:
            lines += ["[Cloud]", f'Addr = "{HOST}:{self.platform.cloud.port}"',
                      "RatePerS = 64.0", "Duties = []", "DutyPerS = 64.0"]
        return "\n".join(lines) + "\n"

    async def start(self):
        path = pathlib.Path(self.folder) / f"{self.name}.toml"
        path.write_text(self.settings())
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        command = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split()
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                 "HOME": str(self.folder),
                 "COLTSFOOTSHED_NODE_FILE": str(path)})
        self.platform.record("vm-started", name=self.name,
                             pid=self.process.pid)

    def signal(self, number):
        self.platform.record("vm-signal", name=self.name,
                             signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def restart(self, delay=0.5):
        """Kills the process and starts it again, as the platform does."""
        self.signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(delay)
        await self.start()

    async def call(self, method, path, host, document=None, timeout=3.0,
                   headers=None):
        """Sends a request as a client. Returns the status, 0 for no answer,
        and the document."""
        status, answer = 0, None
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, self.front), timeout)
            body = json.dumps(document).encode() if document is not None else b""
            extra = "".join(f"{name}: {value}\r\n"
                            for name, value in (headers or {}).items())
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"Content-Type: application/json\r\n{extra}"
                f"Coltsfootshed-Deadline-Ms: {int(timeout * 1000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)
            status = int(head.split(b" ", 2)[1])
            length = re.search(rb"content-length: *(\d+)", head.lower())
            data = await asyncio.wait_for(
                reader.readexactly(int(length.group(1))), timeout) \
                if length else b""
            answer = json.loads(data) if data else None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.platform.record("client", vm=self.name, method=method, path=path,
                             status=status, answer=json.dumps(answer))
        return status, answer


class World:
    """Platform and entry VMs of one scenario; ends all that it started."""

    def __init__(self, case_folder):
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.platform = Platform(self.record)
        self.vms = []

    async def add_vms(self, count, **options):
        for i in range(count):
            vm = EntryVm(self.platform, f"vm-{i + 1}", self.folder, **options)
            self.vms.append(vm)
            await vm.start()

    def leader(self, duty):
        """Returns the entry VM that leads a duty, or None."""
        name = self.platform.store.text(f"cf/n/lead/{duty}")
        return next((vm for vm in self.vms if vm.name == name), None)

    async def until(self, condition, timeout, what):
        end = now_ms() + timeout * 1000
        while not condition():
            if now_ms() > end:
                raise CannotRun(f"waited {timeout} s for {what}")
            await asyncio.sleep(0.02)

    async def close(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                await vm.process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record("logs", folder=self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def run(case_folder, scenario):
    """Runs scenario(world), which returns a text if the rule was broken, and
    exits with 1 if so, 0 if it held and 2 if the case could not run."""

    async def play():
        world = World(case_folder)
        try:
            await world.platform.start()
            return await asyncio.wait_for(scenario(world), 110)
        finally:
            await world.close()

    try:
        broken = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        print(f"could not run: {failure!r}")
        sys.exit(2)
    print(f"BROKEN: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
