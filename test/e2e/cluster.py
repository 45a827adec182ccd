"""Starts the daemon and the stand-ins as separate processes on loopback.

Signals only processes that it started, by their ids."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time

READY_TIMEOUT_S = 15.0
# Linux assigns ports from 32768 up to outgoing connections, so none of these
# is taken between its choice and the start of the process that binds it.
LISTENING_PORTS = range(10000, 32000)


def free_ports():
    """Yields ports that nothing listens on, each of them once."""
    for port in random.sample(LISTENING_PORTS, len(LISTENING_PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


FREE_PORTS = free_ports()


def free_port():
    return next(FREE_PORTS)


def call(address, method, path, body="", headers=None, timeout=15):
    """Makes one HTTP call and returns status, headers and body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), \
            response.read().decode()
    finally:
        connection.close()


def wait_for(condition, what, limit=READY_TIMEOUT_S):
    """Polls until condition() is true, at most limit seconds.

    A failed HTTP call or an unexpected answer counts as false."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise TimeoutError(f"not within {limit} s: {what}")


class Target:
    """A target stand-in: its service and control addresses and its process."""

    def __init__(self, name, data_centre, slots):
        self.name, self.data_centre, self.slots = name, data_centre, slots
        self.address = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self.process = None


class Entry:
    """An entry VM: the addresses and the process of its daemon."""

    def __init__(self, name, data_centre):
        self.name, self.data_centre = name, data_centre
        self.callers = f"127.0.0.1:{free_port()}"
        self.peers = f"127.0.0.1:{free_port()}"
        self.admin = f"127.0.0.1:{free_port()}"
        self.platform = None
        self.process = None


class Relay:
    """A relay to an address that can cut or silence connections, or refuse
    new ones."""

    def __init__(self, cluster, destination):
        self.address = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self.process = cluster.start_process("relay", self.address,
                                             destination, self.control)
        wait_for(lambda: self.switch(), "relay")

    def switch(self, **switches):
        return call(self.control, "POST", "/", json.dumps(switches))[0] == 200


class Cluster:
    """The platform stand-in, targets and entry VMs of one test."""

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
        self.kill_all()

    def start_process(self, program, *arguments, log=None):
        log_file = open(self.work / (log or f"{program}.log"), "ab")
        process = subprocess.Popen(
            [str(self.build / program), *map(str, arguments)],
            stdout=log_file, stderr=log_file)
        log_file.close()
        self.processes.append(process)
        return process

    def kill_all(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def start_platform(self):
        process = self.start_process("platform-standin", self.platform,
                                     self.control)
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
        self.start_target(target)
        self.set_vm(target)
        return target

    def start_target(self, target):
        target.process = self.start_process("target-standin", target.name,
                                            target.address, target.control,
                                            target.slots)
        wait_for(lambda: self.target_state(target), f"target {target.name}")

    def set_vm(self, target, leaving=False, address=None, rebooted=""):
        """Sets the record of the target's VM in the platform's VM list.

        rebooted is the id of its latest reboot operation."""
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
        """Returns how often each request id ran on the targets that answer."""
        total = {}
        for target in self.targets.values():
            try:
                runs = self.target_state(target)["runs"]
            except (OSError, http.client.HTTPException):
                continue
            for request, count in runs.items():
                total[request] = total.get(request, 0) + count
        return total

    def add_entry(self, name, data_centre, seeds=None, platform=None,
                  **extra_settings):
        entry = Entry(name, data_centre)
        entry.platform = platform or self.platform
        if seeds is None:
            seeds = [other.peers for other in self.entries.values()]
        entry.seeds, entry.extra_settings = seeds, extra_settings
        self.entries[name] = entry
        self.start_entry(entry)
        return entry

    def start_entry(self, entry):
        settings = {"node": entry.name, "data_centre": entry.data_centre,
                    "callers": entry.callers, "peers": entry.peers,
                    "admin": entry.admin, "platform": entry.platform,
                    "admin_token_file": str(self.token),
                    "seeds": entry.seeds, "stop_grace_ms": 300,
                    **entry.extra_settings}
        path = self.work / f"{entry.name}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n"
                                for key, value in settings.items()))
        entry.process = self.start_process("coltsfootshedd", "--settings",
                                           path, log=f"{entry.name}.log")
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
        """Submits a document and waits until it is in force.

        Returns the ended process of coltsfootctl."""
        path = self.work / "document.toml"
        path.write_text(text)
        return self.ctl(entry, "--wait", *options, "config", "submit", path)

    def wait_slots(self, service, slots, entries=None):
        """Waits until the slots that the entry VMs see sum up to slots."""
        entries = entries or list(self.entries.values())

        def slots_match():
            total = sum(self.status(entry)["requests"]["services"]
                        .get(service, {}).get("slots", 0)
                        for entry in entries)
            return total == slots
        wait_for(slots_match, f"{slots} slots of {service}")

    def start_traffic(self, entries, **options):
        """Starts the traffic program; finish() returns its report."""
        arguments = ["--entries", ",".join(entry.callers for entry in entries)]
        for name, value in options.items():
            arguments += [f"--{name}", str(value)]
        process = subprocess.Popen(
            [str(self.build / "traffic"), *arguments],
            stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process


def finish(process):
    """Waits for a traffic program to end and returns its report."""
    return json.loads(process.communicate(timeout=120)[0])


def count_violations(reports, runs):
    """Counts violations of the guarantees to callers.

    Compares traffic reports with runs, the number of runs of each request id
    on the targets. doubled: POST requests that ran more than once; lost:
    reported as answered but never run; wrong: answers without the id of
    their request; ran_though_not_run: reported as not-run but run."""
    totals = {"doubled": 0, "lost": 0, "wrong": 0, "ran_though_not_run": 0}
    for report in reports:
        totals["wrong"] += report["wrong_answers"]
        totals["lost"] += sum(1 for request_id in report["answered_ids"]
                              if request_id not in runs)
        totals["ran_though_not_run"] += sum(
            1 for request_id in report["not_run_ids"] if request_id in runs)
        if not report["idempotent"]:
            prefix = report["name"] + "-"
            totals["doubled"] += sum(1 for request_id, count in runs.items()
                                     if request_id.startswith(prefix)
                                     and count > 1)
    return totals


NO_VIOLATIONS = {"doubled": 0, "lost": 0, "wrong": 0, "ran_though_not_run": 0}
