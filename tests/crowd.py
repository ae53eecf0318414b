#!/usr/bin/env python3
"""A crowd of clients outside the limits, as a process of its own.

    echo '{"address": "127.0.0.1:8000", "kind": "repeated_jobs", "count": 40, "seconds": 10}' \
        | crowd.py

It reads its options from the first line of its standard input, prints "ready" when every client has
sent its first message, and ends after `seconds` or when its standard input is closed. `body` is the
body of each job, `deadline_ms` its time budget. A client connects again `pause_ms` after its
connection was closed, and sends at most MAX_SENT_BYTES on each.
"""

import asyncio
import contextlib
import json
import os
import resource
import sys

MAX_SENT_BYTES = 64 * 1024 * 1024
HOST = "h.example"


def job_message(options, number):
    body = options.get("body", "")
    head = ("POST /p/%016x HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n"
            % (options.get("first_key", 0xc0000000) + number, HOST,
               options.get("deadline_ms", 2000), options.get("header", ""), len(body)))
    return (head + body).encode()


class Crowd:
    def __init__(self, options):
        self.options = options
        host, port = options["address"].rsplit(":", 1)
        self.address = host, int(port)
        self.sent_first = 0
        self.all_sent = asyncio.Event()
        self.keys = 0
        self.statuses = {}

    def next_message(self):
        self.keys += 1
        return job_message(self.options, self.keys)

    def count_first(self):
        self.sent_first += 1
        if self.sent_first == self.options["count"]:
            self.all_sent.set()

    async def read_response(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        status = head.split(b" ")[1].decode()
        self.statuses[status] = self.statuses.get(status, 0) + 1
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        return b"connection: close" not in head.lower()

    async def held_jobs(self, reader, writer):
        """One job, whose answer is awaited."""
        writer.write(self.next_message())
        await writer.drain()
        self.count_first()
        await self.read_response(reader)

    async def repeated_jobs(self, reader, writer):
        """The next job after each answer."""
        sent = 0
        while sent < MAX_SENT_BYTES:
            message = self.next_message()
            writer.write(message)
            await writer.drain()
            if sent == 0:
                self.count_first()
            sent += len(message)
            if not await self.read_response(reader):
                return

    async def abandoned_jobs(self, _, writer):
        """A job, whose client leaves 20 ms later."""
        writer.write(self.next_message())
        await writer.drain()
        await asyncio.sleep(0.02)

    async def repeated_requests(self, reader, writer):
        """`request` again after each answer."""
        message = self.options["request"].encode()
        for number in range(MAX_SENT_BYTES // len(message)):
            writer.write(message)
            await writer.drain()
            if number == 0:
                self.count_first()
            if not await self.read_response(reader):
                return

    async def endless_messages(self, _, writer):
        """`head`, then `part` without end."""
        writer.write(self.options["head"].encode())
        part = self.options["part"].encode()
        for number in range(MAX_SENT_BYTES // len(part)):
            writer.write(part)
            await writer.drain()
            if number == 0:
                self.count_first()

    async def slow_heads(self, _, writer):
        """A byte of a header field each 20 ms."""
        writer.write(b"POST /p/1 HTTP/1.1\r\nHost: h\r\nX: ")
        while True:
            writer.write(b"x")
            await writer.drain()
            self.count_first()
            await asyncio.sleep(0.02)

    async def pipelined_requests(self, _, writer):
        """Requests without end, whose answers are never read."""
        message = self.options["request"].encode() * 100
        for number in range(MAX_SENT_BYTES // len(message)):
            writer.write(message)
            if number == 0:
                self.count_first()
            await writer.drain()

    async def client(self):
        """Connects again as often as the connection is closed."""
        while True:
            is_first = self.sent_first < self.options["count"]
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError):
                reader, writer = await asyncio.open_connection(*self.address, limit=65536)
                try:
                    await getattr(self, self.options["kind"])(reader, writer)
                finally:
                    writer.close()
            if is_first:
                self.count_first()
            await asyncio.sleep(self.options.get("pause_ms", 0) / 1000)

    async def run(self):
        self.clients = [asyncio.create_task(self.client()) for _ in range(self.options["count"])]
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.all_sent.wait(), 10)
        print("ready", flush=True)
        end = asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
        await asyncio.wait([end], timeout=self.options["seconds"])
        print(json.dumps({"jobs": self.keys, "statuses": self.statuses}), flush=True)
        # Neither the clients nor the thread that reads the standard input are waited for.
        os._exit(0)


if __name__ == "__main__":
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    asyncio.run(Crowd(json.loads(sys.stdin.readline())).run())
