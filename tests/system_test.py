#!/usr/bin/env python3
"""Failure tests against the real processes. Each test is named after what a failure must not cause.

    tests/system_test.py [TEST ...]      # all tests, or those named
"""

import signal
import time
import unittest

from local_system import LocalSystem

# Longest time for which tasks may still start in a zone, or on a target, after it was taken out of
# service.
OUT_OF_SERVICE_LIMIT_MS = 3000


class SystemTest(unittest.TestCase):
    def assert_no_late_start(self, system, zone, out_ms, in_ms):
        late = [start for start in system.starts()
                if system.zone_of_target(start.target) == zone
                and out_ms + OUT_OF_SERVICE_LIMIT_MS < start.unix_ms < in_ms]
        self.assertEqual(late, [])

    def test_killed_owner_loses_and_duplicates_no_task(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=5)
            time.sleep(2)
            owner = system.owner()
            system.balanced_entries.discard(owner)
            system.signal(owner, signal.SIGKILL)
            load.join()
            outcomes = system.check_answers(load)
            self.assertEqual(outcomes["succeeded"], sum(outcomes.values()), outcomes)

    def test_frozen_owner_starts_no_task_after_it_resumes(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=10)
            time.sleep(2)
            owner = system.owner()
            system.balanced_entries.discard(owner)
            system.signal(owner, signal.SIGSTOP)
            time.sleep(6)
            system.signal(owner, signal.SIGCONT)
            load.join()
            outcomes = system.check_answers(load)
            self.assertEqual(outcomes["succeeded"], sum(outcomes.values()), outcomes)

    def test_rolling_replacement_of_entries_aborts_no_request(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=12)
            for name in ("entry-1", "entry-2", "entry-3"):
                time.sleep(1)
                system.balanced_entries.discard(name)
                # As in operation, the balancer stops sending requests before the shutdown.
                time.sleep(0.2)
                system.signal(name, signal.SIGTERM)
                self.assertTrue(system.wait_for_exit(name, 20), name + " did not stop")
                system.replace_entry(name)
            load.join()
            outcomes = system.check_answers(load)
            self.assertEqual(outcomes["succeeded"], sum(outcomes.values()), outcomes)
            self.assertEqual(
                [job.aborted_requests for job in load.jobs if job.aborted_requests], [])

    def test_simultaneous_replacement_of_all_entries_loses_and_duplicates_no_task(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=4)
            time.sleep(2)
            for name in ("entry-1", "entry-2", "entry-3"):
                system.signal(name, signal.SIGKILL)
            for name in ("entry-1", "entry-2", "entry-3"):
                self.assertTrue(system.wait_for_exit(name, 5))
                system.replace_entry(name)
            load.join()
            outcomes = system.check_answers(load)
            self.assertEqual(outcomes["succeeded"], sum(outcomes.values()), outcomes)

    def test_frozen_agent_starts_no_task_in_an_evacuated_zone_and_jobs_complete_elsewhere(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=12, jobs_per_second=30)
            time.sleep(2)
            system.signal("agent-2", signal.SIGSTOP)
            out_ms = system.set_zone("b", False)
            time.sleep(5)
            system.signal("agent-2", signal.SIGCONT)
            time.sleep(2)
            in_ms = time.time() * 1000
            system.set_zone("b", True)
            load.join()
            system.check_answers(load)
            self.assert_no_late_start(system, "b", out_ms, in_ms)
            restarted = [start for start in system.starts()
                         if system.zone_of_target(start.target) == "b" and start.unix_ms > in_ms]
            self.assertTrue(restarted, "the zone got no tasks after it was put back in service")

    def test_killed_agent_duplicates_no_task_and_leaves_no_job_open(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=4)
            time.sleep(2)
            system.signal("agent-1", signal.SIGKILL)
            load.join()
            outcomes = system.check_answers(load)
            others = set(outcomes) - {"succeeded", "may_have_run"}
            self.assertEqual(others, set(), outcomes)
            # Only tasks in the 8 slots of the killed agent may have an unknown outcome.
            self.assertLessEqual(outcomes["may_have_run"], 8, outcomes)

    def test_log_outage_stops_no_job_and_loses_no_later_change(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=14)
            time.sleep(2)
            system.control("log", outage=True)
            time.sleep(8)
            system.control("log", outage=False)
            out_ms = system.set_zone("c", False)
            load.join()
            outcomes = system.check_answers(load)
            self.assertEqual(outcomes["succeeded"], sum(outcomes.values()), outcomes)
            slowest = max(job.seconds for job in load.jobs)
            self.assertLess(slowest, 5, "a job took too long, as if it had waited for the log")
            self.assert_no_late_start(system, "c", out_ms, time.time() * 1000)

    def test_lost_append_acknowledgements_do_not_apply_a_change_twice(self):
        with LocalSystem() as system:
            system.control("log", lose_answers=True)
            before = system.set_zone("a", False)
            version = system.change("/v1/zones/a", {"in_service": True})["version"]
            system.control("log", lose_answers=False)
            status = system.get(system.entries()[0], "/v1/status")
            zones = {zone["name"]: zone for zone in status["zones"]}
            self.assertTrue(zones["a"]["in_service"])
            self.assertEqual(zones["a"]["version"], version)
            self.assertGreater(before, 0)

    def test_target_that_fails_all_tasks_does_not_attract_work(self):
        with LocalSystem() as system:
            system.control("target-1", fail_all=True)
            load = system.start_load(seconds=6)
            load.join()
            outcomes = system.check_answers(load)
            total = sum(outcomes.values())
            self.assertLess(outcomes["failed"], total * 0.05, outcomes)

    # Guards against a process of one system that connects to a process of another, on a port that
    # was free for a moment. A target would then announce itself to an agent of the other system.
    def test_concurrent_systems_share_no_host(self):
        with LocalSystem(entries=1, targets=1) as first, \
                LocalSystem(entries=1, targets=1) as second:
            hosts = [{process.address.rpartition(":")[0] for process in system.processes.values()}
                     for system in (first, second)]
            self.assertEqual(hosts[0] & hosts[1], set())

    def test_planned_stop_of_target_and_agent_fails_no_task(self):
        with LocalSystem() as system:
            load = system.start_load(seconds=6)
            time.sleep(2)
            left_ms = time.time() * 1000
            system.signal("target-3", signal.SIGTERM)
            self.assertTrue(system.wait_for_exit("target-3", 10))
            system.signal("agent-3", signal.SIGTERM)
            self.assertTrue(system.wait_for_exit("agent-3", 20))
            load.join()
            outcomes = system.check_answers(load)
            self.assertEqual(outcomes["succeeded"], sum(outcomes.values()), outcomes)
            late = [start for start in system.starts() if start.target == "target-3"
                    and start.unix_ms > left_ms + OUT_OF_SERVICE_LIMIT_MS]
            self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
