"""Targets in their warm-up, with real processes: they get requests at the rate
that the document names, whichever way the entries learn that they are cold, and
as many as any other one before and after.  Targets that reset connections when
they are full."""

import re
import threading
import time
import unittest

from platform_bed import Testbed
from support import wait_until

ENTRIES = 2
PER_S = 5.7
BOUND = PER_S * 1.5 + 8  # in a second, as specified
RUN_S = 6


class Bed(unittest.TestCase):
    def open_bed(self, targets, **service):
        self.bed = Testbed(instances=ENTRIES, cores=1)
        self.addCleanup(self.bed.close)
        self.targets = [self.bed.target("i-%d" % i, "svc", slots=16)
                        for i in range(targets)]
        config = self.bed.config(1, [
            self.bed.route("/safe/"), self.bed.route("/once/", "unsafe")])
        config["services"][0].update(service)
        self.bed.set_config(config)
        self.bed.wait_ready()
        for i in range(ENTRIES):
            wait_until(lambda i=i: self.bed.request(
                "/safe/x", instance=i)[0] == 200, "an answer")

    def logs(self, text):
        count = 0
        for one in self.bed.instances:
            with open(one.log("flow"), encoding="utf-8") as lines:
                count += sum(text in line for line in lines)
        return count


class ColdTargets(Bed):
    def load(self, seconds):
        """Sends requests at all entries for a time."""
        end = time.monotonic() + seconds

        def send(instance):
            while time.monotonic() < end:
                self.bed.request("/safe/x", instance=instance)
        threads = [threading.Thread(target=send, args=(i % ENTRIES,))
                   for i in range(6)]
        for one in threads:
            one.start()
        for one in threads:
            one.join()

    def arrivals(self, target, since):
        with target.lock:
            return [t for t, path in target.arrivals
                    if path != "/health" and t >= since]

    def check_cold(self, target, since, least):
        got = self.arrivals(target, since)
        for first in got:
            self.assertLessEqual(
                sum(first <= t < first + 1 for t in got), BOUND)
        self.assertGreaterEqual(len(got), least)

    def say_cold_in_probes(self, target, left_ms):
        health = type(target).health
        until = time.monotonic() + left_ms / 1000

        def health_with_warmup():
            left = max(0, int(1000 * (until - time.monotonic())))
            return health(target).replace(
                b"Content-Length", b"X-Warmup-Ms: %d\r\nContent-Length" % left)
        target.health = health_with_warmup

    def test_rate_holds_while_probes_say_cold(self):
        self.open_bed(2, warmup_s=30, warmup_per_s=PER_S)
        self.say_cold_in_probes(self.targets[0], 60000)
        wait_until(lambda: self.logs("event=target_cold") > 0, "it is heard")
        since = time.monotonic()
        self.load(RUN_S)
        # One a second beside an idle warm target, after the bucket's first.
        self.check_cold(self.targets[0], since, RUN_S - 1)
        self.assertGreater(
            len(self.arrivals(self.targets[1], since)), 2 * RUN_S * PER_S)
        # It is warm at once when a probe says so.
        self.say_cold_in_probes(self.targets[0], 0)
        self.targets[1].load = "16,0,16,100"
        time.sleep(1)
        since = time.monotonic()
        self.load(2)
        self.assertGreater(
            len(self.arrivals(self.targets[0], since)), 4 * PER_S)

    def test_rate_holds_while_reports_say_cold_again(self):
        self.open_bed(1, warmup_s=30, warmup_per_s=PER_S)
        report = self.targets[0].report

        def report_cold(*args, **kinds):
            body = report(*args, **kinds)
            body["status"]["warmup_left_ms"] = 30000
            return body
        self.targets[0].report = report_cold
        wait_until(lambda: self.logs("event=target_cold") == ENTRIES,
                   "all entries have heard of it")
        since = time.monotonic()
        self.load(RUN_S)
        self.check_cold(self.targets[0], since, RUN_S * PER_S / 3)

    def test_document_without_a_rate_changes_nothing(self):
        self.open_bed(1)
        self.say_cold_in_probes(self.targets[0], 60000)
        since = time.monotonic()
        self.load(2)
        self.assertGreater(
            len(self.arrivals(self.targets[0], since)), 4 * BOUND)
        self.assertEqual(self.logs("event=target_cold"), 0)


class FullTargets(Bed):
    def log(self, instance):
        with open(self.bed.instances[instance].log("flow"),
                  encoding="utf-8") as lines:
            return lines.read()

    def scheduler(self):
        """Returns the number of the only entry that is the scheduler, or
        None."""
        last = [(re.findall(r"event=scheduler .* here=(\d)", self.log(i)) or
                 ["0"])[-1] for i in range(ENTRIES)]
        return last.index("1") if last.count("1") == 1 else None

    def placed(self, instance):
        """Returns how many requests an entry has placed, as last logged."""
        return max([int(n) for n in re.findall(
            r"event=placement .* requests=(\d+)", self.log(instance))] + [0])

    def wait_asked(self):
        """Waits until the scheduler places requests of the other entry, which
        places them itself until it has heard of a scheduler that is ready."""
        wait_until(lambda: self.scheduler() is not None, "a scheduler")
        scheduler = self.scheduler()
        own = len(re.findall("event=request .* attempt=", self.log(scheduler)))

        def is_asked():
            self.bed.request("/safe/x", instance=1 - scheduler)
            return self.placed(scheduler) > own
        wait_until(is_asked, "the scheduler is asked")
        self.assertEqual(self.scheduler(), scheduler)

    def test_reset_of_a_full_target(self):
        """A request that must not be repeated may have run: 502.  The target
        is known to be full by its probes, and is no failing one."""
        self.open_bed(1)
        self.wait_asked()
        target = self.targets[0]

        def reset_when_full(request):
            target.load = "16,0,16,100"
            time.sleep(0.5)
            return ["reset"]
        target.handler = reset_when_full
        # One of the entries is the scheduler and knows it from its probes;
        # the reset of the other one is reported to it.
        for i in range(ENTRIES):
            before = len(target.requests)
            self.assertEqual(self.bed.request(
                "/once/x", "POST", b"x", instance=i)[0], 502)
            self.assertEqual(len(target.requests), before + 1)
            target.load = "0,0,16,100"
        target.handler = target.answer
        self.assertEqual(self.logs("outcome=reset_full"), 1)
        wait_until(lambda: self.logs("event=reset_full") == 1,
                   "the scheduler counts the other one")
        wait_until(lambda: self.bed.request(
            "/once/x", "POST", b"x")[0] == 200, "it is used again")


if __name__ == "__main__":
    unittest.main()
