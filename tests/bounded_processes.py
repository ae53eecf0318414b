"""Starts dispatch-entry and dispatch-agent processes on loopback addresses for tests of their bounds,
with a stand-in of the platform's store, and reads what a process holds from /proc.

    with StoreStandIn() as store, Entry(store.address) as entry:
        entry.wait_until_served()
        check(entry.resident_bytes() < BOUND)
"""

import base64
import collections
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import resource
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
FILBERTROAD = ROOT / os.environ.get("BUILD_DIR", "build") / "filbertroad"
# Set to run the tests on a program that does not know the keys limits.memory_mb and
# limits.file_descriptors yet.
OMIT_MACHINE_LIMITS = "OMIT_MACHINE_LIMITS" in os.environ
# Lets jobs of the crowd be larger than by default, so that they are not refused for their size. Left
# out with OMIT_JOB_LIMITS=1, for a program that does not know the keys.
LARGE_JOBS = "" if "OMIT_JOB_LIMITS" in os.environ else \
    "max_job_tasks = 10000\nmax_job_steps = 10000\n"
MIB = 1024 * 1024
# Most bytes that one offending connection sends; the tests end by themselves also where a process
# never closes the connection.
MAX_SENT_BYTES = 64 * MIB
# Longest time in seconds for which one offender goes on.
OFFENCE_SECONDS = 12
# A memory limit of 120 MB is that of the smallest entry.
MEMORY_MB = 120
HOST = "h.example"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {"name": "r", "host": HOST, "path-prefix": "/p/", "service": "s", "stretch": 1,
         "target-latency-ms": 60000}
    ],
    "services": [],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
}


def free_address():
    """An address on loopback with a port that is free now. It is below the range from which the
    kernel takes the ports of outgoing connections, of which crowds open thousands."""
    while True:
        port = random.randint(10_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return "127.0.0.1:%d" % port


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class StoreStandIn:
    """The calls of the platform's store that entries and agents use, over HTTP on loopback."""

    def __init__(self):
        self.records = {"keyed.op": {"config": json.dumps(CONFIGURATION).encode()}}
        # Records that were put after the start: offset, key and value, by topic.
        self.appended = collections.defaultdict(list)
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def reply(self, body):
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                records = store.records.get(query["topic"], {})
                if url.path.endswith("log-newest"):
                    items = [{"key": key, "value": base64.b64encode(value).decode()}
                             for key, value in records.items()]
                    self.reply(json.dumps({"items": items, "has-more": False,
                                           "end": store.end(query["topic"])}).encode())
                    return
                self.reply(store.read_from(query["topic"], int(query["from"]),
                                           min(int(query.get("wait-ms", 0)), 1000) / 1000))

            def do_POST(self):
                self.rfile.read(int(self.headers["Content-Length"]))
                self.reply(b'{"offset":0,"end":1}')

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                """A process that is killed at the end of a test closes its connections."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]

    def end(self, topic):
        return len(self.records.get(topic, {})) + len(self.appended[topic])

    def put(self, topic, key, value):
        """Replaces the value of a key that the topic has had from the start."""
        with self.changed:
            self.appended[topic].append((self.end(topic), key.encode(), value))
            self.records[topic][key] = value
            self.changed.notify_all()

    def read_from(self, topic, start, wait_seconds):
        with self.changed:
            self.changed.wait_for(lambda: self.end(topic) > start, wait_seconds)
            records = [bytes([len(key)]) + key + value
                       for offset, key, value in self.appended[topic] if offset >= start]
        return struct.pack(">QQ", start + len(records), 0) + b"".join(
            struct.pack(">I", len(record)) + record for record in records)

    def __enter__(self):
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        return self

    def __exit__(self, *_):
        self.server.shutdown()
        self.server.server_close()


class OffendingServer:
    """A peer that answers every connection with `head` and then `part` again and again."""

    def __init__(self, head, part):
        self.head = head
        self.part = part
        self.accepted = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]

    def __enter__(self):
        threading.Thread(target=self.serve, daemon=True).start()
        return self

    def __exit__(self, *_):
        self.listener.close()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.accepted += 1
                threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(65536)
            send_bounded(connection, self.head, self.part)


def send_bounded(connection, head, part, seconds=OFFENCE_SECONDS):
    """Sends `head` and then `part` until the peer closes, MAX_SENT_BYTES or the time is over."""
    connection.settimeout(2)
    end = time.monotonic() + seconds
    sent = 0
    with contextlib.suppress(OSError):
        connection.sendall(head)
        while sent < MAX_SENT_BYTES and time.monotonic() < end:
            connection.sendall(part)
            sent += len(part)


def http2_frame(kind, flags, stream, payload=b""):
    return (len(payload).to_bytes(3, "big") + bytes((kind, flags)) + stream.to_bytes(4, "big")
            + payload)


def send_on_link(connection, content):
    """Opens the stream of a link (HTTP/2, RFC 9113) and sends `content` on it."""
    connection.settimeout(2)
    # POST, http, and literal fields with the names :path and :authority of the static table.
    headers = b"\x83\x86\x04\x07/link/1\x01\x04link"
    connection.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2_frame(4, 0, 0)
                       + http2_frame(1, 4, 1, headers))
    connection.recv(4096)
    # The acknowledgement of the settings raises the flow-control window of the stream.
    connection.sendall(http2_frame(4, 1, 0))
    for start in range(0, len(content), 16384):
        connection.sendall(http2_frame(0, 0, 1, content[start:start + 16384]))


def varint(number):
    out = b""
    while number > 0x7f:
        out += bytes((number & 0x7f | 0x80,))
        number >>= 7
    return out + bytes((number,))


def proto_field(number, value):
    """A field of a protobuf message: an integer, or bytes."""
    if isinstance(value, int):
        return varint(number << 3) + varint(value)
    return varint(number << 3 | 2) + varint(len(value)) + value


# Fields of dispatch_frame in filbertroad/wire/dispatch.proto.
FRAME_AGENT, FRAME_ENTRY, FRAME_STARTS, FRAME_CANCELS = 1, 2, 3, 5
FRAME_LOAD, FRAME_REPORTS, FRAME_ENTRIES = 7, 9, 11


def link_frame(content):
    """A message of a link with the dispatch_frame `content`, behind its length."""
    message = proto_field(19, content)
    return len(message).to_bytes(4, "little") + message


def agent_hello(name, incarnation=1):
    return link_frame(proto_field(FRAME_AGENT, proto_field(1, name.encode())
                                  + proto_field(2, incarnation) + proto_field(3, 1)))


class BoundedProcess:
    """One process of the system with its settings file, under a limit of file descriptors."""

    def __init__(self, command, settings, http_address, max_descriptors=None):
        self.directory = tempfile.TemporaryDirectory()
        self.http_address = http_address
        path = pathlib.Path(self.directory.name) / "settings.toml"
        path.write_text(settings)
        self.log_path = pathlib.Path(self.directory.name) / "log"
        self.peak_bytes = 0
        self.peak_descriptors = 0
        limit = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors,) * 2)) \
            if max_descriptors else None
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([str(FILBERTROAD), command, str(path)], stdout=log,
                                            stderr=log, preexec_fn=limit)

    def __enter__(self):
        self.is_watched = True
        self.watcher = threading.Thread(target=self.watch, daemon=True)
        self.watcher.start()
        return self

    def __exit__(self, *_):
        self.is_watched = False
        self.watcher.join()
        self.process.kill()
        self.process.wait()
        self.directory.cleanup()

    def is_alive(self):
        return self.process.poll() is None

    def watch(self):
        while self.is_watched and self.is_alive():
            with contextlib.suppress(OSError, IndexError):
                status = pathlib.Path("/proc/%d/status" % self.process.pid).read_text()
                resident = int(status.split("VmRSS:")[1].split()[0]) * 1024
                self.peak_bytes = max(self.peak_bytes, resident)
                descriptors = len(os.listdir("/proc/%d/fd" % self.process.pid))
                self.peak_descriptors = max(self.peak_descriptors, descriptors)
            time.sleep(0.05)

    def connect(self, address=None, receive_bytes=None):
        connection = socket.socket()
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.settimeout(5)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.connect(split(address or self.http_address))
        return connection

    def request(self, method, path, body=None, headers=None, address=None, seconds=10):
        """Status and body of one ordinary request on a new connection."""
        host, port = split(address or self.http_address)
        client = http.client.HTTPConnection(host, port, timeout=seconds)
        try:
            client.request(method, path, body, {"Host": HOST, **(headers or {})})
            response = client.getresponse()
            return response.status, response.read()
        finally:
            client.close()

    def status(self, *arguments, **options):
        """Status of a request; None if there was no answer."""
        try:
            return self.request(*arguments, **options)[0]
        except (OSError, http.client.HTTPException):
            return None

    def wait_for(self, expected, *arguments, attempts=150, **options):
        """Repeats a request until its status is `expected`; returns the last status."""
        status = None
        for _ in range(attempts):
            status = self.status(*arguments, **options)
            if status == expected:
                break
            time.sleep(0.1)
        return status


def machine_limits(descriptors):
    if OMIT_MACHINE_LIMITS:
        return ""
    return "memory_mb = %d\nfile_descriptors = %d\n" % (MEMORY_MB, descriptors)


class Entry(BoundedProcess):
    ordinary_request = ("GET", "/p/")

    def __init__(self, store_address, max_connections=1000, descriptors=3075, extra_limits="",
                 name="entry-1", addresses=None, **options):
        addresses = addresses or {kind: free_address() for kind in
                                  ("http_address", "ready_address", "link_address")}
        self.ready_address = addresses["ready_address"]
        self.link_address = addresses["link_address"]
        address = addresses["http_address"]
        settings = (
            'role = "dispatch-entry"\nname = "%s"\nlisten_http = "%s"\nlisten_ready = "%s"\n'
            'listen_link = "%s"\nseeds = []\n[store]\naddress = "%s"\n[limits]\n'
            "max_connections = %d\n%s%s"
            % (name, address, self.ready_address, self.link_address, store_address, max_connections,
               machine_limits(descriptors), extra_limits))
        super().__init__("dispatch-entry", settings, address, **options)
        self.job_number = 0

    def run_job(self, tasks=2, seconds=4):
        """Status of an ordinary job, which runs at an agent and its executor."""
        self.job_number += 1
        body = json.dumps({"task-spec": "x", "best-effort": True,
                           "steps": [{"count": tasks, "cpu": 1000, "estimated-ms": 20}]})
        return self.status("POST", "/p/%016x" % (0xa000000000 + self.job_number), body,
                           {"Deadline-Ms": "%d" % (1000 * seconds)}, seconds=seconds)

    def wait_for_job(self, attempts=60, seconds=4):
        """Repeats an ordinary job until it is answered with success; returns the last status."""
        status = None
        for _ in range(attempts):
            status = self.run_job(seconds=seconds)
            if status == 200:
                break
            time.sleep(0.1)
        return status


class ChildProcess:
    """A Python program of this directory as a process of its own."""

    def __init__(self, *command):
        self.process = subprocess.Popen(
            [sys.executable, str(pathlib.Path(__file__).parent / command[0]), *command[1:]],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


class ExecutorProcess(ChildProcess):
    def __init__(self, address, agent_address, capacity=64000, journal=None):
        super().__init__("executor_standin.py", address, agent_address, "--capacity",
                         str(capacity), *(["--journal", str(journal)] if journal else []))


class Crowd(ChildProcess):
    """Clients of crowd.py; all of them have sent their first message when it is entered."""

    def __init__(self, address, kind, count, seconds, **options):
        super().__init__("crowd.py")
        self.options = {"address": address, "kind": kind, "count": count, "seconds": seconds,
                        **options}

    def __enter__(self):
        self.process.stdin.write(json.dumps(self.options).encode() + b"\n")
        self.process.stdin.flush()
        if self.process.stdout.readline() != b"ready\n":
            raise RuntimeError("the crowd has not started")
        return self

    def finish(self):
        """Ends the crowd; returns its number of jobs and of answers by status."""
        self.process.stdin.close()
        return json.loads(self.process.stdout.readline())


class Agent(BoundedProcess):
    ordinary_request = ("GET", "/metrics")

    def __init__(self, store_address, target_address="127.0.0.1:1", seeds=(), descriptors=4096,
                 name="agent-1", address=None, **options):
        address = address or free_address()
        settings = (
            'role = "dispatch-agent"\nname = "%s"\nzone = "z1"\nlisten = "%s"\n'
            'target_address = "%s"\nseeds = %s\n[store]\naddress = "%s"\n[limits]\n%s'
            % (name, address, target_address, json.dumps(list(seeds)), store_address,
               machine_limits(descriptors)))
        super().__init__("dispatch-agent", settings, address, **options)
