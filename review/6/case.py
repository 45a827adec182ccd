"""A leader that is alone in its list of members goes on leading when its data
centre is cut off, although another entry VM joins outside and replaces it."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand-ins-2"))
from platform2 import Runner, main, now_ms  # noqa: E402

JOB = "5c0e7a21d94b36f8"
# Longest zone_cut of the site files large/ and demands/stl-cdr-grown, whose MaxHoldMs
# is used too.
CUT_S = 6.2
MAX_HOLD_MS = 6000


async def play(d):
    d.bounds["MaxHoldMs"] = MAX_HOLD_MS
    live = {}        # task -> {(runner, run)}
    overlaps = []

    def on_start(runner, task, run, data):
        others = [r for r in live.setdefault(task, set()) if r[0] != runner.id]
        live[task].add((runner.id, run))
        if others:
            overlaps.append(f"run {run} of {task} starts on {runner.id} while run "
                            f"{others[0][1]} is under way on {others[0][0]}")
            d.record("TWICE:", overlaps[-1])

    def on_end(runner, task, run, how):
        live.get(task, set()).discard((runner.id, run))

    d.on_start, d.on_end = on_start, on_end
    near, far = (Runner(d, name, "desk", "m-" + name, zone=zone,
                        work=lambda task: 60000)
                 for name, zone in (("i-near", "z1"), ("i-far", "z2")))
    for runner in (near, far):
        await runner.start()
        d.machines.add(runner.machine, "desk", runner.id, Zone=runner.zone)
    near.register()
    d.configure(3, [{"Name": "r-1", "Prefix": "/orders/", "Service": "desk"}],
                [{"Name": "desk"}])
    # The entry VM of z1 starts first, so it leads the service.
    a = await d.add_vm("front-z1", "z1")
    await d.until("a leader", lambda: d.leader("desk") == "front-z1", 15)
    b = await d.add_vm("front-z2", "z2")
    await d.until("both are members",
                  lambda: "cf/n/node/front-z2" in d.store.items, 10)
    spec = {"Spec": "x", "Steps": [{"Count": 1, "Cpu": 3000, "MemMb": 256,
                                    "EstMs": 60000}]}

    async def accepted():
        code, answer = await a.request("POST", "/orders/" + JOB, spec)
        d.record("client: POST", JOB, "to", a.name, "->", code, answer)
        return code == 200

    await d.until("job accepted", accepted, 10)
    await d.until("its task runs", lambda: near.running, 10)
    # The other data centre has a runner with room for the task, too.
    far.register()
    await asyncio.sleep(2)
    if d.trouble:
        # Planned restart of the entry VM of z2; z1 is cut off before it is back.
        b.signal(signal.SIGTERM)
        await b.wait_end()
        await d.until("it has left", lambda: "cf/n/node/front-z2" not in d.store.items, 5)
        await asyncio.sleep(1)
        fence = near.fence
        d.record("z1 is cut off from z2 and the platform for", CUT_S, "s")
        d.store.cut.add("front-z1")
        near.cut_for = lambda data: data.get("Fence", 0) > fence
        far.cut_for = lambda data: data.get("Fence", 0) <= fence
        b.start()
        await asyncio.sleep(CUT_S)
        d.store.cut.discard("front-z1")
        near.cut_for = far.cut_for = None
        d.record("the cut is over")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(4)
    return overlaps[0] if overlaps else None


main(Path(__file__).resolve().parent, play)
