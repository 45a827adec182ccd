"""Demo of the whole system as separate processes: two data centres, four entry
VMs, twelve targets of two services, traffic of all classes, a change of the
document and an overload by each of two classes. Prints a table; exits with 1
if a guarantee was violated."""

import pathlib
import re
import sys
import tempfile
import time

from cluster import NO_VIOLATIONS, Cluster, finish, count_violations, wait_for

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SERVICES = ("stitch", "archive")
TARGETS_PER_SERVICE = 6
CLASSES = (("urgent", "stitch", "POST"), ("standard", "stitch", "GET"),
           ("background", "archive", "PUT"))


def pool_vms(document, pool, data_centres):
    """Returns the pool's VMs in the given data centres."""
    vm_list = re.search(rf"\[pools\.{pool}\]\n(?:spare = true\n)?"
                        r"vms = \[(.*?)\]", document, re.S).group(1)
    names = re.findall(r'"(.*?)"', vm_list)
    return [name for name in names if name.split("-")[1] in data_centres]


def start_cluster(cluster, document):
    cluster.start_platform()
    for service in SERVICES:
        names = pool_vms(document, service, "abcd")[:TARGETS_PER_SERVICE]
        # Only the data centres a and b exist here; they also get the VMs that
        # the document places in c and d.
        for index, name in enumerate(names):
            cluster.add_target(name, "ab"[index % 2])
    for data_centre in "ab":
        for index in (1, 2):
            cluster.add_entry(f"entry-{data_centre}-{index}", data_centre)


def submit(cluster, document):
    entry = next(iter(cluster.entries.values()))
    started = time.monotonic()
    result = cluster.submit(entry, document)
    if result.returncode != 0:
        raise SystemExit(f"submission failed: {result.stdout}{result.stderr}")
    return time.monotonic() - started


def load(cluster, phase, ms, rates, work):
    entries = list(cluster.entries.values())
    return [cluster.start_traffic(entries, name=f"{phase}-{name}",
                                  service=service, method=method,
                                  tenant="desk-north", rate=rate, ms=ms,
                                  work=work, deadline=3000,
                                  **{"class": name})
            for (name, service, method), rate in zip(CLASSES, rates)]


def print_rows(phase, reports):
    for report in reports:
        outcomes = report["outcomes"]
        other = sum(count for name, count in outcomes.items()
                    if name not in ("answered", "not-run", "unknown"))
        print(f"{phase:<18} {report['class']:<11} {report['sent']:>6} "
              f"{outcomes.get('answered', 0):>9} "
              f"{outcomes.get('not-run', 0):>8} "
              f"{outcomes.get('unknown', 0):>8} {other:>6} "
              f"{report['p50_ms']:>8.1f} {report['p99_ms']:>8.1f}")


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    keep = "--keep" in sys.argv
    document = (ROOT / "examples" / "prairie.toml").read_text()
    work = tempfile.mkdtemp(prefix="coltsfootshed-demo-")
    cluster = Cluster(build, work)
    try:
        code = run(cluster, document)
        if keep:
            print_addresses(cluster, work)
            return code
        return code
    finally:
        if not keep:
            cluster.kill_all()


def run(cluster, document):
    start_cluster(cluster, document)
    first_roll_out = submit(cluster, document)
    cluster.wait_slots("stitch", TARGETS_PER_SERVICE * 8)
    print(f"{'phase':<18} {'class':<11} {'sent':>6} {'answered':>9} "
          f"{'not-run':>8} {'unknown':>8} {'other':>6} {'p50 ms':>8} "
          f"{'p99 ms':>8}")
    reports = []

    def phase(name, ms, rates, work, action=None):
        running = load(cluster, name.replace(" ", "-"), ms, rates, work)
        if action:
            time.sleep(0.5)
            action()
        found = [finish(process) for process in running]
        print_rows(name, found)
        reports.extend(found)

    leaving = pool_vms(document, "stitch", "abcd")[0]
    edited = document.replace("[pools.stitch]\n",
                              f'[pools.stitch]\ndrain = ["{leaving}"]\n')
    roll_out_seconds = [first_roll_out]
    phase("steady", 3000, (200, 200, 100), 20)
    phase("target leaves", 3000, (200, 200, 100), 20,
          lambda: roll_out_seconds.append(submit(cluster, edited)))
    # With 40 ms of work, 40 slots of stitch and 48 of archive handle about
    # 1,000 requests per second each; 4000 per second is an overload.
    phase("background flood", 4000, (200, 200, 4000), 40)
    phase("urgent flood", 4000, (4000, 200, 100), 40)
    found = count_violations(reports, cluster.runs())
    print("configuration in force everywhere after "
          + ", ".join(f"{seconds:.2f} s" for seconds in roll_out_seconds))
    print("doubled {doubled}, lost {lost}, wrong answers {wrong}, "
          "ran though told not-run {ran_though_not_run}".format(**found))
    wait_for(lambda: sum(cluster.target_state(target)["running"]
                         for target in cluster.targets.values()) == 0,
             "targets are idle")
    return 0 if found == NO_VIOLATIONS else 1


def print_addresses(cluster, work):
    print(f"left running; logs and settings in {work}")
    for entry in cluster.entries.values():
        print(f"{entry.name}: callers {entry.callers}, admin {entry.admin}, "
              f"token file {cluster.token}, process {entry.process.pid}")
    print(f"platform control {cluster.control}")


if __name__ == "__main__":
    sys.exit(main())
