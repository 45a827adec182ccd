"""Clients hand in jobs, and cancel those that got no answer. With trouble, the
store carries out a share of the writes late, without an answer. Checks
UNASKED."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import platform_standin as ps

CAPACITY = {"Cpu": 32000, "MemMb": 131072, "Gpu": 0}
JOBS = 30
LOST_SHARE = 3  # one write in three (x 0.33) while trouble lasts
LATE_S = 5.5    # kinds: done 1 to 6 s later
CANCEL_MS = 3000
CONTACT_MS = 3000


async def main(world, trouble):
    record = world.record
    if not await world.start(["desk"], [("desk", 4, CAPACITY)], 3,
                             [ps.queue("q1", "/q/", "desk")]):
        return 2
    await asyncio.sleep(4)
    writes = 0
    losing = False

    def lose(puts):
        nonlocal writes
        if not losing:
            return None
        writes += 1
        return LATE_S if writes % LOST_SHARE == 0 else None

    world.store.lose_txn = lose
    cancelled = {}  # job: when its cancelling was acknowledged

    async def client(number):
        ident = ps.job_id()
        node = world.nodes[number % 3].front
        code, _ = await ps.call(
            node, "POST", "/q/" + ident,
            {"Spec": json.dumps({"work_ms": 400}),
             "Steps": [{"Count": 2, "Cpu": 500, "MemMb": 256, "EstMs": 400}]})
        record(f"POST {ident} -> {code}")
        if code in (200, 503, 429):
            return
        # The client gives up: it doesn't know whether the job is accepted, so
        # it cancels it, at another node.
        code, _ = await ps.call(world.nodes[(number + 1) % 3].front, "DELETE",
                                "/q/" + ident)
        record(f"DELETE {ident} -> {code}")
        if code in (200, 410):
            cancelled[ident] = ps.now_ms()

    clients = []
    losing = trouble
    for number in range(JOBS):
        clients.append(asyncio.create_task(client(number)))
        await asyncio.sleep(0.1)
    losing = False
    # The core is stable, and the machines in touch, ContactMs after this.
    in_touch_at = ps.now_ms() + CONTACT_MS
    record(f"no more writes are lost; the machines are in touch at {in_touch_at}")
    await asyncio.gather(*clients)
    await asyncio.sleep(LATE_S + 4)
    broken = 0
    for runner in world.runners:
        for at, task, run, _, _ in runner.starts:
            ident = task.split(".")[0]
            if (ident in cancelled and at > in_touch_at
                    and at > cancelled[ident] + CANCEL_MS):
                broken += 1
                record(f"UNASKED: {task} run {run} starts at {at}, "
                       f"{at - cancelled[ident]} ms after the cancelling was acknowledged")
    starts = sum(len(r.starts) for r in world.runners)
    record(f"{starts} starts, {len(cancelled)} cancels acknowledged, {broken} "
           f"starts over {CANCEL_MS} ms after that")
    if starts == 0:
        return 2
    return 1 if broken else 0


ps.run_case(main)
