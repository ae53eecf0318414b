#!/usr/bin/env python3
"""Clients and peers outside the limits, against separate dispatch-entry and dispatch-agent
processes. Each test checks that the process lives, that its resident set and its open descriptors
stay under a fixed bound, and that one ordinary request is answered afterwards. No test checks a
time or a share of served requests.

The faults of a program without the keys limits.memory_mb and limits.file_descriptors are shown with
OMIT_MACHINE_LIMITS=1 tests/bounds_test.py.
"""

import concurrent.futures
import contextlib
import json
import os
import pathlib
import resource
import socket
import sys
import threading
import time
import unittest

from bounded_processes import (CONFIGURATION, FRAME_CANCELS, FRAME_ENTRIES, FRAME_LOAD,
                               FRAME_REPORTS, FRAME_STARTS, HOST, LARGE_JOBS, MEMORY_MB, MIB,
                               OMIT_MACHINE_LIMITS, Agent, Crowd, Entry, ExecutorProcess,
                               OffendingServer, StoreStandIn, agent_hello, free_address,
                               link_frame, proto_field, send_bounded, send_on_link, split)
from local_system import Job, LocalSystem

# A process without clients holds 11 to 13 MiB. The bound is below the 120 MB of the smallest entry.
MAX_RESIDENT_BYTES = 100 * MIB
# 64 clients and the descriptors of the process itself.
MAX_DESCRIPTORS = 1100
OFFENDERS = 3
# An ordinary caller waits 4 s for each of two answers, while the offenders are still connected. A
# process that serves it only after it has closed idle connections, 10 s later, does not pass.
PATIENCE = {"attempts": 2, "seconds": 4}
BODY_BYTES = 262144
HEAD = "POST /p/%016x HTTP/1.1\r\nHost: " + HOST + "\r\n"
REPORT_HEAD = "PUT /filbertroad/executors/x%d HTTP/1.1\r\nHost: a\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
JOB = {"task-spec": "x", "best-effort": True}


def job_body(tasks, padding=0):
    steps = [{"count": tasks, "cpu": 1000, "estimated-ms": 20}]
    return json.dumps({**JOB, "steps": steps, "padding": "p" * padding})


class Bounds(unittest.TestCase):
    def setUp(self):
        self.exits = contextlib.ExitStack()
        self.addCleanup(lambda: self.exits.close())
        self.store = self.enterContext(StoreStandIn())
        self.connections = []

    def tearDown(self):
        for connection in self.connections:
            connection.close()

    def start_entry(self, **options):
        self.process = self.exits.enter_context(Entry(self.store.address, **options))
        self.assertEqual(self.process.wait_for(200, *Entry.ordinary_request), 200)
        return self.process

    def start_agent(self, **options):
        self.process = self.exits.enter_context(
            Agent(**{"store_address": self.store.address, **options}))
        self.assertEqual(self.process.wait_for(200, *Agent.ordinary_request), 200)
        return self.process

    def connect(self, **options):
        connection = self.process.connect(**options)
        self.connections.append(connection)
        return connection

    def offend(self, head, part, count=OFFENDERS, address=None):
        """`count` connections send `head` and then `part` without end, up to a bound."""
        threads = [threading.Thread(target=send_bounded, daemon=True,
                                    args=(self.connect(address=address), head, part))
                   for _ in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def check_process(self, part="", max_resident_bytes=MAX_RESIDENT_BYTES,
                      max_descriptors=MAX_DESCRIPTORS):
        time.sleep(0.2)
        sys.stderr.write("%s %s: peak %.0f MiB, %d descriptors\n"
                         % (self.id().split(".")[-1], part, self.process.peak_bytes / MIB,
                            self.process.peak_descriptors))
        self.assertTrue(self.process.is_alive(), "the process has ended")
        status = self.process.wait_for(200, *type(self.process).ordinary_request, **PATIENCE)
        self.assertLess(self.process.peak_bytes, max_resident_bytes)
        self.assertLess(self.process.peak_descriptors, max_descriptors)
        self.assertEqual(status, 200)


class EndlessMessages(Bounds):
    """Guards against a part of a message that has no limit of its size."""

    PARTS = {
        "trailers": (CHUNKED + "0\r\n", "X-Trailer: %s\r\n" % ("t" * 4000)),
        "header": ("", "X-Header: %s\r\n" % ("h" * 4000)),
        "request_target": ("X: ", "a" * 4096),
        "chunk_extension": (CHUNKED + "1;a=", "e" * 4096),
        "chunk_size": (CHUNKED, "0" * 4096),
        "tiny_chunks": (CHUNKED, "1\r\nx\r\n" * 1000),
        "body": ("Content-Length: %d\r\n\r\n" % (64 * MIB), "b" * 65536),
    }

    def check_all(self, start, head, address_of=lambda process: None):
        """Sends each part to a process of its own."""
        for name, (rest, part) in self.PARTS.items():
            with self.subTest(name), contextlib.ExitStack() as self.exits:
                process = start()
                self.offend((head + rest).encode(), part.encode(), address=address_of(process))
                self.check_process(name)

    def test_entry_with_endless_parts(self):
        self.check_all(self.start_entry, HEAD % 1)

    def test_readiness_address_with_endless_parts(self):
        self.check_all(self.start_entry, "GET / HTTP/1.1\r\nHost: a\r\n",
                       lambda entry: entry.ready_address)

    def test_agent_with_endless_parts(self):
        self.check_all(self.start_agent, REPORT_HEAD % 1)


class ManyConnections(Bounds):
    """Guards against totals over all connections that have no limit, and against crowds that lock
    out ordinary callers."""

    def open_crowd(self, count, first_bytes, **options):
        def open_one(number):
            with contextlib.suppress(OSError):
                self.connect(**options).sendall(
                    first_bytes(number) if callable(first_bytes) else first_bytes)

        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            list(pool.map(open_one, range(count)))

    def test_idle_crowd_at_the_connection_limit(self):
        self.start_entry(max_connections=64)
        self.open_crowd(80, b"")
        self.check_process(max_descriptors=150)

    def test_slow_heads_at_the_connection_limit(self):
        self.start_entry(max_connections=64)
        self.open_crowd(80, (HEAD % 1).encode())
        self.check_process(max_descriptors=150)

    def test_slow_bodies_at_the_connection_limit(self):
        self.start_entry(max_connections=64)
        self.open_crowd(80, (HEAD % 1 + "Content-Length: 100\r\n\r\nx").encode())
        self.check_process(max_descriptors=150)

    def test_idle_crowd_without_free_descriptors(self):
        self.start_entry(max_connections=900, max_descriptors=100)
        self.open_crowd(160, b"")
        self.check_process(max_descriptors=101)

    def test_idle_crowd_at_the_readiness_address(self):
        entry = self.start_entry(max_connections=64)
        self.open_crowd(80, b"", address=entry.ready_address)
        status = entry.wait_for(200, "GET", "/metrics", address=entry.ready_address, **PATIENCE)
        self.assertEqual(status, 200)
        self.check_process(max_descriptors=200)

    def test_idle_crowd_at_the_link_address(self):
        entry = self.start_entry(max_connections=64, max_descriptors=400)
        self.open_crowd(500, b"", address=entry.link_address)
        self.check_process(max_descriptors=401)

    def test_idle_crowd_at_an_agent_without_free_descriptors(self):
        self.start_agent(max_descriptors=100)
        self.open_crowd(160, b"")
        self.check_process(max_descriptors=101)

    def test_links_with_incomplete_messages(self):
        entry = self.start_entry()
        # A message of nearly 8 MiB that never ends; the length comes first, little-endian.
        message = (8 * MIB - 1).to_bytes(4, "little") + bytes(7 * MIB)

        def open_one(_):
            with contextlib.suppress(OSError):
                send_on_link(self.connect(address=entry.link_address), message)

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(open_one, range(24)))
        self.check_process()

    def test_many_large_bodies_at_once(self):
        self.start_entry()
        body = "b" * (BODY_BYTES - 100)
        self.open_crowd(700, (HEAD % 1 + "Content-Length: %d\r\n\r\n" % BODY_BYTES + body).encode())
        self.check_process()

    def test_many_large_chunked_bodies_at_once(self):
        self.start_entry()
        body = "%x\r\n%s" % (BODY_BYTES, "b" * (BODY_BYTES - 100))
        self.open_crowd(700, (HEAD % 1 + CHUNKED + body).encode())
        self.check_process()

    def test_many_large_reports_at_an_agent(self):
        self.start_agent()
        body = "b" * (BODY_BYTES - 100)
        self.open_crowd(
            700, (REPORT_HEAD % 1 + "Content-Length: %d\r\n\r\n" % BODY_BYTES + body).encode())
        self.check_process()

    def test_clients_that_pipeline_and_never_read(self):
        entry = self.start_entry()
        request = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".encode() * 500
        threads = [
            threading.Thread(target=send_bounded, daemon=True, args=(
                self.connect(address=entry.ready_address, receive_bytes=4096), b"", request, 4))
            for _ in range(60)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.check_process()

    def test_many_header_fields_of_slow_bodies(self):
        self.start_entry()
        self.open_crowd(400, (HEAD % 1 + "Content-Length: 100\r\n" + "a:\r\n" * 3900 + "\r\nx")
                        .encode())
        self.check_process()

    def test_many_header_fields_of_waiting_jobs(self):
        self.start_entry()
        body = job_body(1)
        self.open_crowd(400, lambda number: (
            HEAD % number + "Deadline-Ms: 60000\r\nContent-Length: %d\r\n" % len(body)
            + "a:\r\n" * 3900 + "\r\n" + body).encode())
        self.check_process()

    def test_jobs_with_the_most_tasks(self):
        self.start_entry(extra_limits=LARGE_JOBS)
        body = job_body(10_000)
        self.open_crowd(150, lambda number: (
            HEAD % number + "Deadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)).encode())
        self.check_process()


class SystemBounds(Bounds):
    """Checks an ordinary job, which runs at an agent and its executor. The crowd and the executor
    are processes of their own."""

    def start_system(self, **options):
        """An entry, an agent and an executor that have run a job."""
        entry = self.start_entry(**options)
        target = free_address()
        self.agent = self.exits.enter_context(Agent(
            self.store.address, target_address=target, seeds=[entry.link_address]))
        self.exits.enter_context(ExecutorProcess(target, self.agent.http_address))
        self.assertEqual(entry.wait_for_job(), 200)
        return entry

    def check_job(self, part="", max_resident_bytes=MAX_RESIDENT_BYTES):
        """Runs an ordinary job beside the crowd, and checks both processes."""
        status = self.process.wait_for_job(**PATIENCE)
        for name, process in (("entry", self.process), ("agent", self.agent)):
            sys.stderr.write("%s %s %s: peak %.0f MiB, %d descriptors\n" % (
                self.id().split(".")[-1], part, name, process.peak_bytes / MIB,
                process.peak_descriptors))
            self.assertTrue(process.is_alive(), "the %s has ended" % name)
            self.assertLess(process.peak_bytes, max_resident_bytes)
            self.assertLess(process.peak_descriptors, MAX_DESCRIPTORS)
        self.assertEqual(status, 200)

    def check_beside(self, kind, count, seconds=20, address=None, **options):
        with Crowd(address or self.process.http_address, kind, count, seconds, **options) as crowd:
            time.sleep(2)  # until the process handles what the crowd has sent
            self.check_job(kind)
            return crowd.finish()


class OrdinaryJobs(SystemBounds):
    """Guards against crowds of clients beside which ordinary jobs are not answered."""

    def test_endless_messages(self):
        for name, (rest, part) in EndlessMessages.PARTS.items():
            with self.subTest(name), contextlib.ExitStack() as self.exits:
                self.start_system()
                self.check_beside("endless_messages", OFFENDERS, head=HEAD % 1 + rest, part=part)

    def test_slow_heads(self):
        self.start_system(max_connections=64)
        self.check_beside("slow_heads", 80)

    def test_clients_that_pipeline_and_never_read(self):
        self.start_system()
        self.check_beside("pipelined_requests", 60,
                          request="GET /p/ HTTP/1.1\r\nHost: %s\r\n\r\n" % HOST)

    def test_jobs_whose_steps_wait_for_one_another(self):
        self.start_system(extra_limits=LARGE_JOBS)
        steps = [{"count": 1, "estimated-ms": 1, "after": [number - 1]} for number in range(1, 5000)]
        body = json.dumps({**JOB, "steps": [{"count": 1}, *steps]}, separators=(",", ":"))
        self.assertLess(len(body), BODY_BYTES)
        self.check_beside("repeated_jobs", 40, body=body)

    def test_jobs_with_long_lists_of_predecessors(self):
        self.start_system(extra_limits=LARGE_JOBS)
        steps = [{"count": 5000, "cpu": 1000, "estimated-ms": 1}] + [
            {"count": 1, "cpu": 1000, "estimated-ms": 1, "after": [0] * 1000}] * 60
        self.check_beside("repeated_jobs", 40, body=json.dumps({**JOB, "steps": steps}))

    def test_jobs_with_the_most_tasks_and_the_largest_text(self):
        self.start_system(extra_limits=LARGE_JOBS)
        body = json.dumps({**JOB, "task-spec": "x" * 4000, "steps": [
            {"count": 10_000, "cpu": 1, "estimated-ms": 20}]})
        self.check_beside("repeated_jobs", 8, deadline_ms=5000, body=body)

    def test_callers_that_hold_their_connection_with_long_jobs(self):
        self.start_system(max_connections=64)
        body = json.dumps({**JOB, "task-spec": "run-ms=50000", "steps": [
            {"count": 1, "cpu": 1, "estimated-ms": 50000}]})
        self.check_beside("held_jobs", 80, pause_ms=50, deadline_ms=60000, body=body)

    def test_callers_that_leave_after_they_have_sent_their_job(self):
        self.start_system()
        self.check_beside("abandoned_jobs", 200, body=job_body(2))

    def test_cancels_of_unknown_jobs(self):
        self.start_system()
        self.check_beside("repeated_requests", 60, request=(
            "DELETE /p/00000000000000ff HTTP/1.1\r\nHost: %s\r\n\r\n" % HOST))

    def test_refused_jobs(self):
        self.start_system()
        self.check_beside("repeated_jobs", 60, body='{"task-spec":"x"}')


class OffendingLinks(SystemBounds):
    """Guards against peers of an entry's link address that make it hold or do far more than they
    send."""

    def send_on_links(self, count, content):
        """Sends `content`, or what it returns for the number of the link, on new links."""
        links = []
        for number in range(count):
            links.append(self.connect(address=self.process.link_address))
            with contextlib.suppress(OSError):
                send_on_link(links[-1], content(number) if callable(content) else content)
        return links

    def test_messages_of_empty_items(self):
        for name, kind in (("cancels", FRAME_CANCELS), ("starts", FRAME_STARTS),
                           ("reports", FRAME_REPORTS), ("entries", FRAME_ENTRIES)):
            with self.subTest(name), contextlib.ExitStack() as self.exits:
                self.start_system()
                self.send_on_links(4, link_frame(proto_field(kind, b"") * 3_900_000))
                self.check_job(name)

    def test_orders_that_refer_to_the_payload_of_another(self):
        self.start_system()
        first = proto_field(FRAME_STARTS, proto_field(2, b"p" * 40_000))
        other = proto_field(FRAME_STARTS, proto_field(7, 1))
        self.send_on_links(2, link_frame(first + other * 20_000))
        self.check_job()

    def test_addresses_of_an_entry_that_change_without_end(self):
        self.start_system()
        agents = self.send_on_links(40, lambda number: agent_hello("made-up-%d" % number))
        location = b"".join(
            proto_field(FRAME_ENTRIES, proto_field(1, b"e") + proto_field(2, address))
            for address in (b"127.0.0.1:1", b"127.0.0.1:2"))
        self.send_on_links(1, agent_hello("made-up") + link_frame(location * 100_000))
        self.check_job()
        self.assertEqual(len(agents), 40)

    def test_made_up_agents(self):
        entry = self.start_system()
        for number in range(4_200):
            connection = entry.connect(address=entry.link_address)
            with connection, contextlib.suppress(OSError):
                send_on_link(connection, agent_hello("made-up-%d" % number))
        # The agent restarts under another name, as after the replacement of its machine.
        self.exits.enter_context(contextlib.closing(self.connect()))
        target = free_address()
        self.agent.process.kill()
        self.agent = self.exits.enter_context(Agent(
            self.store.address, target_address=target, seeds=[entry.link_address],
            name="agent-2"))
        self.exits.enter_context(ExecutorProcess(target, self.agent.http_address))
        self.assertEqual(entry.wait_for_job(), 200)
        self.check_job()

    def test_status_reports_with_long_texts(self):
        self.start_system()
        text = b"t" * 400_000

        def report(number):
            # A status with a capacity is kept until the next one.
            load = (proto_field(5, text) + proto_field(6, text) + proto_field(7, b"")
                    + proto_field(14, text))
            return agent_hello("made-up-%d" % number) + link_frame(proto_field(FRAME_LOAD, load))

        self.send_on_links(200, report)
        self.check_job()

    def test_hellos_without_end(self):
        self.start_system()
        self.send_on_links(8, agent_hello("made-up") * 30_000)
        self.check_job()


class OffendingPeers(Bounds):
    """Guards against an executor or a store that answers without end."""

    ANSWERS = {
        "headers": ("HTTP/1.1 200 OK\r\n", "X-Header: %s\r\n" % ("h" * 4000)),
        "trailers": ("HTTP/1.1 200 OK\r\n" + CHUNKED + "0\r\n",
                     "X-Trailer: %s\r\n" % ("t" * 4000)),
        "chunk_extension": ("HTTP/1.1 200 OK\r\n" + CHUNKED + "1;a=", "e" * 65536),
        "body": ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (63 * MIB), "b" * 65536),
        "chunked_body": ("HTTP/1.1 200 OK\r\n" + CHUNKED,
                         "10000\r\n%s\r\n" % ("b" * 65536)),
    }

    def offending_server(self, name):
        head, part = self.ANSWERS[name]
        return self.exits.enter_context(OffendingServer(head.encode(), part.encode()))

    def wait_for_calls(self, peer, count=3):
        end = time.monotonic() + 8
        while peer.accepted < count and time.monotonic() < end:
            time.sleep(0.1)
        time.sleep(1)
        self.assertGreater(peer.accepted, 0)

    def test_executor(self):
        report = {"service": "s", "state": "ready", "born": 1, "sequence": 1,
                  "capacity": {"cpu": 64000, "mem-mb": 256000, "gpu": 0}}
        for name in self.ANSWERS:
            with self.subTest(name), contextlib.ExitStack() as exits:
                peer = self.offending_server(name)
                agent = exits.enter_context(
                    Agent(self.store.address, target_address=peer.address))
                self.process = agent
                agent.wait_for(200, *Agent.ordinary_request)
                agent.status("PUT", "/filbertroad/executors/x1", json.dumps(report))
                self.wait_for_calls(peer)
                self.check_process(name, max_resident_bytes=64 * MIB)

    def test_store(self):
        for name in self.ANSWERS:
            for role in (Entry, Agent):
                with self.subTest(name, role=role), contextlib.ExitStack() as exits:
                    peer = self.offending_server(name)
                    self.process = exits.enter_context(role(peer.address))
                    self.wait_for_calls(peer, 2)
                    status = self.process.wait_for(200 if role is Agent else 503,
                                                   *role.ordinary_request)
                    self.assertEqual(status, 200 if role is Agent else 503)
                    sys.stderr.write("store %s %s: peak %.0f MiB\n" % (
                        name, role.__name__, self.process.peak_bytes / MIB))
                    self.assertTrue(self.process.is_alive())
                    self.assertLess(self.process.peak_bytes, 64 * MIB)


class EntryAndAgentRoles(unittest.TestCase):
    """Guards against crowds at the addresses of the roles `entry` and `agent`, beside which a job of
    an ordinary caller is run and answered."""

    def setUp(self):
        memory_mb = None if OMIT_MACHINE_LIMITS else MEMORY_MB
        self.system = self.enterContext(LocalSystem(entries=1, targets=1, zones="a",
                                                    memory_mb=memory_mb))
        self.entry = self.system.processes["entry-1"]
        self.agent = self.system.processes["agent-1"]
        self.connections = []
        self.addCleanup(lambda: [connection.close() for connection in self.connections])

    def connect(self, address):
        connection = socket.create_connection(split(address), timeout=5)
        self.connections.append(connection)
        return connection

    def link_address(self):
        return next(line.split('"')[1] for line in
                    (self.system.folder / "entry-1.toml").read_text().splitlines()
                    if line.startswith("listen_link"))

    def check(self, part=""):
        job = Job("%d-bounds" % (time.time() * 1000), tasks=2, run_ms=20)
        for _ in range(PATIENCE["attempts"]):
            status, _ = self.system.put_job(self.entry.address, job)
            if status == 200:
                break
        for process in (self.entry, self.agent):
            text = pathlib.Path("/proc/%d/status" % process.pid).read_text()
            peak = int(text.split("VmHWM:")[1].split()[0]) * 1024
            descriptors = len(os.listdir("/proc/%d/fd" % process.pid))
            sys.stderr.write("%s %s %s: peak %.0f MiB, %d descriptors\n" % (
                self.id().split(".")[-1], part, process.name, peak / MIB, descriptors))
            self.assertLess(peak, MAX_RESIDENT_BYTES)
            self.assertLess(descriptors, MAX_DESCRIPTORS)
        self.assertEqual(status, 200)

    def send_endless_parts(self, address, head):
        for name, (rest, part) in EndlessMessages.PARTS.items():
            with self.subTest(name):
                with Crowd(address, "endless_messages", OFFENDERS, 20, head=head + rest,
                           part=part):
                    self.check(name)

    def test_endless_parts_at_the_entry(self):
        self.send_endless_parts(self.entry.address,
                                "PUT /v1/routes/stock/jobs/1-x HTTP/1.1\r\nHost: a\r\n")

    def test_endless_parts_at_the_agent(self):
        self.send_endless_parts(self.agent.address, "PUT /v1/target HTTP/1.1\r\nHost: a\r\n")

    def test_many_large_bodies_at_the_entry(self):
        body = b"b" * (MIB - 100)
        head = "PUT /v1/routes/stock/jobs/1-x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"

        def send(_):
            with contextlib.suppress(OSError):
                self.connect(self.entry.address).sendall((head % MIB).encode() + body)

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            list(pool.map(send, range(150)))
        self.check()

    def test_links_with_incomplete_messages(self):
        message = (8 * MIB - 1).to_bytes(4, "little") + bytes(7 * MIB)

        def send(_):
            with contextlib.suppress(OSError):
                send_on_link(self.connect(self.link_address()), message)

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(send, range(24)))
        self.check()

    def test_idle_crowd_at_the_agent(self):
        for _ in range(100):
            self.connect(self.agent.address)
        self.check()


class OrdinaryClients(Bounds):
    """Guards against bounds that refuse requests within the stated limits while the load is low."""

    def test_largest_header_is_served(self):
        self.start_entry()
        limits = CONFIGURATION["limits"]
        head = "GET /p/ HTTP/1.1\r\nHost: %s\r\nX-Long: " % HOST
        padding = "h" * (limits["max-header-bytes"] - len(head) - 4)
        connection = self.connect()
        connection.sendall((head + padding + "\r\n\r\n").encode())
        self.assertIn(b" 200 ", connection.recv(65536).split(b"\r\n")[0])

    def test_largest_body_and_task_count_are_accepted(self):
        self.start_entry()
        body = job_body(270)
        body = job_body(270, BODY_BYTES - len(body))
        self.assertEqual(len(body), BODY_BYTES)
        request = {"body": body, "headers": {"Deadline-Ms": "2000"}}
        # No target is linked, so that the job is answered once its time is over, with 503 "not run"
        # or 504. A refusal of the message itself would be 413, 431 or 400.
        status, text = self.process.request("POST", "/p/00000000000000a1", **request)
        self.assertIn(status, (503, 504), text)
        self.assertNotIn(b"too many", text)

    def test_limits_of_the_operator_are_applied(self):
        limits = {**CONFIGURATION["limits"], "max-header-bytes": 20000, "max-body-bytes": 300000}
        configuration = {**CONFIGURATION, "limits": limits}
        self.store.records["keyed.op"]["config"] = json.dumps(configuration).encode()
        self.start_entry()
        request = {"headers": {"Deadline-Ms": "2000", "X-Long": "h" * 18000}}
        body = job_body(1, 290000)
        status, text = self.process.request("POST", "/p/00000000000000a1", body, **request)
        self.assertIn(status, (503, 504), text)
        body = job_body(1, 310000)
        self.assertIn(self.process.status("POST", "/p/00000000000000a2", body), (413, None))

    def test_chunked_body_with_trailers_is_accepted(self):
        self.start_entry()
        connection = self.connect()
        body = job_body(2)
        connection.sendall((HEAD % 2 + "Deadline-Ms: 2000\r\n" + CHUNKED + "%x;name=value\r\n%s\r\n"
                            "0\r\nX-Trailer: %s\r\n\r\n"
                            % (len(body), body, "t" * 8000)).encode())
        self.assertIn(connection.recv(65536).split(b" ")[1], (b"503", b"504"))

    def test_largest_status_report_is_accepted(self):
        self.start_agent()
        report = {"service": "s", "state": "ready", "born": 1, "sequence": 1,
                  "capacity": {"cpu": 64000, "mem-mb": 256000, "gpu": 0}}
        report["padding"] = "p" * (BODY_BYTES - len(json.dumps(report)) - 20)
        status = self.process.status("PUT", "/filbertroad/executors/x1", json.dumps(report))
        self.assertEqual(status, 200)


if __name__ == "__main__":
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    unittest.main(verbosity=1)
