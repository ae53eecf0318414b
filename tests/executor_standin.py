#!/usr/bin/env python3
"""Stand-in of an executor with its agent beside it, as a process of its own.

    executor_standin.py LISTEN_ADDRESS AGENT_ADDRESS [--capacity CPU] [--journal FILE]

It starts what it is told to, ends each run after the time that the task's text names ("run-ms=200",
otherwise 20 ms) or when its lease is over, lists ends until they are acknowledged, and reports its
status every 500 ms. The journal has a line "SECONDS start|done|stopped|lapsed TASK RUN" for each
start and end, by the monotonic clock of the machine.
"""

import argparse
import asyncio
import contextlib
import json
import re
import time

DEFAULT_RUN_MS = 20
REPORT_SECONDS = 0.5
MAX_LEASE_MS = 1000


class Executor:
    def __init__(self, capacity, journal):
        self.capacity = capacity
        self.journal = journal
        self.born = int(time.time() * 1000)
        self.running = {}
        self.finished = []
        self.last_number = 0
        self.last_runs = {}
        self.fencing_token = 0
        self.lease_end = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def record(self, what, task, run, seconds=None):
        if self.journal:
            seconds = time.monotonic() if seconds is None else seconds
            self.journal.write("%.6f %s %s %d\n" % (seconds, what, task, run))
            self.journal.flush()

    def lapse(self):
        """Ends all runs if the lease is over. They ended with it, also if this process did not run
        at that time."""
        if self.clock_ms() >= self.lease_end:
            for task in list(self.running):
                self.remove(task, "lapsed", self.lease_end / 1000)

    def end(self, task, how):
        self.lapse()
        self.remove(task, how)

    def remove(self, task, how, seconds=None):
        entry = self.running.pop(task, None)
        if entry is None:
            return
        run, timer = entry
        timer.cancel()
        self.record(how, task, run, seconds)
        self.last_number += 1
        self.finished.append([self.last_number, task, run, how, ""])
        self.changed.set()

    def renew(self, body):
        """Extends the lease of everything that runs, at most to MAX_LEASE_MS from now."""
        self.lapse()
        if "deadline-ms" in body:
            end = min(body["deadline-ms"], self.clock_ms() + MAX_LEASE_MS)
            self.lease_end = max(self.lease_end, end)

    def refusal(self, body):
        """Why a call has no effect; None if it has one."""
        if body["fencing-token"] < self.fencing_token:
            return "fence"
        self.fencing_token = body["fencing-token"]
        return None

    def start(self, body):
        task, run = body["task"], body["run"]
        self.renew(body)
        reason = self.refusal(body)
        if not reason and task not in self.running and run <= self.last_runs.get(task, 0):
            reason = "old"
        if not reason and self.lease_end <= self.clock_ms():
            reason = "late"
        if reason:
            return 409, {"clock-ms": self.clock_ms(), "reason": reason}
        if task not in self.running:
            match = re.search(r"run-ms=(\d+)", body["task-spec"])
            seconds = int(match.group(1) if match else DEFAULT_RUN_MS) / 1000
            timer = asyncio.get_running_loop().call_later(seconds, self.end, task, "done")
            self.running[task] = (run, timer)
            self.last_runs[task] = run
            self.record("start", task, run)
        return 200, {"clock-ms": self.clock_ms()}

    def stop(self, body):
        if reason := self.refusal(body):
            return 409, {"clock-ms": self.clock_ms(), "reason": reason}
        task = body["task"]
        self.last_runs[task] = max(self.last_runs.get(task, 0), body["run"])
        self.end(task, "stopped")
        return 200, {"clock-ms": self.clock_ms()}

    async def hold(self, body):
        if reason := self.refusal(body):
            return 409, {"clock-ms": self.clock_ms(), "reason": reason}
        self.renew(body)
        self.finished = [end for end in self.finished if end[0] > body["last-seen"]]
        if not self.finished and body.get("wait-ms"):
            self.changed.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), body["wait-ms"] / 1000)
        running = [[task, run, "", 100] for task, (run, _) in self.running.items()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running,
                     "finished": self.finished[:500]}

    async def expire(self):
        while True:
            await asyncio.sleep(0.005)
            self.lapse()

    async def answer(self, path, body):
        if path.endswith("run-start"):
            return self.start(body)
        if path.endswith("run-stop"):
            return self.stop(body)
        if path.endswith("hold"):
            return await self.hold(body)
        return 200, {}

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError), contextlib.closing(writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
                body = await reader.readexactly(int(length.group(1)) if length else 0)
                status, answer = await self.answer(head.split(b" ")[1].decode(),
                                                   json.loads(body or b"{}"))
                answer = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()

    async def report(self, agent, own_address):
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps({
                "service": "s", "state": "ready", "address": own_address, "born": self.born,
                "sequence": sequence, "clock-ms": self.clock_ms(),
                "capacity": {"cpu": self.capacity, "mem-mb": 256000, "gpu": 0}}).encode()
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*agent)
                with contextlib.closing(writer):
                    writer.write(b"PUT /filbertroad/executors/x1 HTTP/1.1\r\nHost: a\r\n"
                                 b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
                                 + body)
                    await reader.read()
            await asyncio.sleep(REPORT_SECONDS)


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("listen", type=split)
    parser.add_argument("agent", type=split)
    parser.add_argument("--capacity", type=int, default=64000)
    parser.add_argument("--journal", type=lambda path: open(path, "a"))
    options = parser.parse_args()
    executor = Executor(options.capacity, options.journal)
    await asyncio.start_server(executor.serve, *options.listen)
    await asyncio.gather(executor.expire(), executor.report(options.agent, "%s:%d" % options.listen))


if __name__ == "__main__":
    asyncio.run(main())
