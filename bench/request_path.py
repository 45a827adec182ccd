"""Measures the request path: requests per second and added latency compared
with direct calls to the same target stand-in, processor time per request, and
memory per idle caller connection and per waiting request.

    scripts/build.sh build && python3 bench/request_path.py build

Runs alternate, in pairs, between direct calls and calls through the daemon. The
daemon serves requests on one thread, so on one core."""

import os
import pathlib
import socket
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test" / "e2e"))

from cluster import finish, wait_for  # noqa: E402
from small_site import Site  # noqa: E402

PAIR_COUNT = 3
RUN_MS = 1500
CONCURRENCY = 32


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def memory_kb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").open():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


class DirectTarget:
    """Makes the traffic program call a target in place of an entry VM."""

    def __init__(self, target):
        self.callers = target.address


def measure(site, entry, name, concurrency):
    """Returns requests per second, and median and p99 latency in ms."""
    report = finish(site.load(name, [entry], concurrency=concurrency,
                              ms=RUN_MS, work=0))
    total = sum(report["outcomes"].values())
    return total / (RUN_MS / 1000), report["p50_ms"], report["p99_ms"]


def compare_direct_and_daemon(site, concurrency):
    target = next(iter(site.targets.values()))
    rows = []
    for index in range(PAIR_COUNT):
        direct = measure(site, DirectTarget(target), f"d{concurrency}-{index}",
                         concurrency)
        before = cpu_seconds(site.entry.process)
        through = measure(site, site.entry, f"t{concurrency}-{index}",
                          concurrency)
        used = cpu_seconds(site.entry.process) - before
        micros = used * 1e6 / (through[0] * RUN_MS / 1000)
        rows.append((direct, through, micros))
    medians = [statistics.median(values) for values in zip(*(
        (d[0], t[0], t[1] - d[1], t[2] - d[2], cpu) for d, t, cpu in rows))]
    print(f"concurrency {concurrency:>3}: direct {medians[0]:>7.0f}/s, through "
          f"{medians[1]:>7.0f}/s, added p50 {medians[2]:.2f} ms, added p99 "
          f"{medians[3]:.2f} ms, {medians[4]:.0f} us of processor a request",
          flush=True)


def measure_idle_connections(site):
    host, port = site.entry.callers.split(":")
    sockets = []
    before = memory_kb(site.entry.process)
    for count in (500, 1000, 2000, 4000):
        while len(sockets) < count:
            sockets.append(socket.create_connection((host, int(port))))
        time.sleep(0.3)
        growth_kb = memory_kb(site.entry.process) - before
        print(f"{count:>5} idle callers: {growth_kb} KB, "
              f"{growth_kb * 1000 / count:.0f} KB per 1,000", flush=True)
    for connection in sockets:
        connection.close()


def measure_waiting_requests(site):
    site.target_switch(next(iter(site.targets.values())), mode="freeze")
    host, port = site.entry.callers.split(":")
    sockets = []
    before = memory_kb(site.entry.process)

    def waiting_count():
        return (site.status(site.entry)["requests"]["services"]["orders"]
                ["waiting"])
    for count in (500, 1000, 2000, 4000):
        while len(sockets) < count:
            connection = socket.create_connection((host, int(port)))
            connection.sendall(b"POST /orders/wait HTTP/1.1\r\nHost: x\r\n"
                        b"Coltsfootshed-Deadline-Ms: 600000\r\n"
                        b"Content-Length: 10\r\n\r\n0123456789")
            sockets.append(connection)
        # The first requests don't wait: they occupy the target's 8 slots.
        wait_for(lambda: waiting_count() >= count - 8, "requests wait")
        growth_kb = memory_kb(site.entry.process) - before
        print(f"{count:>5} waiting requests: {growth_kb} KB, "
              f"{growth_kb / count:.1f} KB each with their connections",
              flush=True)


def io_bytes(process):
    """Bytes that a process has read and written, sockets included."""
    fields = {}
    for line in pathlib.Path(f"/proc/{process.pid}/io").open():
        name, value = line.split(":")
        fields[name] = int(value)
    return fields["rchar"], fields["wchar"]


def measure_idle_entry(build, entries):
    """Prints what one of the given entry VMs uses without requests."""
    seconds = 10
    with tempfile.TemporaryDirectory() as work:
        with Site(build, work, entries=entries, targets="ab") as site:
            time.sleep(2)
            process = site.entry.process
            cpu, (read, written) = cpu_seconds(process), io_bytes(process)
            time.sleep(seconds)
            used = cpu_seconds(process) - cpu
            after = io_bytes(process)
            print(f"{len(entries)} entry VMs ({entries}), idle: "
                  f"{used * 100 / seconds:.2f}% of a core, "
                  f"{memory_kb(process)} KB resident, "
                  f"{(after[0] - read) / seconds:.0f} B/s read, "
                  f"{(after[1] - written) / seconds:.0f} B/s written",
                  flush=True)


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    for entries in ("a", "aa", "aabb", "aaabbb"):
        measure_idle_entry(build, entries)
    with tempfile.TemporaryDirectory() as work:
        with Site(build, work, entries="a", targets="a",
                  more="") as site:
            document = site.document().replace("queue_limit = 512",
                                               "queue_limit = 100000")
            document = document.replace("usual_ms = 150", "usual_ms = 100000")
            assert site.submit(site.entry, document).returncode == 0
            for concurrency in (1, 4, 8, 32):
                compare_direct_and_daemon(site, concurrency)
            measure_idle_connections(site)
            measure_waiting_requests(site)


if __name__ == "__main__":
    main()
