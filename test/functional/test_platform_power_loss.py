"""A loss of power of all processes just after the operator's orders were
acknowledged.  Guards against an evacuated target that is used again, a
withdrawn key that is served again, and an account that gets more than its
allowance since the voters have forgotten what they granted."""

import threading
import time
import unittest

from platform_bed import Testbed
from support import wait_until

ENTRIES = 4
CORES = 3
RATE, BURST = 30, 30
WINDOW_S = 5
BOUND = (RATE * WINDOW_S + BURST) * 1.1 + 20
DEMAND = 7 * RATE
THREADS = 3  # at each entry
# After the acknowledgement: nothing new is sent there, and the key has ended.
EVACUATE_S, WITHDRAW_S = 5, 2
BEFORE_S, AFTER_S = 4, 10
WORK_S = 0.05


class PowerLoss(unittest.TestCase):
    def setUp(self):
        self.bed = Testbed(instances=ENTRIES, cores=CORES)
        self.addCleanup(self.bed.close)
        self.lock = threading.Lock()
        self.sent = {}  # attempt -> when its caller sent it
        self.runs = []  # (attempt, target, when it was run)
        self.statuses = []  # (key, when it was asked, status)
        self.stopping = threading.Event()
        # The first one can't serve the load alone.
        near = self.bed.target("near", "svc", slots=1)
        near.handler = self.record(near, WORK_S)
        away = self.bed.target("away", "svc", slots=64)
        away.handler = self.record(away)
        report = away.report

        def report_in_other_zone(*args, **kinds):
            body = report(*args, **kinds)
            body["info"]["zone"] = "z-b"
            return body
        away.report = report_in_other_zone
        self.bed.set_config(self.config(1, ["key-new", "key-old"]))
        self.bed.wait_ready()

    def config(self, version, keys):
        config = self.bed.config(version, [self.bed.route("/")])
        config["tenants"] = [{"name": "acme", "api_keys": keys,
                              "rate_per_s": RATE, "burst": BURST}]
        return config

    def record(self, target, work_s=0):
        def handler(request):
            with self.lock:
                self.runs.append((request["fields"]["x-attempt-id"],
                                  target.name, time.monotonic()))
            return [work_s, target.answer(request)]
        return handler

    def ask(self, key, entry, attempt):
        now = time.monotonic()
        with self.lock:
            self.sent[attempt] = now
        status = self.bed.request(
            "/x", attempt=attempt, instance=entry,
            fields={"Authorization": "Bearer " + key})[0]
        with self.lock:
            self.statuses.append((key, now, status))
        return status

    def keep_asking(self, entry, thread):
        number = 0
        while not self.stopping.is_set():
            number += 1
            key = "key-old" if number % 4 == 0 else "key-new"
            began = time.monotonic()
            self.ask(key, entry, "%s-%d-%d-%d" % (key, entry, thread, number))
            self.stopping.wait(max(0, began + ENTRIES * THREADS / DEMAND -
                                   time.monotonic()))

    def most_in_a_window(self):
        """The largest number of requests that were sent and run within one
        window; each window begins with a request."""
        runs = sorted((self.sent[attempt], at) for attempt, _, at in self.runs)
        return max(sum(1 for sent, at in runs[i:] if at <= start + WINDOW_S)
                   for i, (start, _) in enumerate(runs))

    def lose_power(self):
        roles = [(one, role) for one in self.bed.instances
                 for role in one.processes]
        for one, role in roles:
            one.kill(role)
        for one, role in roles:
            one.start(role)

    def test_orders_and_allowances_outlive_a_loss_of_power(self):
        wait_until(lambda: self.ask("key-new", 0, "first") == 200,
                   "the voters grant")
        threads = [threading.Thread(target=self.keep_asking, args=(at, n))
                   for at in range(ENTRIES) for n in range(THREADS)]
        for one in threads:
            one.start()
        try:
            time.sleep(BEFORE_S)
            wait_until(lambda: self.bed.instances[0].call(
                "POST", "/evacuations/z-b")[0] == 200, "it is evacuated")
            self.bed.set_config(self.config(2, ["key-new"]), base=1)
            acknowledged = time.monotonic()
            self.lose_power()
            started = time.monotonic()
            self.bed.wait_ready()
            time.sleep(AFTER_S)
        finally:
            self.stopping.set()
            for one in threads:
                one.join()
        self.assertLessEqual(self.most_in_a_window(), BOUND)
        # It is limited, not shut out.
        self.assertGreater(
            sum(at > started for _, _, at in self.runs), RATE)
        withdrawn = acknowledged + WITHDRAW_S
        self.assertEqual([attempt for attempt, _, _ in self.runs
                          if attempt.startswith("key-old") and
                          self.sent[attempt] > withdrawn], [])
        self.assertEqual({status for key, at, status in self.statuses
                          if key == "key-old" and at > withdrawn}, {401})
        self.assertEqual(
            [attempt for attempt, target, at in self.runs
             if target == "away" and
             self.sent[attempt] > acknowledged + EVACUATE_S], [])
        self.assertGreater(sum(target == "away" and at < acknowledged
                               for _, target, at in self.runs), 0)


if __name__ == "__main__":
    unittest.main()
