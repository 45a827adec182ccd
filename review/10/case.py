"""After a configuration sends a queue to another service, the queue's Waiting
leaves out the jobs that were accepted before."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand-ins-2"))
from platform2 import Runner, main, now_ms  # noqa: E402

JOBS = 40


async def play(d):
    begun = set()
    d.on_start = lambda runner, task, run, data: begun.add(task.split(".")[0])
    # The runner of the first service has room for one task at a time.
    for service in ("desk", "annex"):
        runner = Runner(d, "i-" + service, service, "m-" + service,
                        work=lambda task: 90000)
        await runner.start()
        runner.register()
        d.machines.add("m-" + service, service, runner.id)
    services = [{"Name": "desk"}, {"Name": "annex"}]
    route = {"Name": "r-1", "Prefix": "/orders/", "Service": "desk"}
    d.configure(3, [route], services)
    vms = [await d.add_vm(f"front-{n}") for n in (1, 2)]
    await d.until("leaders", lambda: d.leader("desk") and d.leader("annex"), 15)
    spec = {"Spec": "x", "Steps": [{"Count": 1, "Cpu": 4000, "MemMb": 256,
                                    "EstMs": 90000}]}
    accepted = []
    for number in range(JOBS):
        job = f"{number:016x}"
        code, answer = await vms[number % 2].request("POST", "/orders/" + job, spec)
        d.record("client: POST", job, "->", code, answer)
        if code == 200:
            accepted.append((job, now_ms()))
    if len(accepted) < JOBS / 2:
        from platform2 import CannotRun
        raise CannotRun("too few jobs were accepted")
    await asyncio.sleep(2)
    if d.trouble:
        # Requests sent later than ConfigMs after this go by the new version.
        d.configure(5, [dict(route, Service="annex")], services)
    wrong = []
    for _ in range(8):
        await asyncio.sleep(1.5)
        old = now_ms() - d.bounds["visible_ms"] - 2000
        owed = [job for job, at in accepted if at < old and job not in begun]
        for vm in vms:
            code, answer = await vm.request("GET", "/orders/")
            d.record("client: GET /orders/ at", vm.name, "->", code, answer,
                     "not begun:", len(owed))
            if code == 200 and 2 * answer["Waiting"] < len(owed):
                wrong.append(f"{vm.name} gives {answer['Waiting']} as Waiting while "
                             f"{len(owed)} jobs accepted long before have not begun")
    return wrong[-1] if wrong else None


main(Path(__file__).resolve().parent, play)
