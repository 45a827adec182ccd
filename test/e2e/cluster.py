"""Starts the daemon and the stand-ins as separate processes on loopback.

Only processes started here are ever signalled, by their own id."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import time

READY_LIMIT = 15.0


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def call(address, method, path, body="", headers=None, timeout=15):
    """One HTTP call; returns status, headers and body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


def wait_for(condition, what, limit=READY_LIMIT):
    """Polls until condition() is true; a failing call counts as false."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise TimeoutError(f"not within {limit} s: {what}")


class Target:
    def __init__(self, name, data_centre, slots):
        self.name, self.data_centre, self.slots = name, data_centre, slots
        self.address = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self.process = None


class Entry:
    def __init__(self, name, data_centre):
        self.name, self.data_centre = name, data_centre
        self.callers = f"127.0.0.1:{free_port()}"
        self.peers = f"127.0.0.1:{free_port()}"
        self.admin = f"127.0.0.1:{free_port()}"
        self.platform = None
        self.process = None


class Relay:
    """A stand-in on the way to an address; can cut, silence or refuse."""

    def __init__(self, cluster, far):
        self.address = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self.process = cluster.start("relay", self.address, far, self.control)
        wait_for(lambda: self.switch(), "relay")

    def switch(self, **switches):
        return call(self.control, "POST", "/", json.dumps(switches))[0] == 200


class Cluster:
    def __init__(self, build, work):
        self.build = pathlib.Path(build)
        self.work = pathlib.Path(work)
        self.work.mkdir(parents=True, exist_ok=True)
        self.processes = []
        self.targets, self.entries = {}, {}
        self.platform = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self.token = self.work / "token"
        self.token.write_text("local-test-token\n")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end_all()

    def start(self, program, *arguments, log=None):
        out = open(self.work / (log or f"{program}.log"), "ab")
        process = subprocess.Popen(
            [str(self.build / program), *map(str, arguments)],
            stdout=out, stderr=out)
        out.close()
        self.processes.append(process)
        return process

    def end_all(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def start_platform(self):
        process = self.start("platform-standin", self.platform, self.control)
        wait_for(lambda: self.platform_switch(), "platform stand-in")
        return process

    def platform_switch(self, **switches):
        body = json.dumps(switches)
        return call(self.control, "POST", "/switches", body)[0] == 200

    def platform_state(self):
        return json.loads(call(self.control, "GET", "/state")[2])

    def add_target(self, name, data_centre, slots=8):
        target = Target(name, data_centre, slots)
        self.targets[name] = target
        self.run_target(target)
        self.list_vm(target)
        return target

    def run_target(self, target):
        target.process = self.start("target-standin", target.name,
                                    target.address, target.control,
                                    target.slots)
        wait_for(lambda: self.target_state(target), f"target {target.name}")

    def list_vm(self, target, leaving=False, address=None, rebooted=""):
        record = {"name": target.name, "data_centre": target.data_centre,
                  "rack": target.data_centre + "-r1", "rebooted": rebooted,
                  "address": address or target.address, "leaving": leaving}
        status, _, text = call(self.control, "POST", "/vms",
                               json.dumps(record))
        assert status == 200, text

    def target_switch(self, target, **switches):
        call(target.control, "POST", "/switches", json.dumps(switches))

    def target_state(self, target):
        return json.loads(call(target.control, "GET", "/state")[2])

    def runs(self):
        """How often each request id ran, over all targets that answer."""
        total = {}
        for target in self.targets.values():
            try:
                runs = self.target_state(target)["runs"]
            except (OSError, http.client.HTTPException):
                continue
            for request, count in runs.items():
                total[request] = total.get(request, 0) + count
        return total

    def add_entry(self, name, data_centre, seeds=None, platform=None, **more):
        entry = Entry(name, data_centre)
        entry.platform = platform or self.platform
        if seeds is None:
            seeds = [other.peers for other in self.entries.values()]
        entry.seeds, entry.more = seeds, more
        self.entries[name] = entry
        self.run_entry(entry)
        return entry

    def run_entry(self, entry):
        settings = {"node": entry.name, "data_centre": entry.data_centre,
                    "callers": entry.callers, "peers": entry.peers,
                    "admin": entry.admin, "platform": entry.platform,
                    "admin_token_file": str(self.token),
                    "seeds": entry.seeds, "stop_grace_ms": 300, **entry.more}
        path = self.work / f"{entry.name}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n"
                                for key, value in settings.items()))
        entry.process = self.start("coltsfootshedd", "--settings", path,
                                   log=f"{entry.name}.log")
        wait_for(lambda: call(entry.admin, "GET", "/healthz")[0] == 200,
                 f"entry {entry.name}")

    def status(self, entry):
        return json.loads(call(entry.admin, "GET", "/v1/status")[2])

    def ctl(self, entry, *arguments):
        return subprocess.run(
            [str(self.build / "coltsfootctl"), "--server", entry.admin,
             "--token-file", str(self.token), *map(str, arguments)],
            capture_output=True, text=True, timeout=60)

    def submit(self, entry, text, *options):
        path = self.work / "document.toml"
        path.write_text(text)
        return self.ctl(entry, "--wait", *options, "config", "submit", path)

    def wait_slots(self, service, slots, entries=None):
        """Waits until the entry VMs together see that many slots."""
        entries = entries or list(self.entries.values())

        def seen():
            total = sum(self.status(entry)["requests"]["services"]
                        .get(service, {}).get("slots", 0)
                        for entry in entries)
            return total == slots
        wait_for(seen, f"{slots} slots of {service}")

    def traffic(self, entries, **options):
        """Starts the traffic program; finish() gives its report."""
        arguments = ["--entries", ",".join(entry.callers for entry in entries)]
        for name, value in options.items():
            arguments += [f"--{name}", str(value)]
        process = subprocess.Popen(
            [str(self.build / "traffic"), *arguments],
            stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process


def finish(process):
    return json.loads(process.communicate(timeout=120)[0])


def judge(reports, runs):
    """Counts the broken promises over traffic reports and target records."""
    totals = {"doubled": 0, "lost": 0, "wrong": 0, "ran_though_not_run": 0}
    for report in reports:
        totals["wrong"] += report["wrong_answers"]
        totals["lost"] += sum(1 for one in report["answered_ids"]
                              if one not in runs)
        totals["ran_though_not_run"] += sum(
            1 for one in report["not_run_ids"] if one in runs)
        if not report["idempotent"]:
            prefix = report["name"] + "-"
            totals["doubled"] += sum(1 for one, count in runs.items()
                                     if one.startswith(prefix) and count > 1)
    return totals


KEPT = {"doubled": 0, "lost": 0, "wrong": 0, "ran_though_not_run": 0}
