"""A small site for end-to-end tests, with one service, "orders"."""

from cluster import NO_VIOLATIONS, Cluster, finish, count_violations, wait_for

DOCUMENT = """site = "test"

[pools.orders]
vms = [{vms}]
max_unavailable = 1

[services.orders]
pool = "orders"
deadline_ms = 3000
usual_ms = 150
queue_limit = 512
{more}
[tenants.north]
weight = 2
"""


class Site(Cluster):
    """Entry VMs and targets of the service "orders".

    entries and targets have one letter for each VM, its data centre. more is
    text for the document, further settings of the service."""

    def __init__(self, build, work, entries="ab", targets="aabb", more="",
                 slots=8):
        super().__init__(build, work)
        self.more = more
        try:
            self.start_all(entries, targets, slots)
        except BaseException:
            self.kill_all()
            raise

    def start_all(self, entries, targets, slots):
        self.start_platform()
        for index, data_centre in enumerate(targets):
            self.add_target(f"vm-{index}", data_centre, slots)
        for index, data_centre in enumerate(entries):
            self.add_entry(f"entry-{index}", data_centre)
        first = next(iter(self.entries.values()))
        result = self.submit(first, self.document())
        assert result.returncode == 0, result.stdout + result.stderr
        self.wait_joined()
        reachable = sum(1 for data_centre in targets if data_centre in entries)
        self.wait_slots("orders", reachable * 8)

    def wait_joined(self):
        """Waits until every entry VM knows all others and has a document."""
        entries = list(self.entries.values())

        def all_joined():
            states = [self.status(entry) for entry in entries]
            return all(state["version"] > 0 and
                       len(state["requests"]["live_peers"]) ==
                       len(entries) - 1 for state in states)
        wait_for(all_joined, "all entry VMs have joined")

    def document(self, more=""):
        vms = ", ".join(f'"{name}"' for name in self.targets)
        return DOCUMENT.format(vms=vms, more=self.more + more)

    @property
    def entry(self):
        return next(iter(self.entries.values()))

    def load(self, name, entries=None, **options):
        """Starts traffic on the service; request ids start with name."""
        return self.start_traffic(entries or list(self.entries.values()),
                                  service="orders", name=name, **options)

    def expect_no_violations(self, *processes):
        """Waits for the traffic to end, checks the guarantees that hold
        under any fault, and returns the reports."""
        reports = [finish(process) for process in processes]
        found = count_violations(reports, self.runs())
        assert found == NO_VIOLATIONS, f"{found}, {outcomes(reports)}"
        return reports


def outcomes(reports):
    return [report["outcomes"] for report in reports]
