#!/usr/bin/env python3
"""Stand-in of an executor with its agent beside it, as a process of its own.

    executor_standin.py LISTEN_ADDRESS AGENT_ADDRESS [--capacity CPU]

It starts what it is told to, ends each run after the time that the task's text names ("run-ms=200",
otherwise 20 ms), lists ends until they are acknowledged, and reports its status every 500 ms.
"""

import argparse
import asyncio
import contextlib
import json
import re
import time

DEFAULT_RUN_MS = 20
REPORT_SECONDS = 0.5


class Executor:
    def __init__(self, capacity):
        self.capacity = capacity
        self.born = int(time.time() * 1000)
        self.running = {}
        self.finished = []
        self.last_number = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def end(self, task, how):
        entry = self.running.pop(task, None)
        if entry is None:
            return
        run, timer = entry
        timer.cancel()
        self.last_number += 1
        self.finished.append([self.last_number, task, run, how, ""])
        self.changed.set()

    def start(self, body):
        task = body["task"]
        if task not in self.running:
            match = re.search(r"run-ms=(\d+)", body["task-spec"])
            seconds = int(match.group(1) if match else DEFAULT_RUN_MS) / 1000
            timer = asyncio.get_running_loop().call_later(seconds, self.end, task, "done")
            self.running[task] = (body["run"], timer)
        return {"clock-ms": self.clock_ms()}

    def stop(self, body):
        self.end(body["task"], "stopped")
        return {"clock-ms": self.clock_ms()}

    async def hold(self, body):
        self.finished = [end for end in self.finished if end[0] > body["last-seen"]]
        if not self.finished and body.get("wait-ms"):
            self.changed.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), body["wait-ms"] / 1000)
        running = [[task, run, "", 100] for task, (run, _) in self.running.items()]
        return {"clock-ms": self.clock_ms(), "born": self.born, "running": running,
                "finished": self.finished[:500]}

    async def answer(self, path, body):
        if path.endswith("run-start"):
            return self.start(body)
        if path.endswith("run-stop"):
            return self.stop(body)
        if path.endswith("hold"):
            return await self.hold(body)
        return {}

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError), contextlib.closing(writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
                body = await reader.readexactly(int(length.group(1)) if length else 0)
                answer = json.dumps(await self.answer(head.split(b" ")[1].decode(),
                                                      json.loads(body or b"{}"))).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(answer) + answer)
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
    options = parser.parse_args()
    executor = Executor(options.capacity)
    await asyncio.start_server(executor.serve, *options.listen)
    await executor.report(options.agent, "%s:%d" % options.listen)


if __name__ == "__main__":
    asyncio.run(main())
