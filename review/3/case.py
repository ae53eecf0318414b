"""EVAC: the store is down twice; in between a zone is evacuated. Tasks start there long after."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Deployment, Executor, Proxy, Store, call, main

EVACUATE_S = 5.0
CONTACT_S = 3.0
ENTRIES = ("entry-1", "entry-2", "entry-3")
ZONES = ("zone-1", "zone-2", "zone-3", "zone-1", "zone-2", "zone-3")


async def submit(deployment, record, entry, number):
    path = f"/q1/{number:016x}"
    answer = await call(deployment.entries[entry]["front"], "POST", path, deployment.HOST,
                        deployment.job(100, 2), headers={"Deadline-Ms": "1500"})
    record.write(f"{entry}: POST {path} -> {answer[0]} {answer[1]}")


async def traffic(deployment, record):
    """Ten jobs a second at each entry."""
    number = 0
    tasks = set()
    while True:
        for entry in ENTRIES:
            number += 1
            tasks.add(asyncio.create_task(submit(deployment, record, entry, number)))
        await asyncio.sleep(0.1)


async def case(record, trouble):
    deployment = Deployment(record)
    store = await Store(record).start()
    proxy = await Proxy(store.address).start()

    async def outage(begin, end):
        await asyncio.sleep(begin - record.now())
        if trouble:
            record.write("store: down, gives no response")
            proxy.swallows = True
            proxy.silence()
        await asyncio.sleep(end - record.now())
        if trouble:
            proxy.swallows = False
            record.write("store: up")

    try:
        await store.put("keyed.op", "config", deployment.config(3))
        for name in ENTRIES:
            deployment.add_entry(name, proxy.address)
        for name in ENTRIES:
            await deployment.make_entry(name).start()
        for number, zone in enumerate(ZONES, 1):
            executor = await Executor(record, f"i-{number}", zone).start()
            await deployment.make_agent(f"agent-{number}", executor, proxy.address).start()
            executor.report_to(deployment.agents[f"agent-{number}"]["control"])
        for name in ENTRIES:
            await deployment.wait_ready(name)
        load = asyncio.create_task(traffic(deployment, record))
        await asyncio.sleep(3.2)

        # An ordinary change; every entry's read of the operator's topic begins anew with it.
        await store.put("keyed.op", "config", deployment.config(5))
        changed = record.now()
        await outage(changed + 2.6, changed + 6.2)
        await store.put("keyed.op", "evacuate/zone-2", {})
        acknowledged = record.now()
        await outage(changed + 6.5, changed + 9.9)
        calm = record.now()
        await asyncio.sleep(5.5)
        load.cancel()

        due = max(acknowledged + EVACUATE_S, calm + CONTACT_S)
        breaches = []
        for executor in deployment.executors.values():
            for task, run, started, _, _ in executor.all_runs():
                if executor.zone == "zone-2" and started > due + 0.05:
                    breaches.append(
                        f"{executor.name} in zone-2 started {task} run {run} at {started:.3f}, "
                        f"{started - acknowledged:.2f} s after the evacuation was acknowledged, "
                        f"{started - calm:.2f} s after the store was up")
        return breaches
    finally:
        await deployment.stop()
        deployment.clean()


main(os.path.dirname(os.path.abspath(__file__)), case)
