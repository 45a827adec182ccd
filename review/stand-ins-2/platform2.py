"""Stand-ins for review cases 6 and later: the platform's store, runners, the
service that moves machines, and clients, all within one process on loopback
addresses. They follow PROTOCOL; each departure that a case needs (a cut link, a
lost answer) is switched on by the case itself.

A case builds a Deployment, starts entry VMs with the command of the deploy file,
and reads what the stand-ins saw from the record.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent


def now_ms():
    return int(time.monotonic() * 1000)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(map(str, words))
        self.file.write(line + "\n")
        self.file.flush()


PORTS = range(12000, 32000)  # below those that the kernel gives to clients
taken_ports = set()


def free_port():
    for _ in range(1000):
        port = random.choice(PORTS)
        if port in taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken_ports.add(port)
        return port
    raise CannotRun("no free port")


class Silent(Exception):
    """The request gets no answer, now or later."""


async def serve_http(handler, port=0, connections=None):
    """Serves HTTP/1.1 with keep-alive. handler(method, target, headers, body)
    returns (code, object or None) or raises Silent. connections, if given, is
    kept as the set of open connections."""

    async def connection(reader, writer):
        if connections is not None:
            connections.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line.strip():
                    return
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while True:
                    field = (await reader.readline()).decode("latin-1").strip()
                    if not field:
                        break
                    name, _, value = field.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = b""
                if int(headers.get("content-length", 0)) > 0:
                    body = await reader.readexactly(int(headers["content-length"]))
                try:
                    code, answer = await handler(method, target, headers, body)
                except Silent:
                    # A cut link: nothing more passes on this connection.
                    await reader.read()
                    return
                text = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {code} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if connections is not None:
                connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's metadata store. Each entry VM has a link of its own, which
    a case can cut."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}      # key -> dict(Key, Value, Rev, Created, Lease)
        self.history = []    # (rev, event)
        self.leases = {}     # id -> [ttl_ms, expires]
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.cut = set()     # names of links
        self.after_txn = None  # called as (link, body, answer) before the answer
        self.writers = {}    # key -> link that wrote it last

    async def listen(self, link):
        async def handler(method, target, headers, body):
            return await self.serve(link, method, target, body)
        _, port = await serve_http(handler)
        return port

    # What the operator and the runners write.
    def put(self, key, value, lease=0):
        if not isinstance(value, (str, bytes)):
            value = json.dumps(value)
        raw = value.encode() if isinstance(value, str) else value
        return self._apply([(key, base64.b64encode(raw).decode(), lease)], [])

    def delete(self, key):
        if key in self.items:
            self._apply([], [key])

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["Value"]).decode()

    def _apply(self, puts, deletes):
        self.revision += 1
        rev = self.revision
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {"Key": key, "Value": value, "Rev": rev,
                    "Created": old["Created"] if old else rev, "Lease": lease}
            self.items[key] = item
            self.history.append((rev, dict(item)))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append((rev, {"Key": key, "Rev": rev, "Deleted": True}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return rev

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            for lease in [l for l, (_, end) in self.leases.items() if end <= now_ms()]:
                self._end_lease(lease, "expired")

    def _end_lease(self, lease, why):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, i in self.items.items() if i["Lease"] == lease]
        self.record("store: lease", lease, why, "keys", *keys)
        if keys:
            self._apply([], keys)
        return True

    async def serve(self, link, method, target, body):
        if link in self.cut:
            raise Silent()
        code, answer = await self._serve(link, method, target, body)
        if link in self.cut:
            raise Silent()
        return code, answer

    async def _serve(self, link, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"AsOf": self.revision}
            return 200, dict(item, AsOf=self.revision)
        if url.path == "/kv-range":
            after = query.get("After", "")
            keys = sorted(k for k in self.items
                          if k.startswith(query["Prefix"]) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "HasMore": len(keys) > 500, "AsOf": self.revision}
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-txn":
            data = json.loads(body)
            code, answer = self._txn(link, data)
            if self.after_txn:
                await self.after_txn(link, data, code)
            return code, answer
        if url.path == "/kv-lease":
            ttl = json.loads(body)["TtlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, now_ms() + ttl]
            self.record("store: lease", self.next_lease, "granted to", link)
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        if url.path.startswith("/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = now_ms() + ttl
            return 200, {"TtlMs": ttl}
        if url.path.startswith("/kv-lease-end/"):
            lease = int(url.path.rsplit("/", 1)[1])
            return (200, {}) if self._end_lease(lease, "ended by " + link) else (404, {})
        return 404, {}

    async def _watch(self, query):
        prefix, after = query["Prefix"], int(query["After"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            events = [e for rev, e in self.history
                      if rev > after and e["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, link, data):
        absent = {"Rev": 0, "Value": "", "Created": 0, "Lease": 0}
        conditions = data.get("ExpectRev", [])
        current = [self.items.get(c["Key"], dict(absent, Key=c["Key"]))
                   for c in conditions]
        if any(i["Rev"] != c["Rev"] for i, c in zip(current, conditions)):
            return 412, {"items": current}
        puts = data.get("Puts", [])
        if any(p.get("Lease", 0) and p["Lease"] not in self.leases for p in puts):
            return 404, {}
        rev = self._apply([(p["Key"], p["Value"], p.get("Lease", 0)) for p in puts],
                          data.get("Deletes", []))
        for put in puts:
            self.writers[put["Key"]] = link
            if put["Key"].startswith("cf/n/lead/"):
                self.record("store:", link, "writes", put["Key"], "rev", rev,
                            "value", base64.b64decode(put["Value"]).decode())
        return 200, {"Rev": rev}


class Runner:
    """One life of a runner's machine. work maps a task's name to the ms that a
    run of it takes (None: it lasts)."""

    def __init__(self, deployment, runner_id, service, machine, **options):
        self.deployment = deployment
        self.record = deployment.record
        self.id, self.service, self.machine = runner_id, service, machine
        self.capacity = options.get("capacity", {"Cpu": 4000, "MemMb": 16384, "Gpu": 0})
        self.labels = options.get("labels", ["a", "r1-1"])
        self.zone = options.get("zone", "z1")
        self.work = options.get("work", lambda task: 1000)
        self.port = 0
        self.server = None
        self.heartbeat = None
        self.cut_for = None  # returns true for a body whose sender is cut off

    async def start(self):
        self.born = int(time.time() * 1000)
        self.begin = now_ms()
        self.fence = 0
        self.seq = 0
        self.running = {}  # (task, run) -> dict(at, spec)
        self.ended = []    # [N, task, run, how, saved]
        self.end_count = 0
        self.lease_until = None
        self.refused = {}  # task -> highest run stopped or ended here
        self.end_event = asyncio.Event()
        self.up = True
        self.connections = set()
        self.server, self.port = await serve_http(self.serve, self.port,
                                                  self.connections)
        self.ticker = asyncio.ensure_future(self._tick())
        self.record("runner", self.id, "starts, born", self.born, "capacity",
                    self.capacity["Cpu"], "labels", *self.labels)

    def crash(self):
        """SIGKILL: what runs here is gone, and nothing is said."""
        self.record("runner", self.id, "crashes with", len(self.running), "runs")
        self.up = False
        self.running.clear()
        self.ticker.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self):
        return {"Service": self.service, "Addr": f"127.0.0.1:{self.port}",
                "Zone": self.zone, "Version": "v1", "Slots": 8, "State": "ready",
                "ColdLeftMs": 0, "Capacity": self.capacity, "Labels": self.labels,
                "Machine": self.machine, "ClockMs": self.clock(), "Seq": self.seq,
                "born": self.born}

    def register(self):
        self.seq += 1
        self.record("runner", self.id, "registers, born", self.born)
        self.deployment.store.put("servers/" + self.id, self.entry())

    def clock(self):
        return now_ms() - self.begin + 1000

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            for (task, run), state in list(self.running.items()):
                takes = self.work(task)
                if state["stop"] is not None and now_ms() >= state["stop"]:
                    self._end(task, run, "stopped")
                elif takes is not None and now_ms() - state["at"] >= takes:
                    self._end(task, run, "done")
            if self.running and self.lease_until is not None and \
                    self.clock() > self.lease_until:
                for task, run in list(self.running):
                    self._end(task, run, "lapsed")

    def _end(self, task, run, how):
        del self.running[(task, run)]
        self.refused[task] = max(self.refused.get(task, 0), run)
        self.end_count += 1
        self.ended.append([self.end_count, task, run, how, ""])
        self.record("run", task, run, "ends", how, "on", self.id)
        self.deployment.on_end(self, task, run, how)
        event, self.end_event = self.end_event, asyncio.Event()
        event.set()

    def _until(self, data):
        if data.get("UntilMs"):
            until = min(data["UntilMs"], self.clock() +
                        self.deployment.bounds["MaxHoldMs"])
            self.lease_until = max(self.lease_until or 0, until)

    async def serve(self, method, target, headers, body):
        if target == "/health":
            return 200, None
        data = json.loads(body)
        if self.cut_for is not None and self.cut_for(data):
            raise Silent()
        if not self.up:
            raise Silent()
        if headers.get("coltsfootshed-target-instance") != self.id:
            return 421, {}
        fence = data.get("Fence", 0)
        if fence < self.fence:
            self.record("runner", self.id, "refuses", target, "fence", fence,
                        "below", self.fence)
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.fence = fence
        if target == "/run-start":
            return self._start(data)
        if target == "/run-stop":
            key = (data["Task"], data["Run"])
            if key in self.running:
                if self.running[key]["stop"] is None:
                    self.running[key]["stop"] = now_ms() + 50
            else:
                self.refused[data["Task"]] = max(
                    self.refused.get(data["Task"], 0), data["Run"])
            return 200, {"ClockMs": self.clock()}
        if target == "/pace":
            return 200, {"ClockMs": self.clock()}
        if target == "/hold":
            self.ended = [e for e in self.ended if e[0] > data.get("LastSeen", 0)]
            self._until(data)
            end = time.monotonic() + min(2000, data.get("WaitMs", 0)) / 1000
            while not self.ended and time.monotonic() < end and self.up:
                try:
                    await asyncio.wait_for(self.end_event.wait(),
                                           max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            if not self.up or (self.cut_for is not None and self.cut_for(data)):
                raise Silent()
            return 200, {
                "ClockMs": self.clock(), "born": self.born,
                "Running": [[t, r, "", self._percent(s), 0]
                            for (t, r), s in self.running.items()],
                "EndedRuns": self.ended[:500]}
        return 404, {}

    def _percent(self, state):
        return 100 if now_ms() - state["at"] > 300 else 10

    def _start(self, data):
        task, run = data["Task"], data["Run"]
        answer = {"ClockMs": self.clock()}
        if (task, run) in self.running:
            return 200, answer
        if run <= self.refused.get(task, 0):
            self._until(data)
            return 409, dict(answer, Reason="old")
        if data["UntilMs"] <= self.clock():
            return 409, dict(answer, Reason="late")
        self._until(data)
        self.running[(task, run)] = {"at": now_ms(), "stop": None}
        self.record("run", task, run, "starts on", self.id, "fence", data["Fence"])
        self.deployment.on_start(self, task, run, data)
        return 200, answer


class Machines:
    """The service that moves machines and takes them down for upkeep."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record
        self.rows = {}    # machine -> dict(Pool, State, Id, Labels, Capacity, Zone)
        self.token = {}   # machine -> highest fencing token
        self.upkept = set()  # (machine, wave)
        self.on_upkeep = None

    async def listen(self):
        _, port = await serve_http(self.serve)
        return port

    def add(self, machine, pool, runner_id, **fields):
        self.rows[machine] = dict({"Pool": pool, "State": "up", "Id": runner_id,
                                   "Zone": "z1", "Labels": ["a", "r1-1"],
                                   "Capacity": {"Cpu": 4000, "MemMb": 16384,
                                                "Gpu": 0}}, **fields)

    async def serve(self, method, target, headers, body):
        if target.startswith("/machines"):
            rows = [dict(row, Machine=m) for m, row in self.rows.items()]
            return 200, {"Machines": rows, "NextToken": None}
        data = json.loads(body)
        machine = data["Machine"]
        token = int(headers.get("coltsfootshed-fence-token", 0))
        holder = headers.get("coltsfootshed-holder", "")
        if machine not in self.rows:
            return 400, {}
        row = self.rows[machine]
        if token < self.token.get(machine, 0):
            self.record("machines: refuses", target, machine, holder, token, "fence")
            return 409, {"Reason": "fence"}
        self.token[machine] = token
        if target == "/machine-upkeep":
            if (machine, data["Wave"]) in self.upkept:
                self.record("machines: upkeep", machine, holder, token, "already done")
                return 200, {}
            if row["State"] != "up":
                self.record("machines: upkeep", machine, holder, token, "busy")
                return 409, {"Reason": "busy"}
            self.upkept.add((machine, data["Wave"]))
            row["State"] = "upkeep"
            self.record("machines: upkeep of", machine, "begins, ordered by", holder,
                        "token", token)
            if self.on_upkeep:
                self.on_upkeep(machine, data["Wave"], holder, token)
            asyncio.get_running_loop().call_later(
                self.deployment.bounds["UpkeepS"], self._up, machine)
            return 200, {}
        if target == "/machine-move":
            if row["State"] != "up":
                return 409, {"Reason": "busy"}
            self.record("machines: move", machine, "to", data["Pool"], holder, token)
            row["Pool"], row["State"] = data["Pool"], "moving"
            asyncio.get_running_loop().call_later(
                self.deployment.bounds["MoveS"], self._up, machine)
            return 200, {}
        return 404, {}

    def _up(self, machine):
        self.rows[machine]["State"] = "up"
        self.record("machines:", machine, "is up again")


# Figures of the site file psig-shed.
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigMs": 2000,
    "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RecoveryS": 12, "MaxHoldMs": 10000,
    "StopMs": 900, "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "FarX": 1.5, "CheckpointS": 1,
    "RestoreMs": 600, "NoticeMs": 4500, "MoveS": 1.5, "UpkeepS": 2,
    "RequireFence": True, "LeaseMs": 3000, "ThawSlackMs": 300, "PaceMs": 100,
    "HarmMs": 4000,
}


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value)


class EntryVm:
    """An entry VM: a process with the command of the deploy file."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.process = None
        self.front, self.ready, self.control, self.peers = (
            free_port() for _ in range(4))

    def write_settings(self):
        d = self.deployment
        tables = {
            "Listen": {"Front": f"127.0.0.1:{self.front}",
                       "Ready": f"127.0.0.1:{self.ready}",
                       "Control": f"127.0.0.1:{self.control}"},
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100,
                       "LinkMbps": 1000.0, "DiskMb": 0},
            "Tolerate": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Zones": {"z1": "region-1", "z2": "region-1"},
            "Bounds": d.bounds,
            "platform": {"Addr": f"127.0.0.1:{self.store_port}", "form": "kv",
                         "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                         "ValueBytes": 1048576, "MinTtlMs": 1000},
            "Cloud": {"Addr": f"127.0.0.1:{d.machines_port}", "RatePerS": 64.0,
                      "Duties": [], "DutyPerS": 64.0},
        }
        head = {"Node": self.name, "Role": "entry", "Class": "front",
                "Serves": ["front"], "Ip": "127.0.0.1", "Zone": self.zone,
                "Region": "region-1", "PortRange": [self.peers, self.peers],
                "Seeds": [], "Bootstrap": True, "CountsAsLoss": False,
                "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
                "Orders": "rpc"}
        lines = [f"{k} = {toml_value(v)}" for k, v in head.items()]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{k} = {toml_value(v)}" for k, v in fields.items()]
        self.settings = d.folder / (self.name + ".toml")
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        d = self.deployment
        self.write_settings()
        log = open(d.folder / (self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["COLTSFOOTSHED_NODE_FILE"] = str(self.settings)
        self.process = subprocess.Popen(
            d.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        d.record("entry VM", self.name, "started, pid", self.process.pid)

    def signal(self, number):
        self.deployment.record("entry VM", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_end(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.deployment.record("entry VM", self.name, "ended with",
                               self.process.returncode)

    async def request(self, method, target, body=None, timeout=3.0,
                      host="desk.example", key=None):
        """Returns (code, object), or (None, reason) without an answer."""
        text = b"" if body is None else json.dumps(
            body, separators=(",", ":")).encode()
        try:
            return await asyncio.wait_for(
                self._request(method, target, text, host, key), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError, IndexError) as failure:
            return None, type(failure).__name__

    async def _request(self, method, target, text, host, key):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front)
        credentials = f"Authorization: Bearer {key}\r\n" if key else ""
        try:
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n"
                f"{credentials}Coltsfootshed-Deadline-Ms: 3000\r\n\r\n".encode() + text)
            status = await reader.readline()
            code = int(status.split()[1])
            length = 0
            while True:
                field = (await reader.readline()).strip()
                if not field:
                    break
                name, _, value = field.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            body = await reader.readexactly(length)
            try:
                return code, json.loads(body) if body else {}
            except ValueError:
                return code, {}
        finally:
            writer.close()


class Deployment:
    def __init__(self, folder):
        self.case = Path(folder)
        self.record = Record(self.case / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.bounds = dict(BOUNDS)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = next(iter(deploy["roles"].values()))["run"].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        self.store = Store(self.record)
        self.machines = Machines(self)
        self.vms = []
        self.on_start = lambda runner, task, run, data: None
        self.on_end = lambda runner, task, run, how: None

    async def begin(self):
        self.expiry = asyncio.ensure_future(self.store.expire())
        self.machines_port = await self.machines.listen()

    async def add_vm(self, name, zone="z1", start=True):
        vm = EntryVm(self, name, zone)
        vm.store_port = await self.store.listen(name)
        self.vms.append(vm)
        if start:
            vm.start()
        return vm

    def configure(self, version, routes, services, tenants=None):
        self.record("operator: configuration", version, "routes",
                    json.dumps(routes, sort_keys=True), json.dumps(tenants or []))
        more = {} if tenants is None else {"Tenants": tenants}
        self.store.put("op/config", {
            "Version": version,
            "Routes": [dict({"Kind": "non_idempotent", "TimeoutMs": 3000,
                             "TargetLatencyMs": 600, "Priority": 0, "MaxAttempts": 3,
                             "Stretch": 1.6, "Host": "desk.example"}, **r)
                       for r in routes],
            "Services": [dict({"HealthPath": "/health", "MaxConns": 64,
                               "Protocol": "h1", "Tls": False,
                               "EnforcesCapacity": False, "Spare": False}, **s)
                         for s in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}, **more})

    def leader(self, duty):
        return self.store.value("cf/n/lead/" + duty)

    async def until(self, what, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.02)
        raise CannotRun("waited in vain: " + what)

    def close(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def main(folder, play):
    """Plays a case: play(deployment) returns a text that says how the rule was
    broken, or None if it held."""

    def finish(deployment, code, text):
        deployment.record("RESULT:", text)
        print(text, flush=True)
        deployment.close()
        os._exit(code)

    async def run():
        deployment = Deployment(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, finish, deployment, 2, "could not run: stopped")
        try:
            await deployment.begin()
            broken = await asyncio.wait_for(play(deployment), 105)
            finish(deployment, 1 if broken else 0,
                   "broken: " + broken if broken else "held")
        except (CannotRun, asyncio.TimeoutError) as failure:
            finish(deployment, 2, f"could not run: {failure}")
        except Exception as failure:  # a fault of the case, not of the rule
            traceback.print_exc()
            finish(deployment, 2, f"could not run: {failure!r}")

    try:
        asyncio.run(run())
    except CannotRun as failure:
        print("could not run:", failure)
        sys.exit(2)
