"""Runs a complete system on a loopback host for failure tests: starts it through scripts/local,
submits jobs as callers do, sends signals to its processes to inject failures, and reads the logs in
which targets record starts.

    with LocalSystem() as system:
        load = system.start_load(seconds=6)
        system.signal("entry-1", signal.SIGKILL)
        load.join()
        system.check_answers(load)
"""

import collections
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
FILBERTROAD = BUILD / "filbertroad"
OPERATOR_TOKEN = "local-operator-token"
TEAM_TOKEN = "local-demo-token"
# A caller stops resubmitting a job after this time in seconds; every job must have ended by then.
JOB_SECONDS = 60

Process = collections.namedtuple("Process", "role name pid address zone")
Start = collections.namedtuple("Start", "unix_ms key index target")


class Job:
    """A job of a caller, which is resubmitted under the same key until it has ended."""

    def __init__(self, key, tasks, run_ms):
        self.key = key
        self.tasks = tasks
        self.body = json.dumps({"tasks": [{"payload": "run_ms=%d" % run_ms}] * tasks})
        self.submitted_at = time.monotonic()
        self.seconds = None
        self.report = None
        self.refusals = []
        # Requests whose connection was closed after the request was sent and before the complete
        # response was received.
        self.aborted_requests = []


class Load:
    """Submits jobs at a fixed rate, each by a caller with a thread of its own."""

    def __init__(self, system, seconds, jobs_per_second, tasks, run_ms, seed):
        self.system = system
        self.seconds = seconds
        self.interval = 1.0 / jobs_per_second
        self.tasks = tasks
        self.run_ms = run_ms
        self.rng = random.Random(seed)
        self.jobs = []
        self.threads = []
        self.generator = threading.Thread(target=self.run)
        self.generator.start()

    def run(self):
        begin = time.monotonic()
        number = 0
        while time.monotonic() - begin < self.seconds:
            job = Job("%d-job-%d" % (time.time() * 1000, number), self.tasks, self.run_ms)
            number += 1
            self.jobs.append(job)
            rng = random.Random(self.rng.random())
            thread = threading.Thread(target=self.call, args=(job, rng))
            thread.start()
            self.threads.append(thread)
            time.sleep(max(0.0, begin + number * self.interval - time.monotonic()))

    def call(self, job, rng):
        deadline = job.submitted_at + JOB_SECONDS
        while job.report is None and time.monotonic() < deadline:
            entry = rng.choice(self.system.entries())
            status, answer = self.system.put_job(entry, job)
            if status == 200:
                job.report = answer
                job.seconds = time.monotonic() - job.submitted_at
            elif status != 202:
                job.refusals.append(answer)
                time.sleep(rng.uniform(0.05, 0.2))

    def join(self):
        self.generator.join()
        for thread in self.threads:
            thread.join()


class LocalSystem:
    def __init__(self, entries=3, targets=6, zones="a,b,c", memory_mb=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertroad-test-"))
        self.arguments = ["--dir", self.folder, "--entries", entries, "--targets", targets,
                          "--zones", zones]
        if memory_mb is not None:
            self.arguments += ["--memory-mb", memory_mb]
        self.replacements = []
        self.processes = {}

    def __enter__(self):
        self.run_script("up", *self.arguments)
        for line in (self.folder / "processes.txt").read_text().splitlines():
            role, name, pid, address, zone = line.split()
            self.processes[name] = Process(role, name, int(pid), address, zone)
        self.balanced_entries = {name for name, process in self.processes.items()
                                 if process.role == "entry"}
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes.values():
            self.signal_pid(process.pid, signal.SIGCONT)
        self.run_script("down", "--dir", self.folder)
        for process in self.replacements:
            process.wait()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("files of the failed run are kept in", self.folder)

    @staticmethod
    def run_script(*arguments):
        subprocess.run([str(ROOT / "scripts" / "local")] + [str(a) for a in arguments], check=True,
                       stdout=subprocess.DEVNULL)

    @staticmethod
    def signal_pid(pid, number):
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            pass

    def signal(self, name, number):
        self.signal_pid(self.processes[name].pid, number)

    def entries(self):
        """HTTP addresses of the entries to which a load balancer would send callers."""
        return [self.processes[name].address for name in sorted(self.balanced_entries)]

    def wait_for_exit(self, name, seconds):
        """Waits for up to `seconds` until a process has exited; returns whether it has."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                state = pathlib.Path("/proc/%d/stat" % self.processes[name].pid).read_text()
            except OSError:
                return True
            if state.rpartition(")")[2].split()[0] == "Z":
                return True
            time.sleep(0.02)
        return False

    def replace_entry(self, name):
        """Starts an entry with the settings of one that has exited, as a replacement VM would."""
        previous = self.processes[name]
        output = open(self.folder / "output" / (name + ".txt"), "ab")
        process = subprocess.Popen([str(FILBERTROAD), "entry", str(self.folder / (name + ".toml"))],
                                   stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                                   start_new_session=True)
        output.close()
        self.replacements.append(process)
        self.processes[name] = previous._replace(pid=process.pid)
        with open(self.folder / "processes.txt", "a") as listing:
            listing.write("entry %s %d %s %s\n" % (name, process.pid, previous.address,
                                                   previous.zone))
        self.wait_until(lambda: self.is_confirmed(previous.address), 20, name + " is confirmed")
        self.balanced_entries.add(name)

    def is_confirmed(self, address):
        try:
            status = self.get(address, "/v1/status")
        except OSError:
            return False
        own = [entry for entry in status["entries"] if entry["http_address"] == address]
        return bool(own) and own[0]["confirmation"] != "none"

    @staticmethod
    def wait_until(condition, seconds, what):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError("did not happen within %d s: %s" % (seconds, what))
            time.sleep(0.05)

    def get(self, address, path):
        request = urllib.request.Request("http://%s%s" % (address, path),
                                         headers={"Authorization": "Bearer " + OPERATOR_TOKEN})
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)

    def owner(self):
        """Name of the entry that owns the queue."""
        for address in self.entries():
            try:
                status = self.get(address, "/v1/status")
            except OSError:
                continue
            for entry in status["entries"]:
                if entry["queues"]:
                    return entry["name"]
        raise AssertionError("no entry owns the queue")

    def put_job(self, entry, job):
        """Submits a job; returns the HTTP status (0 if there was no response) and the JSON body."""
        connection = http.client.HTTPConnection(entry, timeout=30)
        sent = False
        try:
            connection.connect()
            connection.request("PUT", "/v1/routes/stock/jobs/%s?wait_ms=20000" % job.key, job.body,
                               {"Authorization": "Bearer " + TEAM_TOKEN})
            sent = True
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException) as error:
            if sent:
                job.aborted_requests.append("%s: %r" % (entry, error))
            return 0, {"error": repr(error)}
        finally:
            connection.close()

    def change(self, path, body):
        """Makes an operator's change; retries at random entries for 15 s until one accepts it."""
        deadline = time.monotonic() + 15
        while True:
            entry = random.choice(self.entries())
            request = urllib.request.Request(
                "http://%s%s" % (entry, path), json.dumps(body).encode(), method="PUT",
                headers={"Authorization": "Bearer " + OPERATOR_TOKEN})
            try:
                with urllib.request.urlopen(request, timeout=8) as answer:
                    return json.load(answer)
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.1)

    def set_zone(self, zone, in_service):
        """Puts a zone in or out of service. Returns the time in Unix milliseconds at which the
        operator knew that the change was accepted."""
        self.change("/v1/zones/" + zone, {"in_service": in_service})
        return time.time() * 1000

    def control(self, name, **settings):
        """Changes the behaviour of a fake, which is the log or a target."""
        request = urllib.request.Request(
            "http://%s/control" % self.processes[name].address, json.dumps(settings).encode(),
            method="POST")
        with urllib.request.urlopen(request, timeout=5) as answer:
            answer.read()

    def start_load(self, seconds, jobs_per_second=20, tasks=9, run_ms=100, seed=1):
        return Load(self, seconds, jobs_per_second, tasks, run_ms, seed)

    def starts(self):
        starts = []
        for path in sorted((self.folder / "starts").iterdir()):
            for line in path.read_text().splitlines():
                unix_ms, key, index, target = line.split()
                starts.append(Start(int(unix_ms), key, int(index), target))
        return starts

    def zone_of_target(self, name):
        return self.processes[name].zone

    def check_answers(self, load):
        """Asserts that every job ended with exactly one complete result per task, that no task was
        started twice, and that the results agree with the starts that the targets have recorded.
        Returns the number of tasks by outcome."""
        starts = collections.Counter((start.key, start.index) for start in self.starts())
        duplicated = [task for task, count in starts.items() if count > 1]
        assert not duplicated, "tasks started twice: %s" % duplicated[:5]
        outcomes = collections.Counter()
        for job in load.jobs:
            assert job.report is not None, "no answer for %s; refusals %s, aborted requests %s" % (
                job.key, job.refusals[-3:], job.aborted_requests[-3:])
            results = job.report["results"]
            indexes = [result["index"] for result in results]
            assert indexes == list(range(job.tasks)), "answer of %s has results of tasks %s" % (
                job.key, indexes)
            complete = all(result["outcome"] == "succeeded" for result in results)
            assert job.report["state"] == ("complete" if complete else "failed"), job.report
            for result in results:
                outcomes[result["outcome"]] += 1
                task = (job.key, result["index"])
                if result["outcome"] == "succeeded":
                    assert result["body"] == "done %s %d" % task, result
                    assert starts[task] == 1, "succeeded, but was not started: %s" % (task,)
                if result["outcome"] == "not_run":
                    assert starts[task] == 0, "reported as not_run, but was started: %s" % (task,)
            for refusal in job.refusals:
                # A job refused with "yes" can still run after a later submission of its key, so
                # starts of its tasks prove nothing. A refusal with "no" requires a start.
                if refusal.get("not_run") == "no":
                    assert any(key == job.key for key, _ in starts), refusal
        return outcomes
