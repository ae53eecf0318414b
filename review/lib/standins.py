"""Stand-ins of the platform for the cases in this folder: the store, an executor, a TCP proxy, and
an HTTP client; and a small deployment of entries and agents as separate processes.

Everything runs on loopback addresses and the real clock. The stand-ins do what PROTOCOL.md says,
and no more than the cases need. Standard library only.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join("target", "filbertroad")
# An address of the loopback range for this process, so that neither other cases nor the ports of
# outgoing connections, which are of 127.0.0.1, take a port that was found free.
IP = f"127.{1 + os.getpid() // 62500 % 250}.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads one HTTP/1.1 message: (first line, headers, body); None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves `handle(method, path, query, headers, body)` -> (status, bytes) or None (no answer)."""

    def __init__(self, handle, content_type="application/json"):
        self.handle = handle
        self.content_type = content_type
        self.server = None
        self.port = 0
        self.writers = set()
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, IP, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{IP}:{self.port}"

    def drop_all(self):
        """Resets all connections and closes the port."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        # The event loop holds tasks weakly.
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(item.split("=", 1) for item in text.split("&") if "=" in item)
                result = await self.handle(method, path, query, headers, body)
                if result is None:
                    # A connection on which a response is lost returns nothing further.
                    await asyncio.sleep(3600)
                    return
                status, answer = result
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {self.content_type}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()


class Connection:
    """A client's connection to an entry; one request at a time."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    async def request(self, method, path, host, body=None, timeout=3.0, headers=None):
        """Returns (status, body text), or ("no answer", reason) if the connection ends first."""
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(data)}\r\n"
        if data:
            head += "Content-Type: application/json\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        try:
            self.writer.write(head.encode() + b"\r\n" + data)
            await self.writer.drain()
            message = await asyncio.wait_for(read_message(self.reader), timeout)
        except asyncio.TimeoutError:
            return "no answer", f"within {timeout} s"
        except ConnectionError as error:
            return "no answer", f"connection broken: {error}"
        if message is None:
            return "no answer", "connection ended"
        return int(message[0].split(" ")[1]), message[2].decode()

    def is_closed_by_peer(self):
        return self.reader.at_eof()

    def close(self):
        if self.writer:
            self.writer.transport.abort()


async def call(address, method, path, host="x", body=None, timeout=3.0, headers=None):
    """One request on a new connection."""
    connection = Connection(address)
    try:
        await asyncio.wait_for(connection.open(), timeout)
    except (OSError, asyncio.TimeoutError) as error:
        return "no answer", f"cannot connect: {error}"
    try:
        return await connection.request(method, path, host, body, timeout, headers)
    finally:
        connection.close()


# ---------------------------------------------------------------- proxy


class Proxy:
    """TCP proxy to `target`. silence() makes the open connections silent for good, without a reset;
    connections that are opened later work. While `swallows` is set, nothing passes from the target
    to the client on any connection that was open during that time, now or later."""

    def __init__(self, target):
        self.host, port = target.rsplit(":", 1)
        self.target_port = int(port)
        self.silent = set()
        self.open = set()
        self.swallows = False
        self.port = 0
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{IP}:{self.port}"

    def silence(self):
        count = len(self.open - self.silent)
        self.silent |= self.open
        return count

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.connect(reader, writer)
        finally:
            self.tasks.discard(task)

    async def connect(self, reader, writer):
        try:
            peer_reader, peer_writer = await asyncio.open_connection(self.host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        key = object()
        self.open.add(key)

        def is_silent():
            if self.swallows:
                self.silent.add(key)
            return key in self.silent

        async def pump(source, sink):
            while True:
                data = await source.read(65536)
                if is_silent():
                    if not data:
                        return
                    continue
                if not data:
                    sink.transport.abort() if sink.is_closing() else sink.close()
                    return
                sink.write(data)
                await sink.drain()

        async def guarded(source, sink):
            try:
                await pump(source, sink)
            except (ConnectionError, asyncio.CancelledError):
                pass

        await asyncio.gather(guarded(reader, peer_writer), guarded(peer_reader, writer))
        self.open.discard(key)
        self.silent.discard(key)
        writer.transport.abort()
        peer_writer.transport.abort()


# ---------------------------------------------------------------- store


class Store:
    """The platform's log with keyed topics (PROTOCOL.md, metadata store)."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle, "application/octet-stream")

    async def start(self):
        await self.server.start()
        return self

    @property
    def address(self):
        return self.server.address

    async def put(self, topic, key, value):
        """Appends a record as the operator does; returns when the store has confirmed it."""
        await asyncio.sleep(0.004)
        data = b"" if value is None else json.dumps(value).encode()
        await self.append(topic, [bytes([len(key)]) + key.encode() + data])
        self.record.write(f"operator: {topic}/{key} confirmed: {data.decode()}")

    async def append(self, topic, records):
        async with self.changed:
            log = self.topics.setdefault(topic, [])
            first = len(log)
            log.extend(records)
            self.changed.notify_all()
        return first, len(log)

    async def handle(self, method, path, query, headers, body):
        topic = query.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/filbertroad/log-append":
            records = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            await asyncio.sleep(0.004)
            first, end = await self.append(topic, records)
            return 200, json.dumps({"offset": first, "end": end}).encode()
        if path == "/filbertroad/log-read":
            begin = int(query["from"])
            wait = int(query.get("wait-ms", "0")) / 1000
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(log) > begin), max(wait, 0.001))
            except asyncio.TimeoutError:
                pass
            answer = struct.pack(">QQ", len(log), 0)
            for item in log[begin:]:
                answer += struct.pack(">I", len(item)) + item
            return 200, answer
        if path == "/filbertroad/log-newest":
            newest = {}
            for offset, item in enumerate(log):
                key = item[1:1 + item[0]].decode()
                newest[key] = (offset, item[1 + item[0]:])
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items())
                     if value and key > query.get("after", "")]
            return 200, json.dumps({"items": items, "has-more": False, "end": len(log)}).encode()
        return 404, b"{}"


# ---------------------------------------------------------------- executor


class Executor:
    """An executor without a guard on its capacity (PROTOCOL.md, Running tasks). The time that a
    task works is its task-spec, "work MS"."""

    def __init__(self, record, name, zone, cpu=32000, hold_max_ms=1000, beat_s=1.5):
        self.record = record
        self.name = name
        self.zone = zone
        self.capacity = {"cpu": cpu, "mem-mb": 131072, "gpu": 0}
        self.hold_max_ms = hold_max_ms
        self.beat_s = beat_s
        self.server = HttpServer(self.handle)
        self.state = "ready"
        self.sequence = 0
        self.agent = None
        self.runs = {}      # (task, run) -> handle of the end of its work
        self.ended = {}     # task -> highest run that ended or was stopped here
        self.finished = []  # [N, task, run, how, saved]
        self.numbers = 0
        self.token = 0
        self.lease = 0
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.changed = asyncio.Condition()
        self.history = []   # (task, run, started, ended, how), seconds of the record
        self.started_at = {}

    async def start(self):
        await self.server.start()
        self.tasks = [asyncio.create_task(self.watch_lease())]
        return self

    @property
    def address(self):
        return self.server.address

    def report_to(self, agent_address):
        self.agent = agent_address
        self.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self):
        while True:
            await self.send_report()
            await asyncio.sleep(self.beat_s)

    async def send_report(self):
        self.sequence += 1
        body = {"service": "svc", "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": self.state, "cold-remaining-ms": 0, "capacity": self.capacity,
                "labels": ["a", "r1-1"], "clock-ms": self.clock(), "sequence": self.sequence,
                "born": self.born}
        return await call(self.agent, "PUT", f"/filbertroad/executors/{self.name}", body=body,
                          timeout=1.0)

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000)

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(int(deadline), self.clock() + self.hold_max_ms))

    def all_runs(self):
        """Rows of task, run, start, end and how; without an end, a run goes on."""
        return self.history + [(task, run, self.started_at[task, run], None, "")
                               for task, run in self.runs]

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock() >= self.lease:
                for task, run in list(self.runs):
                    await self.end(task, run, "lapsed")

    async def end(self, task, run, how):
        if (task, run) not in self.runs:
            return
        self.runs.pop((task, run)).cancel()
        self.ended[task] = max(run, self.ended.get(task, 0))
        self.numbers += 1
        self.finished.append([self.numbers, task, run, how, ""])
        self.history.append((task, run, self.started_at.pop((task, run)), self.record.now(), how))
        self.record.write(f"{self.name}: end {task} run {run}: {how}")
        async with self.changed:
            self.changed.notify_all()

    async def crash(self):
        """Ends all runs and connections and stops to listen."""
        self.record.write(f"{self.name}: crash")
        self.server.drop_all()
        for task, run in list(self.runs):
            self.runs.pop((task, run)).cancel()
            self.history.append((task, run, self.started_at.pop((task, run)), self.record.now(),
                                 "crash"))

    async def boot(self):
        """Starts again under the same id and address, and knows nothing of before."""
        self.ended, self.finished, self.numbers, self.token, self.lease = {}, [], 0, 0, 0
        self.sequence = 0
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.begin = time.monotonic()
        await self.server.start(self.server.port)
        self.record.write(f"{self.name}: starts again under its id, born {self.born}")

    def answer(self, status, **more):
        return status, json.dumps({"clock-ms": self.clock(), "born": self.born, **more}).encode()

    async def handle(self, method, path, query, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, b"{}"
        fields = json.loads(body or b"{}")
        token = fields.get("fencing-token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if path == "/filbertroad/run-start":
            return await self.handle_start(fields)
        if path == "/filbertroad/run-stop":
            task, run = fields["task"], fields["run"]
            self.record.write(f"{self.name}: stop {task} run {run}")
            asyncio.get_running_loop().call_later(
                0.02, lambda: asyncio.ensure_future(self.end(task, run, "stopped")))
            self.ended[task] = max(run, self.ended.get(task, 0))
            return self.answer(200)
        if path == "/filbertroad/hold":
            return await self.handle_hold(fields)
        return 404, b"{}"

    async def handle_start(self, fields):
        task, run = fields["task"], fields["run"]
        if int(fields["deadline-ms"]) <= self.clock():
            return self.answer(409, reason="late")
        self.extend(fields["deadline-ms"])
        if (task, run) in self.runs:
            return self.answer(200)
        if run <= self.ended.get(task, 0):
            return self.answer(409, reason="old")
        work = int(fields["task-spec"].split(" ")[1]) / 1000
        loop = asyncio.get_running_loop()
        handle = loop.call_later(
            work, lambda: asyncio.ensure_future(self.end(task, run, "done")))
        self.runs[task, run] = handle
        self.started_at[task, run] = self.record.now()
        self.record.write(f"{self.name}: start {task} run {run}")
        return self.answer(200)

    async def handle_hold(self, fields):
        self.extend(fields.get("deadline-ms"))
        seen = fields.get("last-seen", 0)
        self.finished = [item for item in self.finished if item[0] > seen]
        wait = min(int(fields.get("wait-ms", 0)), 2000) / 1000
        if not self.finished and wait:
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(self.finished) > 0), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 100] for task, run in self.runs]
        return self.answer(200, running=running, finished=self.finished[:500])


# ---------------------------------------------------------------- processes


class Process:
    def __init__(self, record, folder, name, role, text):
        self.record = record
        self.name = name
        self.role = role
        self.settings = os.path.join(folder, name + ".toml")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, self.role, self.settings, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/")})
        log.close()
        self.record.write(f"{self.name}: process started")

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.write(f"{self.name}: {signal.Signals(number).name}")

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def wait(self, timeout):
        """Returns whether the process ended in time."""
        try:
            await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return False
        self.record.write(f"{self.name}: process ended with {self.process.returncode}")
        return True


class Deployment:
    """Entries and agents as in the deploy file, with the templates of deploy/ filled in."""

    HOST = "shop.example"
    PREFIX = "/q1/"

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.entries = {}
        self.agents = {}
        self.executors = {}
        self.seeds = []

    def config(self, version, routes=None):
        names = routes or ["q1"]
        return {"version": version,
                "routes": [{"name": name, "host": self.HOST, "path-prefix": f"/{name}/",
                            "service": "svc", "priority": 1, "max-attempts": 2, "stretch": 1.6,
                            "target-latency-ms": 300} for name in names],
                "services": [{"name": "svc", "enforce-capacity": False}], "limits": {}}

    def add_entry(self, name, store_address, grace_s=6):
        front, ready, link = free_port(), free_port(), free_port()
        self.seeds.append(f"{IP}:{link}")
        self.entries[name] = {"front": f"{IP}:{front}", "ready": f"{IP}:{ready}",
                              "link": f"{IP}:{link}", "store": store_address,
                              "grace": grace_s}

    def make_entry(self, name):
        entry = self.entries[name]
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        text = (f'role = "dispatch-entry"\nname = "{name}"\nlisten_http = "{entry["front"]}"\n'
                f'listen_ready = "{entry["ready"]}"\nlisten_link = "{entry["link"]}"\n'
                f'seeds = [{seeds}]\ngrace_time_ms = {entry["grace"]}000\n\n'
                f'[store]\naddress = "{entry["store"]}"\n')
        entry["process"] = Process(self.record, self.folder, name, "dispatch-entry", text)
        self.processes.append(entry["process"])
        return entry["process"]

    def make_agent(self, name, executor, store_address, grace_s=6):
        port = free_port()
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        text = (f'role = "dispatch-agent"\nname = "{name}"\nzone = "{executor.zone}"\n'
                f'listen = "{IP}:{port}"\ntarget_address = "{executor.address}"\n'
                f'seeds = [{seeds}]\ngrace_time_ms = {grace_s}000\n\n'
                f'[store]\naddress = "{store_address}"\n')
        process = Process(self.record, self.folder, name, "dispatch-agent", text)
        self.processes.append(process)
        self.agents[name] = {"control": f"{IP}:{port}", "process": process}
        self.executors[name] = executor
        return process

    async def is_ready(self, entry):
        status, _ = await call(self.entries[entry]["ready"], "GET", "/filbertroad/readiness",
                               timeout=1.0)
        return status == 200

    async def wait_ready(self, entry, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready(entry):
                self.record.write(f"{entry}: ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{entry} did not become ready")

    def job(self, work_ms, tasks=1, cpu=1000):
        return {"task-spec": f"work {work_ms}", "best-effort": True,
                "steps": [{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimated-ms": work_ms}]}

    async def stop(self):
        for process in self.processes:
            if process.is_running:
                process.process.send_signal(signal.SIGKILL)
                await process.process.wait()

    def clean(self):
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns a list of breaches; exits as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"TROUBLE={1 if trouble else 0}")
    try:
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun("target/filbertroad is missing; run the build of the deploy file")
        breaches = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as error:  # whatever went wrong, it says nothing about the rule
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    for breach in breaches:
        record.write(f"BROKEN: {breach}")
        print(f"broken: {breach}")
    record.write("rule broken" if breaches else "rule held")
    print("rule broken" if breaches else "rule held")
    return 1 if breaches else 0


def main(folder, case):
    """run_case(), and the end of this process with its result."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    result = 2
    try:
        result = run_case(folder, case)
    except KeyboardInterrupt:
        print("stopped")
    sys.stdout.flush()
    # Connections that are still open would be reported as warnings.
    os._exit(result)
