"""TWICE, LIMIT: an executor carries out two orders late; an agent takes the answer to an order of an
earlier run for the answer to the order of the present one."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Deployment, Executor, Store, call, main

ROUNDS = 8
CPU = 3000
SLOTS = 2


class LateExecutor(Executor):
    """Leaves the start of the tasks in `unanswered` without an answer and carries it out 3 s later.
    Carries out the first start with run 2 of the tasks in `delayed` after the next such start, or
    50 ms later. Starts whatever it is told to start, as it does not guard its capacity."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.unanswered = set()
        self.delayed = {}
        self.newer_orders = {}
        self.over = []

    async def handle(self, method, path, query, headers, body):
        if path != "/filbertroad/run-start":
            return await super().handle(method, path, query, headers, body)
        fields = json.loads(body)
        task, run = fields["task"], fields["run"]
        self.record.write(f"{self.name}: order to start {task} run {run}, "
                          f"fencing-token {fields['fencing-token']}")
        job = task.split(".")[0]
        if job in self.unanswered:
            self.unanswered.discard(job)
            self.tasks.append(asyncio.create_task(self.handle_late(path, headers, body)))
            return None
        if run == 2 and job in self.delayed:
            newer_order = self.delayed.pop(job)
            self.newer_orders[job] = newer_order
            try:
                await asyncio.wait_for(newer_order.wait(), 0.05)
            except asyncio.TimeoutError:
                pass
        elif run == 2 and job in self.newer_orders:
            self.newer_orders[job].set()
        answer = await super().handle(method, path, query, headers, body)
        self.record.write(f"{self.name}: answer to start {task} run {run}, fencing-token "
                          f"{fields['fencing-token']}: {answer[0]} {answer[1].decode()}")
        return answer

    async def handle_late(self, path, headers, body):
        await asyncio.sleep(3)
        answer = await super().handle("POST", path, {}, headers, body)
        self.record.write(f"{self.name}: late order carried out: {body.decode()[:60]}: {answer[0]}")

    async def handle_start(self, fields):
        before = len(self.runs)
        answer = await super().handle_start(fields)
        used = len(self.runs) * CPU
        if len(self.runs) > before and used > self.capacity["cpu"]:
            self.over.append(f"{self.name}: the start of {fields['task']} run {fields['run']} at "
                             f"{self.record.now():.3f} brings it to {used} of "
                             f"{self.capacity['cpu']} cpu: {sorted(self.runs)}")
        return answer


def overlaps(executors, now):
    """Pairs of runs of one task that worked at the same time."""
    runs = {}
    for executor in executors:
        for task, run, begin, end, _ in executor.all_runs():
            runs.setdefault(task, []).append((begin, end or now, run, executor.name))
    for task, items in sorted(runs.items()):
        items.sort()
        for first, second in zip(items, items[1:]):
            if second[0] < first[1] - 0.005:
                yield (f"{task}: run {first[2]} on {first[3]} from {first[0]:.3f} to {first[1]:.3f}, "
                       f"and run {second[2]} on {second[3]} from {second[0]:.3f} to {second[1]:.3f}")


async def case(record, trouble):
    deployment = Deployment(record)
    store = await Store(record).start()
    clients = []

    def send(key, work_ms, tasks=1):
        async def request():
            answer = await call(
                deployment.entries["entry-1"]["front"], "POST", f"/q1/{key}", deployment.HOST,
                deployment.job(work_ms, tasks, CPU), headers={"Deadline-Ms": "1500"})
            record.write(f"client: POST {key} -> {answer[0]} {answer[1]}")
        record.write(f"client: POST {key} sent, {tasks} x {work_ms} ms")
        clients.append(asyncio.create_task(request()))
        return clients[-1]

    try:
        await store.put("keyed.op", "config", deployment.config(3))
        deployment.add_entry("entry-1", store.address)
        await deployment.make_entry("entry-1").start()
        executor = await LateExecutor(record, "i-1", "zone-1", SLOTS * CPU).start()
        await deployment.make_agent("agent-1", executor, store.address).start()
        executor.report_to(deployment.agents["agent-1"]["control"])
        await deployment.wait_ready("entry-1")
        await asyncio.sleep(2)
        for number in range(1, ROUNDS + 1):
            key, other = f"{number:016x}", f"{number:08x}eeeeeeee"
            await send(key, 300)
            await asyncio.sleep(2)
            # Both slots are in use; the first is free 30 ms before the second.
            send(f"{number:08x}aaaaaaaa", 300)
            send(f"{number:08x}bbbbbbbb", 330)
            await asyncio.sleep(0.1)
            if trouble:
                executor.unanswered = {other}
                executor.delayed = {key: asyncio.Event()}
            send(other, 300)
            await asyncio.sleep(0.01)
            # "Occasionally, such a request also arrives seconds after the 2xx response for that ID."
            send(key, 300)
            await asyncio.sleep(1.9)
        executors = [executor]
        await asyncio.wait(clients, timeout=3)
        return list(overlaps(executors, record.now())) + [
            text for executor in executors for text in executor.over]
    finally:
        await deployment.stop()
        deployment.clean()


main(os.path.dirname(os.path.abspath(__file__)), case)
