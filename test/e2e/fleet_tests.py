"""End-to-end tests of planned operations under load: waves of reboots, and VMs
moved between pools."""

import json
import signal
import threading
import time

from cluster import call, finish, count_violations, wait_for
from small_site import Site, outcomes

TESTS = {}
WAVE = "\n[waves.w1]\n"
WAVE_TIMEOUT_S = 60.0


def test(function):
    TESTS[function.__name__] = function
    return function


class Rebooter(threading.Thread):
    """Carries out the reboots that are requested of the platform: kills the
    target even if it is busy, restarts it and lists it as rebooted."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.completed = site, set()
        # Runs by request id on targets before their restart, which resets the
        # targets' own counts.
        self.earlier_runs = {}
        self.peak_unavailable = 0
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.is_set():
            requested = self.site.platform_state()["reboots"]
            for name, operations in requested.items():
                for operation in operations:
                    if (name, operation) not in self.completed:
                        self.completed.add((name, operation))
                        self.reboot(self.site.targets[name], operation)
            self.record_budget_use()
            time.sleep(0.02)

    def reboot(self, target, operation):
        for request_id, count in \
                self.site.target_state(target)["runs"].items():
            self.earlier_runs[request_id] = \
                self.earlier_runs.get(request_id, 0) + count
        target.process.kill()
        target.process.wait()
        self.site.start_target(target)
        self.site.set_vm(target, rebooted=operation)

    def record_budget_use(self):
        status, _, text = call(self.site.platform, "GET", "/kv/budget/orders")
        if status == 200:
            self.peak_unavailable = max(self.peak_unavailable,
                                        len(json.loads(text)))

    def finish(self):
        self.stopped.set()
        self.join()


def wave_done(site, entry, count):
    fleet = json.loads(call(entry.admin, "GET", "/v1/fleet")[2])
    vms = fleet["records"]["vms"].values()
    return sum("w1" in vm["waves"] and vm["state"] == "serving"
               for vm in vms) == count


def fleet_controller(site):
    """Returns the entry VM that is the fleet controller, which the status
    calls "steward"."""
    found = []

    def only_one():
        found[:] = [entry for entry in site.entries.values()
                    if site.status(entry)["steward"]]
        return len(found) == 1
    wait_for(only_one, "one steward")
    return found[0]


def run_wave(site, inject_fault, **load):
    """Runs wave w1 under load and calls inject_fault() with the fleet
    controller after the first reboot. Checks that the VMs are rebooted one at
    a time, each once, and that every request is answered."""
    entries = list(site.entries.values())
    rebooter = Rebooter(site)
    rebooter.start()
    controller = fleet_controller(site)
    other = next(entry for entry in entries if entry is not controller)
    loads = [site.load("post", [other], rate=60, ms=12000, work=60, **load),
             site.load("get", [other], method="GET", rate=60, ms=12000,
                       work=60, **load)]
    result = site.submit(other, site.document() + WAVE)
    assert result.returncode == 0, result.stderr
    wait_for(lambda: len(rebooter.completed) > 0, "the wave is under way", 30)
    inject_fault(controller)
    wait_for(lambda: wave_done(site, other, len(site.targets)),
             "the wave is done", WAVE_TIMEOUT_S)
    reports = [finish(process) for process in loads]
    rebooter.finish()
    assert rebooter.peak_unavailable <= 1, rebooter.peak_unavailable
    assert len(rebooter.completed) == len(site.targets), rebooter.completed
    runs = dict(rebooter.earlier_runs)
    for request_id, count in site.runs().items():
        runs[request_id] = runs.get(request_id, 0) + count
    found = count_violations(reports, runs)
    assert not any(found.values()), (found, outcomes(reports))
    for report in reports:
        assert report["outcomes"] == {"answered": report["sent"]}, \
            outcomes(reports)


@test
def wave_cuts_nothing(build, work):
    """A wave reboots every VM within the budget, interrupts no request, and
    its progress is shown."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        run_wave(site, lambda controller: None)
        shown = site.ctl(site.entry, "waves").stdout
        assert shown.splitlines()[1].split() == ["w1", "no", "3", "0"], shown


@test
def steward_killed_in_a_wave(build, work):
    """The fleet controller is killed and started again: the wave goes on."""
    with Site(build, work, entries="aaa", targets="aaa") as site:
        def inject_fault(controller):
            controller.process.kill()
            controller.process.wait()
            time.sleep(1)
            site.start_entry(controller)
        run_wave(site, inject_fault)


@test
def steward_frozen_past_its_lease(build, work):
    """The fleet controller is frozen until another one holds the lease, then
    continues: the wave is finished."""
    with Site(build, work, entries="aaa", targets="aaa") as site:
        def inject_fault(controller):
            controller.process.send_signal(signal.SIGSTOP)
            others = [entry for entry in site.entries.values()
                      if entry is not controller]
            wait_for(lambda: any(site.status(entry)["steward"]
                                 for entry in others),
                     "another steward", 20)
            controller.process.send_signal(signal.SIGCONT)
        run_wave(site, inject_fault)


@test
def platform_outage_in_a_wave(build, work):
    """The platform is down in the middle of a wave: requests are still
    answered, and the wave is finished afterwards."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        def inject_fault(_):
            site.platform_switch(stop=True)
            time.sleep(3)
            site.platform_switch(stop=False)
        run_wave(site, inject_fault)


@test
def paused_wave_begins_nothing(build, work):
    """A paused wave reboots nothing; once resumed, it is carried out."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        rebooter = Rebooter(site)
        rebooter.start()
        fleet_controller(site)
        paused = site.document() + WAVE + "paused = true\n"
        assert site.submit(site.entry, paused).returncode == 0
        time.sleep(3)
        assert not rebooter.completed, rebooter.completed
        assert site.submit(site.entry, site.document() + WAVE).returncode == 0
        wait_for(lambda: wave_done(site, site.entry, 3), "the wave is done",
                 WAVE_TIMEOUT_S)
        rebooter.finish()


@test
def moved_vm_is_drained_first(build, work):
    """A VM that the document moves to another pool is drained first and then
    serves the new pool; no request is interrupted."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        fleet_controller(site)
        quotes = ("\n[pools.quotes]\nvms = [{}]\nmax_unavailable = 1\n"
                  "[services.quotes]\npool = \"quotes\"\n")
        first = site.document() + quotes.format("")
        assert site.submit(site.entry, first).returncode == 0
        load = site.load("post", rate=60, ms=4000, work=60)
        moved = first.replace('"vm-0", ', "").replace(
            "[pools.quotes]\nvms = []", '[pools.quotes]\nvms = ["vm-0"]')
        assert site.submit(site.entry, moved).returncode == 0
        wait_for(lambda: call(site.entry.callers, "GET", "/quotes/x")[0] == 200,
                 "the VM serves in its new pool", 30)
        report, = site.expect_no_violations(load)
        assert report["outcomes"] == {"answered": report["sent"]}, report
