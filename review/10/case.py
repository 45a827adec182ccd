"""A runner that starts again as another kind, under its id, gets tasks that need
the kind it was before, and more than it can hold."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand-ins-2"))
from platform2 import Runner, main  # noqa: E402

# From the start of the runner to its first entry in the registry, at most HeartbeatMs.
DELAY_S = float(os.environ.get("DELAY_S", "1.0"))
DOWN_S = 2.0


async def play(d):
    broken = []

    def on_start(runner, task, run, data):
        taken = 1000 * len(runner.running)
        if taken > runner.capacity["Cpu"]:
            broken.append(f"LIMIT: {task} brings {runner.id} to {taken} of "
                          f"{runner.capacity['Cpu']}")
            d.record(broken[-1])
        if "a" not in runner.labels:
            broken.insert(0, f"ROUTE: {task}, which needs the label a, starts on "
                          f"{runner.id} with the labels {runner.labels}")
            d.record(broken[0])

    d.on_start = on_start
    runner = Runner(d, "i-1", "desk", "m-1", work=lambda task: 800)
    await runner.start()
    runner.register()
    # Two machines of different kinds; the runner's next life is on the other one.
    d.machines.add("m-1", "desk", "i-1")
    d.machines.add("m-2", "desk", None, State="down", Labels=["b", "r1-1"],
                   Capacity={"Cpu": 1000, "MemMb": 16384, "Gpu": 0})
    d.configure(3, [{"Name": "r-1", "Prefix": "/orders/", "Service": "desk"}],
                [{"Name": "desk"}])
    vms = [await d.add_vm(f"front-{n}") for n in (1, 2)]
    await d.until("a leader", lambda: d.leader("desk"), 15)
    spec = {"Spec": "x", "Steps": [{"Count": 2, "Cpu": 1000, "MemMb": 256,
                                    "EstMs": 800, "Needs": "a"}]}

    async def clients():
        number = 0
        while True:
            number += 1
            await vms[number % 2].request("POST", f"/orders/{number:016x}", spec)
            await asyncio.sleep(0.4)

    asyncio.ensure_future(clients())
    await asyncio.sleep(4)
    for _ in range(4):
        if d.trouble:
            runner.crash()
            d.machines.rows[runner.machine].update(State="down", Id=None)
            await asyncio.sleep(DOWN_S)
            runner.machine = "m-2" if runner.machine == "m-1" else "m-1"
            row = d.machines.rows[runner.machine]
            row.update(State="up", Id=runner.id)
            runner.labels, runner.capacity = row["Labels"], row["Capacity"]
            await runner.start()
            await asyncio.sleep(DELAY_S)
            runner.register()
        await asyncio.sleep(3)
    return broken[0] if broken else None


main(Path(__file__).resolve().parent, play)
