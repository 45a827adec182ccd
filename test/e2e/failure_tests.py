"""End-to-end tests under failure: kill, freeze, cut, silence, outage."""

import signal
import time

from cluster import Relay, call, finish, wait_for
from small_site import Site, outcomes

TESTS = {}
# No new work reaches a leaving target this long after the first sign.
LEAVING_LIMIT = 3.0


def test(function):
    TESTS[function.__name__] = function
    return function


@test
def broken_answers_are_never_passed_on(build, work):
    """An answer that is cut short, or has no length, is not told as
    answered; a request that may have run is not told as not-run."""
    with Site(build, work, entries="a", targets="aaa") as site:
        cut, open_ended, _ = site.targets.values()
        site.target_switch(cut, mode="cut")
        site.target_switch(open_ended, mode="open-ended")
        reports = site.expect_kept(
            site.load("get", method="GET", rate=100, ms=1500),
            site.load("post", method="POST", rate=100, ms=1500))
        assert reports[0]["outcomes"].get("answered", 0) > 100, \
            outcomes(reports)
        assert reports[1]["outcomes"].get("unknown", 0) > 0, outcomes(reports)


@test
def killed_target_loses_and_doubles_nothing(build, work):
    """SIGKILL of targets under load: what was told holds, and work goes on."""
    with Site(build, work, entries="ab", targets="aabb") as site:
        posts = site.load("post", rate=300, ms=2500, work=20)
        gets = site.load("get", method="GET", rate=300, ms=2500, work=20)
        wait_for(lambda: len(site.runs()) > 200, "traffic")
        victim = site.targets["vm-0"]
        survivors = [target for target in site.targets.values()
                     if target is not victim]
        before = site.target_state(victim)["runs"]
        victim.process.kill()
        reports = [finish(posts), finish(gets)]
        runs = dict(before)
        for target in survivors:
            for one, count in site.target_state(target)["runs"].items():
                runs[one] = runs.get(one, 0) + count
        doubled = [one for one, count in runs.items()
                   if one.startswith("post-") and count > 1]
        assert not doubled, doubled
        told_not_run = [one for report in reports
                        for one in report["not_run_ids"] if one in runs]
        assert not told_not_run, told_not_run
        assert reports[1]["outcomes"] == {"answered": reports[1]["sent"]}, \
            outcomes(reports)


@test
def refused_work_goes_elsewhere(build, work):
    """A target that declares not-run is not the end of a request."""
    with Site(build, work, entries="a", targets="aa") as site:
        site.target_switch(site.targets["vm-0"], mode="refuse")
        wait = site.load("post", rate=10, ms=2000)
        report, = site.expect_kept(wait)
        assert report["outcomes"] == {"answered": report["sent"]}, report


@test
def retries_stay_within_budget(build, work):
    """With half of the targets failing, the load on targets stays under 1.2
    times the offered load."""
    with Site(build, work, entries="a", targets="aaaa") as site:
        for name in ("vm-0", "vm-1"):
            site.target_switch(site.targets[name], mode="reset")
        report, = site.expect_kept(
            site.load("get", method="GET", rate=400, ms=3000))
        attempts = sum(site.runs().values())
        assert attempts < 1.2 * report["sent"], (attempts, report["sent"])


@test
def frozen_target_runs_nothing_twice(build, work):
    """SIGSTOP of a target, SIGCONT later: posts run at most once, gets are
    answered through others, new work does not suffer."""
    with Site(build, work, entries="a", targets="aaa") as site:
        posts = site.load("post", rate=100, ms=3000, work=100, deadline=2000)
        gets = site.load("get", method="GET", rate=100, ms=3000)
        wait_for(lambda: len(site.runs()) > 100, "traffic")
        frozen = site.targets["vm-0"].process
        frozen.send_signal(signal.SIGSTOP)
        # The target wakes up after the deadlines of what it held.
        time.sleep(3.5)
        frozen.send_signal(signal.SIGCONT)
        post, get = site.expect_kept(posts, gets)
        assert get["outcomes"] == {"answered": get["sent"]}, get["outcomes"]
        held = post["outcomes"].get("unknown", 0)
        assert 0 < held <= 16, post["outcomes"]


@test
def silent_target_connections(build, work):
    """Connections to a target go silent but still acknowledge: gets are
    answered on new ones, posts end as unknown, new work does not suffer."""
    with Site(build, work, entries="a", targets="a") as site:
        target = site.targets["vm-0"]
        relay = Relay(site, target.address)
        site.list_vm(target, address=relay.address)
        wait_for(lambda: call(site.entry.callers, "GET", "/orders/x")[0] == 200
                 and relay_in_use(site, relay), "the relay is in use")
        gets = site.load("get", method="GET", rate=40, ms=2500, work=50)
        posts = site.load("post", rate=40, ms=2500, work=50, deadline=1500)
        time.sleep(0.8)
        relay.switch(silence=True)
        get, post = site.expect_kept(gets, posts)
        assert get["outcomes"] == {"answered": get["sent"]}, get["outcomes"]
        held = post["outcomes"].get("unknown", 0)
        assert 0 < held <= 8, post["outcomes"]
        assert post["outcomes"]["answered"] == post["sent"] - held, post


def relay_in_use(site, relay):
    status = site.status(site.entry)["requests"]["vms"]
    return any(vm["address"] == relay.address for vm in status)


def expect_no_new_work(site, target, first_sign):
    """Checks that a target starts nothing later than 3 s after the sign."""
    time.sleep(max(0.0, first_sign + LEAVING_LIMIT - time.monotonic()))
    before = sum(site.target_state(target)["runs"].values())
    load = site.load("after", rate=200, ms=800)
    report, = site.expect_kept(load)
    assert report["outcomes"] == {"answered": report["sent"]}, report
    after = sum(site.target_state(target)["runs"].values())
    assert after == before, (before, after)


@test
def leaving_target_by_its_own_word(build, work):
    """A target says in one answer that it leaves, while the list lags and the
    platform is down: no entry VM of its data centre sends it new work."""
    with Site(build, work, entries="aaa", targets="aa") as site:
        site.platform_switch(stop=True, vm_lag_ms=600000)
        target = site.targets["vm-0"]
        site.target_switch(target, leaving=True)
        sign = time.monotonic()
        # One caller of one entry VM is enough for the first sign.
        for _ in range(8):
            call(site.entry.callers, "GET", "/orders/x")
        expect_no_new_work(site, target, sign)


@test
def leaving_target_by_the_list(build, work):
    """The list shows a target leaving; one that came back gets work again,
    also where its own word was heard before."""
    with Site(build, work, entries="aa", targets="aa") as site:
        target = site.targets["vm-0"]
        site.list_vm(target, leaving=True)
        expect_no_new_work(site, target, time.monotonic())
        site.list_vm(target, leaving=False)
        site.wait_slots("orders", 16)


@test
def entry_killed_in_a_hand_over(build, work):
    """Work overflows to another data centre; the entry VM there is killed:
    nothing runs twice or is told wrongly, and overflow resumes."""
    with Site(build, work, entries="ab", targets="bb") as site:
        near, far = site.entries.values()
        posts = site.load("post", [near], rate=100, ms=4000, work=50,
                          deadline=2500)
        gets = site.load("get", [near], method="GET", rate=100, ms=4000,
                         work=50, deadline=2500)
        wait_for(lambda: len(site.runs()) > 60, "work handed over")
        far.process.kill()
        far.process.wait()
        time.sleep(0.3)
        site.run_entry(far)
        reports = site.expect_kept(posts, gets)
        for report in reports:
            assert report["outcomes"].get("answered", 0) > 100, \
                outcomes(reports)
        site.expect_kept(site.load("late", [near], rate=50, ms=500))


@test
def silent_peer_link_in_a_hand_over(build, work):
    """The link to the other data centre goes silent: gets are answered over a
    new link, posts end as unknown, new work does not suffer."""
    with Site(build, work, entries="b", targets="bb") as site:
        far = site.entry
        relay = Relay(site, far.peers)
        near = site.add_entry("near", "a", seeds=[relay.address])
        wait_for(lambda: call(near.callers, "GET", "/orders/x")[0] == 200,
                 "overflow works")
        gets = site.load("get", [near], method="GET", rate=40, ms=6000,
                         work=50, deadline=5000)
        posts = site.load("post", [near], rate=40, ms=6000, work=50,
                          deadline=4000)
        time.sleep(1)
        relay.switch(silence=True)
        get, post = site.expect_kept(gets, posts)
        assert get["outcomes"] == {"answered": get["sent"]}, get["outcomes"]
        assert post["outcomes"].get("answered", 0) > 0.4 * post["sent"], \
            post["outcomes"]


@test
def data_centre_cut_off(build, work):
    """A data centre without platform and peers goes on serving its callers;
    overflow to another one resumes by itself."""
    with Site(build, work, entries="b", targets="b") as site:
        far = site.entry
        platform = Relay(site, site.platform)
        peer = Relay(site, far.peers)
        near = site.add_entry("near", "a", seeds=[peer.address],
                              platform=platform.address)
        site.add_target("vm-near", "a")
        result = site.submit(far, site.document())
        assert result.returncode == 0, result.stderr
        site.wait_slots("orders", 16)
        for relay in (platform, peer):
            relay.switch(refuse=True, cut=True)
        far.process.send_signal(signal.SIGSTOP)
        report, = site.expect_kept(
            site.load("cut", [near], rate=100, ms=2000, work=20))
        assert report["outcomes"] == {"answered": report["sent"]}, report
        far.process.send_signal(signal.SIGCONT)
        for relay in (platform, peer):
            relay.switch(refuse=False)
        site.target_switch(site.targets["vm-near"], mode="refuse")
        wait_for(lambda: call(near.callers, "GET", "/orders/x")[0] == 200,
                 "overflow resumes")


@test
def all_targets_of_a_data_centre_killed(build, work):
    """What waits for another attempt goes to the other data centre."""
    with Site(build, work, entries="ab", targets="aabb") as site:
        near = site.entry
        gets = site.load("get", [near], method="GET", rate=60, ms=2500,
                         work=100, deadline=2500)
        wait_for(lambda: len(site.runs()) > 20, "traffic")
        for name in ("vm-0", "vm-1"):
            site.targets[name].process.kill()
        report = finish(gets)
        assert report["outcomes"] == {"answered": report["sent"]}, report


@test
def new_entry_in_a_platform_outage(build, work):
    """An entry VM that starts while the platform is down gets configuration
    and VM list from its peers, and serves."""
    with Site(build, work, entries="aa", targets="aa") as site:
        site.platform_switch(stop=True)
        late = site.add_entry("late", "a")
        wait_for(lambda: call(late.callers, "GET", "/orders/x")[0] == 200,
                 "the new entry VM serves")


@test
def lost_answer_to_a_submission(build, work):
    """The platform carries out writes without answering: the operator who is
    told accepted was told the truth, and the document is in force."""
    with Site(build, work) as site:
        site.platform_switch(lose_answers=2)
        result = site.submit(site.entry, site.document("retry_ratio = 0.4\n"))
        assert result.returncode == 0, result
        shown = site.ctl(site.entry, "config", "show").stdout
        assert "retry_ratio = 0.4" in shown, shown


@test
def silent_platform_connection(build, work):
    """The platform's connections go silent: changes still come through on
    new ones within 19 s."""
    with Site(build, work, entries="b", targets="b") as site:
        relay = Relay(site, site.platform)
        lone = site.add_entry("lone", "a", seeds=[], platform=relay.address)
        wait_for(lambda: site.status(lone)["version"] == 1, "first version")
        relay.switch(silence=True)
        result = site.submit(site.entry, site.document("retry_ratio = 0.4\n"))
        assert result.returncode == 0, result
        wait_for(lambda: site.status(lone)["version"] == 2,
                 "the change is in force", limit=19)
