"""Best-effort tasks run beside tasks that serve. After a quiet half minute the
tail latency of the serving tasks rises, and the best-effort tasks are paced."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-3"))
from fleet import CannotRun, now_ms, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVING, FILLING = "00000000000000a1", "00000000000000b1"
QUIET_S = 35
TARGET_MS = 100
MAY_MISS = 1


async def scenario(world):
    platform, store = world.platform, world.platform.store
    platform.spare = "pool-spare"
    store.put("op/config", {
        "Version": 1,
        "Routes": [{"Name": "q", "Host": "q.example", "Prefix": "/q/",
                    "Service": "desk", "MaxAttempts": 4, "Stretch": 2.2,
                    "TargetLatencyMs": 2500}],
        "Services": [{"Name": "desk"}, {"Name": "pool-spare", "Spare": True}],
        "Limits": {}})
    for name in ("m-1", "m-2"):
        await platform.add_machine(name, "desk")
    await world.add_vms(2)
    await world.until(lambda: world.leader("~pools") and world.leader("desk"),
                      20, "leaders")
    await asyncio.sleep(2)

    def running():
        return {task: runner for runner in platform.runners
                for task in runner.runs}

    tail = [30]
    platform.metric = lambda runner, task: \
        tail[0] if task.startswith(SERVING) else 300

    async def submit(job, steps):
        for _ in range(20):
            status, _ = await world.vms[0].call(
                "POST", "/q/" + job, "q.example",
                {"Spec": "lasts", "Steps": steps})
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun("a job was not accepted")

    await submit(SERVING, [{"Count": 4, "Cpu": 3000, "MemMb": 1024,
                            "EstMs": 700, "LongRunning": True,
                            "Image": "serve", "TargetMs": TARGET_MS,
                            "MayMiss": MAY_MISS}])
    await world.until(lambda: len(running()) == 4, 10, "the serving tasks")
    await submit(FILLING, [{"Count": 6, "Cpu": 500, "MemMb": 256,
                            "EstMs": 700, "LongRunning": True,
                            "Image": "fill", "FillCount": 1}])
    await world.until(lambda: len(running()) == 10, 10, "the filling tasks")

    broken = []
    last_run = {}   # serving task: when it last had a run
    away = set()    # serving tasks whose lease lapsed and that have no run

    def on_end(runner, task, number, how):
        if task.startswith(SERVING) and how == "lapsed":
            if len(away - {task}) >= MAY_MISS:
                broken.append(f"AVAIL: {task} lapses while {sorted(away)} "
                              f"are away, MayMiss {MAY_MISS}")
                world.record("AVAIL-BROKEN", task=task)
            away.add(task)

    def on_start(runner, task, number, body):
        away.discard(task)

    platform.end_listeners.append(on_end)
    platform.start_listeners.append(on_start)
    await asyncio.sleep(QUIET_S)
    if TROUBLE:
        tail[0] = 92
        world.record("tail-latency", serving_ms=tail[0])
    reported = set()
    end = now_ms() + 25000
    while now_ms() < end:
        await asyncio.sleep(0.1)
        present = running()
        for index in range(4):
            task = f"{SERVING}.0.0.{index}"
            if task in present:
                last_run[task] = now_ms()
            free = max(runner.machine.capacity["Cpu"] - 3000 * sum(
                other.startswith(SERVING) for other in runner.runs)
                for runner in platform.runners)
            idle = now_ms() - last_run[task]
            # From 6 s after its last run, for 3 s, with room twice over.
            if idle > 9500 and free >= 6000 and task not in reported:
                reported.add(task)
                broken.append(f"LOST: {task} has had no run for "
                              f"{idle / 1000:.1f} s, room {free}")
                world.record("LOST-BROKEN", task=task, idle_ms=int(idle),
                             free_cpu=free)
    return "; ".join(broken)


run(HERE, scenario)
