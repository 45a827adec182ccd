"""End-to-end tests of planned operations: waves and moves under load."""

import json
import signal
import threading
import time

from cluster import call, finish, judge, wait_for
from small_site import Site, outcomes

TESTS = {}
WAVE = "\n[waves.w1]\n"
WAVE_LIMIT = 60.0


def test(function):
    TESTS[function.__name__] = function
    return function


class Rebooter(threading.Thread):
    """Carries out the reboots that the platform was asked for: kills the
    target, whatever it is doing, starts it again and lists it as rebooted."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.done = site, set()
        self.ran = {}
        self.most_out = 0
        self.ended = threading.Event()

    def run(self):
        while not self.ended.is_set():
            asked = self.site.platform_state()["reboots"]
            for name, operations in asked.items():
                for operation in operations:
                    if (name, operation) not in self.done:
                        self.done.add((name, operation))
                        self.reboot(self.site.targets[name], operation)
            self.watch_budget()
            time.sleep(0.02)

    def reboot(self, target, operation):
        for one, count in self.site.target_state(target)["runs"].items():
            self.ran[one] = self.ran.get(one, 0) + count
        target.process.kill()
        target.process.wait()
        self.site.run_target(target)
        self.site.list_vm(target, rebooted=operation)

    def watch_budget(self):
        status, _, text = call(self.site.platform, "GET", "/kv/budget/orders")
        if status == 200:
            self.most_out = max(self.most_out, len(json.loads(text)))

    def finish(self):
        self.ended.set()
        self.join()


def wave_done(site, entry, count):
    fleet = json.loads(call(entry.admin, "GET", "/v1/fleet")[2])
    vms = fleet["records"]["vms"].values()
    return sum("w1" in vm["waves"] and vm["state"] == "serving"
               for vm in vms) == count


def steward_of(site):
    """The entry VM that holds the lease."""
    found = []

    def seen():
        found[:] = [entry for entry in site.entries.values()
                    if site.status(entry)["steward"]]
        return len(found) == 1
    wait_for(seen, "one steward")
    return found[0]


def run_wave(site, disturb, **load):
    """Runs wave w1 under load; disturb() acts once it is under way."""
    entries = list(site.entries.values())
    rebooter = Rebooter(site)
    rebooter.start()
    steward = steward_of(site)
    other = next(entry for entry in entries if entry is not steward)
    loads = [site.load("post", [other], rate=60, ms=12000, work=60, **load),
             site.load("get", [other], method="GET", rate=60, ms=12000,
                       work=60, **load)]
    result = site.submit(other, site.document() + WAVE)
    assert result.returncode == 0, result.stderr
    wait_for(lambda: len(rebooter.done) > 0, "the wave is under way", 30)
    disturb(steward)
    wait_for(lambda: wave_done(site, other, len(site.targets)),
             "the wave is done", WAVE_LIMIT)
    reports = [finish(process) for process in loads]
    rebooter.finish()
    assert rebooter.most_out <= 1, rebooter.most_out
    assert len(rebooter.done) == len(site.targets), rebooter.done
    runs = dict(rebooter.ran)
    for one, count in site.runs().items():
        runs[one] = runs.get(one, 0) + count
    found = judge(reports, runs)
    assert not any(found.values()), (found, outcomes(reports))
    for report in reports:
        assert report["outcomes"] == {"answered": report["sent"]}, \
            outcomes(reports)


@test
def wave_cuts_nothing(build, work):
    """A wave reboots every VM within the budget, cuts no request, and shows
    its progress."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        run_wave(site, lambda steward: None)
        shown = site.ctl(site.entry, "waves").stdout
        assert shown.splitlines()[1].split() == ["w1", "no", "3", "0"], shown


@test
def steward_killed_in_a_wave(build, work):
    """The steward is killed, and its VM replaced: the wave goes on."""
    with Site(build, work, entries="aaa", targets="aaa") as site:
        def disturb(steward):
            steward.process.kill()
            steward.process.wait()
            time.sleep(1)
            site.run_entry(steward)
        run_wave(site, disturb)


@test
def steward_frozen_past_its_lease(build, work):
    """The steward is frozen until another holds the lease, then goes on."""
    with Site(build, work, entries="aaa", targets="aaa") as site:
        def disturb(steward):
            steward.process.send_signal(signal.SIGSTOP)
            others = [entry for entry in site.entries.values()
                      if entry is not steward]
            wait_for(lambda: any(site.status(entry)["steward"]
                                 for entry in others),
                     "another steward", 20)
            steward.process.send_signal(signal.SIGCONT)
        run_wave(site, disturb)


@test
def platform_outage_in_a_wave(build, work):
    """The platform is down in the middle of a wave: requests go on, and the
    wave is finished afterwards."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        def disturb(_):
            site.platform_switch(stop=True)
            time.sleep(3)
            site.platform_switch(stop=False)
        run_wave(site, disturb)


@test
def paused_wave_begins_nothing(build, work):
    """A paused wave reboots nothing; resumed, it goes on."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        rebooter = Rebooter(site)
        rebooter.start()
        steward_of(site)
        paused = site.document() + WAVE + "paused = true\n"
        assert site.submit(site.entry, paused).returncode == 0
        time.sleep(3)
        assert not rebooter.done, rebooter.done
        assert site.submit(site.entry, site.document() + WAVE).returncode == 0
        wait_for(lambda: wave_done(site, site.entry, 3), "the wave is done",
                 WAVE_LIMIT)
        rebooter.finish()


@test
def moved_vm_is_drained_first(build, work):
    """A VM that the document puts into another pool is drained, serves in the
    new pool, and nothing is cut."""
    with Site(build, work, entries="aa", targets="aaa") as site:
        steward_of(site)
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
        report, = site.expect_kept(load)
        assert report["outcomes"] == {"answered": report["sent"]}, report
