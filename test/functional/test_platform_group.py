"""The control group on the provider's platform: the document and departures
survive what instances and disks do."""

import json
import shutil
import os
import threading
import time
import unittest

from platform_bed import Bed, Target
from support import wait_until


class Kept(unittest.TestCase):
    """A target is kept for 40 heartbeats; here these take two seconds."""

    KEPT_S = 2.0

    def setUp(self):
        self.bed = Bed(instances=4, cores=4, heartbeat_ms=50)
        self.bed.set_config(self.bed.config(1, [self.bed.path("/a/")]))

    def tearDown(self):
        self.bed.close()

    def knows(self, instance, target):
        with open(instance.log("flow"), encoding="utf-8") as log:
            lines = [line for line in log if "target=" + target in line and
                     "event=target" in line]
        return bool(lines) and "event=target_gone" not in lines[-1]

    def test_target_stays_known_where_it_does_not_report(self):
        # All reports go to the first control instance that answers.
        self.bed.target("t1", "svc")
        self.bed.wait_ready()
        end = time.time() + 3 * self.KEPT_S
        while time.time() < end:
            for i in range(4):
                self.assertEqual(self.bed.ask("/a/x", instance=i)[0], 200)
            time.sleep(0.2)
        for one in self.bed.instances:
            self.assertTrue(self.knows(one, "t1"), one.name)

    def test_silent_target_is_forgotten_everywhere(self):
        silent = self.bed.target("t1", "svc")
        self.bed.target("t2", "svc")
        self.bed.wait_ready()
        for one in self.bed.instances:
            wait_until(lambda o=one: self.knows(o, "t1"), "t1 is known")
        silent.close()
        for one in self.bed.instances:
            wait_until(lambda o=one: not self.knows(o, "t1"),
                       one.name + " has forgotten it")
            self.assertTrue(self.knows(one, "t2"))


class Grace(unittest.TestCase):
    def test_stop_lasts_as_long_as_its_grace(self):
        # Work of 6.5 s under a grace of 9 s: cut after 5.5 s before.
        bed = Bed(grace_s=9)
        try:
            target = bed.target("i-1", "svc")
            bed.set_config(bed.config(1, [bed.path("/a/", timeout_ms=9000)]))
            bed.wait_ready()
            wait_until(lambda: bed.ask("/a/x")[0] == 200, "an answer")
            target.requests.clear()
            target.behave = lambda r: [6.5, target.answer(r)]
            results = []
            caller = threading.Thread(target=lambda: results.append(
                bed.ask("/a/x", wait_ms=9000)))
            caller.start()
            wait_until(lambda: target.requests, "the request's run")
            process = bed.instances[0].processes["flow"]
            process.terminate()
            caller.join()
            self.assertEqual(results[0][0], 200)
            self.assertEqual(process.wait(timeout=20), 0)
        finally:
            bed.close()


class Group(unittest.TestCase):
    def setUp(self):
        self.bed = Bed(instances=4, cores=4)
        self.config = self.bed.config(1, [self.bed.path("/a/")])
        self.bed.set_config(self.config)

    def tearDown(self):
        self.bed.close()

    def read(self, core):
        status, body = core.call("GET", "/config")
        return json.loads(body) if status == 200 else status

    def next_config(self, version):
        return self.bed.config(version, [
            self.bed.path("/a/"), self.bed.path("/v%d/" % version)])

    def accept(self, version, base):
        config = self.next_config(version)
        wait_until(lambda: any(
            self.bed.put_config(config, base, c) == 200
            for c in self.bed.cores()), "version %d accepted" % version)
        return config

    def wait_reads(self, config):
        for core in self.bed.cores():
            wait_until(lambda c=core: self.read(c) == config,
                       core.name + " reads the newest document")

    def test_edits_compare_and_set(self):
        one, two = self.next_config(4), self.next_config(5)
        self.assertEqual(self.bed.put_config(one, 0), 412)
        wait_until(lambda: self.bed.put_config(one, 1) == 200, "an ack")
        # A resend is acknowledged again, at any instance; a rival is not.
        for core in self.bed.cores():
            wait_until(lambda c=core: self.bed.put_config(one, 1, c) == 200,
                       "a resend's ack")
            wait_until(lambda c=core: self.bed.put_config(two, 1, c) == 412,
                       "a rival's conflict")
        self.assertEqual(self.bed.put_config(self.next_config(3), 4), 400)
        wait_until(lambda: self.bed.put_config(two, 4) == 200, "an ack")
        # Also once another has followed.
        wait_until(lambda: self.bed.put_config(one, 1) == 200, "an ack")
        self.wait_reads(two)

    def test_one_of_two_rivals_wins(self):
        for base, version in ((1, 10), (10, 20), (20, 30)):
            rivals = [self.bed.config(version, [
                self.bed.path("/a/"), self.bed.path("/r%d/" % i)])
                for i in range(4)]
            results = [[] for _ in rivals]

            def send(i):
                core = self.bed.cores()[i % 4]
                while not results[i] or results[i][-1] in (0, 503):
                    results[i].append(
                        self.bed.put_config(rivals[i], base, core))
            threads = [threading.Thread(target=send, args=(i,))
                       for i in range(4)]
            for t in threads:
                t.start()
            for t in threads:
                t.join()
            self.assertEqual(
                sorted(r[-1] for r in results), [200, 412, 412, 412])
            winner = [r[-1] for r in results].index(200)
            self.wait_reads(rivals[winner])

    def test_invalid_documents_are_refused(self):
        def changed(change):
            config = self.next_config(2)
            change(config)
            return json.dumps(config)
        path = lambda c: c["hosts"][0]["paths"][1]
        bad = [
            changed(lambda c: path(c).update(service="nobody")),
            changed(lambda c: path(c).update(path_prefix="/a/")),
            changed(lambda c: path(c).update(path_prefix="v2/")),
            changed(lambda c: path(c).update(timeout_ms=600001)),
            changed(lambda c: path(c).pop("timeout_ms")),
            changed(lambda c: path(c).update(traffic_split=[
                {"service": "svc", "weight": -1}])),
            changed(lambda c: path(c).update(traffic_split=[
                {"service": "svc"}])),
            changed(lambda c: c["hosts"][0].update(host="")),
            changed(lambda c: c.pop("version")),
            changed(lambda c: c.update(version="2")),
            json.dumps(self.next_config(2))[:-20], "", "[]", "{}",
        ]
        for text in bad:
            status, _ = self.bed.cores()[0].call(
                "PUT", "/config", text, {"If-Match": "1"})
            self.assertEqual(status, 400, text[:200])
        self.wait_reads(self.config)

    def test_served_after_a_restart_of_all_without_a_leader(self):
        target = self.bed.target("i-1", "svc")
        self.bed.wait_ready()
        wait_until(lambda: self.bed.ask("/a/x")[0] == 200, "an answer")
        one = self.bed.instances[0]
        with open(one.log("core"), encoding="utf-8") as log:
            wait_until(lambda: target.name in log.read(), "the target's line")
        time.sleep(1)  # longer than the cache waits for more news
        for instance in self.bed.instances:
            for role in ("core", "flow"):
                instance.kill(role)
        self.bed.beating = False
        self.bed.beats.join()
        # One core of four can't elect a leader; what it knew is served.
        one.start("core")
        one.start("flow")
        wait_until(lambda: self.bed.ask("/a/x")[0] == 200, "an answer")
        self.assertEqual(self.read(one), 503)

    def lines(self, instance, text):
        with open(instance.log("core"), encoding="utf-8") as log:
            return sum(text in line for line in log)

    def test_lost_disk_is_replaced(self):
        config = self.accept(2, 1)
        lost = self.bed.instances[0]
        lost.kill("core")
        shutil.rmtree(lost.data)
        os.makedirs(lost.data)
        lost.bootstrap = False
        before = self.lines(lost, "event=replica_stopped")
        lost.start("core")
        self.wait_reads(config)
        # A machine counts as lost until it has caught up, 4 s after it is
        # back: by then the group has let go of what it was.
        began = time.time()
        wait_until(lambda: any(
            self.lines(i, "change=remove") for i in self.bed.instances),
            "the lost replica is removed")
        self.assertLess(time.time() - began, 4)
        # What is meant for the replica that was there stopped its successor
        # until the group had changed: a matter of luck.
        self.assertEqual(self.lines(lost, "event=replica_stopped"), before)
        # Then another dies for good: a majority is there all the same.
        self.bed.instances[1].kill("core")
        config = self.accept(3, 2)
        self.wait_reads(config)

    def test_nothing_accepted_is_lost_when_all_are_killed(self):
        version = 1
        for _ in range(3):
            config = self.accept(version + 1, version)
            version += 1
            for instance in self.bed.instances:
                instance.kill("core")
            for instance in self.bed.instances:
                instance.start("core")
            self.wait_reads(config)

    def test_departure_binds_everywhere(self):
        target = self.bed.target("i-1", "svc")
        other = self.bed.target("i-2", "svc")
        self.bed.wait_ready()
        wait_until(lambda: all(
            self.bed.ask("/a/x", instance=i)[0] == 200 for i in range(4)),
            "answers of all entries")
        self.bed.targets.remove(target)
        wait_until(lambda: self.bed.send_report(target, "draining") == 200,
                   "the ack of a departure")
        late = dict(target.report())
        for instance in self.bed.instances:
            with open(instance.log("flow"), encoding="utf-8") as log:
                wait_until(lambda f=log: "event=target_gone" in
                           f.seek(0) * "" + f.read(), "the target is gone")
        # A late report of the same incarnation does not bring it back.
        for core in self.bed.cores():
            core.call("PUT", "/instances/i-1", json.dumps(late))
        target.requests.clear()
        for i in range(40):
            self.bed.ask("/a/x", instance=i % 4)
        self.assertEqual(target.requests, [])
        self.assertGreaterEqual(len(other.requests), 40)
        # One that starts again under its id does.
        again = Target("i-1", "svc", "127.0.7.200")
        again.born = target.born + 1000
        self.bed.targets.append(again)
        wait_until(lambda: self.bed.ask("/a/x")[0] == 200 and again.requests,
                   "a request at the new incarnation")
        target.close()

    def test_leave_without_a_report_of_draining(self):
        target = self.bed.target("i-1", "svc")
        self.bed.target("i-2", "svc")
        self.bed.targets.remove(target)
        wait_until(lambda: any(
            c.call("DELETE", "/instances/i-1")[0] == 200
            for c in self.bed.cores()), "the ack of a leave")
        self.bed.wait_ready()
        wait_until(lambda: self.bed.ask("/a/x")[0] == 200, "an answer")
        target.requests.clear()
        for _ in range(20):
            self.bed.ask("/a/x")
        self.assertEqual(target.requests, [])

    def test_reports_of_others_are_left_out(self):
        core = self.bed.cores()[0]
        target = Target("i-9", "svc", "127.0.7.200")
        report = target.report()
        foreign = [
            b"\xff\xfe", b"{", b"[]", b"{}",
            json.dumps(dict(report, address=7)),
            json.dumps(dict(report, address="nowhere")),
            json.dumps(dict(report, info={})),
            json.dumps(dict(report, status=None)),
            json.dumps(dict(report, born="x")),
            json.dumps(dict(report, status=dict(report["status"],
                                                state="odd"))),
            json.dumps(dict(report, status=dict(report["status"],
                                                sequence=-1))),
        ]
        for body in foreign:
            self.assertEqual(
                core.call("PUT", "/instances/i-9", body)[0], 400, body)
        target.close()

    def test_lookup_names_live_entries(self):
        self.bed.wait_ready()
        path = "/resolve?name=h.example&region=r&zone=z-a"

        def named():
            status, body = self.bed.instances[0].call("GET", path, port=3)
            return set(json.loads(body)["addresses"]) if status == 200 else ()
        everyone = {"%s:%d" % (i.ip, self.bed.port)
                    for i in self.bed.instances}
        wait_until(lambda: named() == everyone, "all entries are named")
        gone = self.bed.instances[3]
        gone.kill("flow")
        wait_until(lambda: named() == everyone - {
            "%s:%d" % (gone.ip, self.bed.port)}, "a lost entry is not named")

    def test_stop_answers_what_is_in_hand(self):
        target = self.bed.target("i-1", "svc")
        self.bed.wait_ready()
        target.behave = lambda r: [1.0, target.answer(r)]
        results = []
        caller = threading.Thread(
            target=lambda: results.append(self.bed.ask("/a/x", instance=1)))
        caller.start()
        wait_until(lambda: target.requests, "the request's run")
        one = self.bed.instances[1]
        process = one.processes["flow"]
        process.terminate()
        wait_until(lambda: one.call("GET", "/ready", port=1)[0] != 200,
                   "no longer ready")
        caller.join()
        self.assertEqual(results[0][0], 200)
        self.assertEqual(results[0][2].get("connection"), "close")
        self.assertEqual(process.wait(timeout=20), 0)

    def test_kept_connection_is_served_during_a_stop(self):
        # Callers keep open connections until a lookup no longer names them.
        import http.client
        self.bed.target("i-1", "svc")
        self.bed.wait_ready()
        wait_until(lambda: self.bed.ask("/a/x", instance=1)[0] == 200,
                   "an answer")
        one = self.bed.instances[1]
        fields = {"Host": "h.example", "X-Attempt-Id": "k",
                  "X-Request-Deadline": "3000"}
        kept = http.client.HTTPConnection(one.ip, self.bed.port, timeout=20)
        kept.request("GET", "/a/x", headers=fields)
        self.assertEqual(kept.getresponse().read(), b"whole")
        process = one.processes["flow"]
        process.terminate()
        wait_until(lambda: one.call("GET", "/ready", port=1)[0] != 200,
                   "no longer ready")
        time.sleep(0.5)  # several looks at idle connections
        kept.request("GET", "/a/x", headers=fields)
        response = kept.getresponse()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.getheader("Connection"), "close")
        kept.close()
        self.assertEqual(process.wait(timeout=20), 0)


if __name__ == "__main__":
    unittest.main()
