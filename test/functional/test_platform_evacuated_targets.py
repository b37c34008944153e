"""Targets of an evacuated zone: nothing reaches them from any entry from 5 s
after the acknowledgement on, by requests, resends, probes or connections, and
they are used again afterwards."""

import signal
import time
import unittest

from platform_bed import Testbed
from support import wait_until

ENTRIES = 3
GRACE_S = 5  # after the acknowledgement, as specified
QUIET_S = 3


class EvacuatedTargets(unittest.TestCase):
    def setUp(self):
        self.bed = Testbed(instances=ENTRIES, cores=1)
        self.addCleanup(self.bed.close)
        self.away = self.bed.target("i-1", "svc")
        self.home = self.bed.target("i-2", "svc")
        # Reports name the zone; the one of the first target is evacuated.
        report = self.away.report

        def report_in_zone(*args, **kinds):
            body = report(*args, **kinds)
            body["info"]["zone"] = "z-b"
            return body
        self.away.report = report_in_zone
        self.bed.send_report(self.away)
        self.bed.set_config(self.bed.config(1, [
            self.bed.route("/safe/"), self.bed.route("/once/", "unsafe")]))
        self.bed.wait_ready()
        for i in range(ENTRIES):
            self.wait_for_use(i)

    def send(self, instance, path="/safe/x"):
        return self.bed.request(
            path, attempt="e%d-%f" % (instance, time.monotonic()),
            instance=instance)[0]

    def uses(self, instance):
        with self.away.lock:
            return sum(r["fields"]["x-attempt-id"].startswith(
                "e%d-" % instance) for r in self.away.requests)

    def wait_for_use(self, instance):
        before = self.uses(instance)
        self.home.load = "4,0,4,100"
        wait_until(lambda: self.send(instance) in (200, 503) and
                   self.uses(instance) > before,
                   "entry %d uses the first target" % instance)
        self.home.load = "0,0,4,100"

    def order(self, method):
        wait_until(lambda: self.bed.instances[0].call(
            method, "/evacuations/z-b")[0] == 200, "the order is acknowledged")
        return time.monotonic()

    def check_quiet(self, since, statuses):
        """Sends requests at all entries until QUIET_S after the grace; checks
        that nothing reaches the first target after the grace, not even a new
        connection."""
        connections = None
        while time.monotonic() < since + GRACE_S + QUIET_S:
            if connections is None and time.monotonic() > since + GRACE_S:
                connections = self.away.connections
            for i in range(ENTRIES):
                for path in ("/safe/x", "/once/x"):
                    self.assertIn(self.send(i, path), statuses)
        with self.away.lock:
            late = [a for a in self.away.arrivals if a[0] > since + GRACE_S]
        self.assertEqual(late, [])
        self.assertEqual(self.away.connections, connections)

    def test_nothing_reaches_them_until_the_end(self):
        self.check_quiet(self.order("POST"), (200,))
        # The one that is left fails: there is nothing to resend to.
        self.home.handler = lambda request: ["reset"]
        self.check_quiet(time.monotonic() - GRACE_S, (502, 503))
        self.home.handler = self.home.answer
        self.order("DELETE")
        for i in range(ENTRIES):
            self.wait_for_use(i)

    def test_entry_that_was_frozen_sends_nothing(self):
        """The scheduler, or an entry with open asks, wakes after the grace
        with what it knew before."""
        for number in range(ENTRIES):
            with self.subTest(number):
                process = self.bed.instances[number].processes["flow"]
                process.send_signal(signal.SIGSTOP)
                try:
                    since = self.order("POST")
                    time.sleep(max(0, since + GRACE_S - time.monotonic()))
                finally:
                    process.send_signal(signal.SIGCONT)
                time.sleep(0.5)  # it reads what is in its sockets
                self.check_quiet(
                    time.monotonic() - GRACE_S, (200, 503))
                self.order("DELETE")
                self.wait_for_use(number)


if __name__ == "__main__":
    unittest.main()
