"""Second sends against slow answers at the real entry: the log line, and a
change of hedge_share at run time.  Guards against a share that takes effect
only after a restart, or that stays in force when it is withdrawn."""

import collections
import re
import signal
import threading
import unittest

from platform_bed import Testbed
from support import wait_until

ORDINARY_S = 0.02
# Far above STUCK_S: late requests have second sends that need no share.
OBJECTIVE_MS = 2500
STUCK_S = 0.6
LEARN = 19  # ordinary requests for each stuck one: fewer than one in ten


class SecondSends(unittest.TestCase):
    def setUp(self):
        self.bed = Testbed()
        self.addCleanup(self.bed.close)
        self.entry = self.bed.instances[0]
        self.lock = threading.Lock()
        self.sent_to = collections.defaultdict(list)  # path: target names
        self.count = 0
        for name in ("t-1", "t-2", "t-3"):
            target = self.bed.target(name, "svc")
            target.handler = lambda request, t=target: self.serve(t, request)
        self.bed.set_config(self.bed.config(1, [
            self.bed.route("/a/", target_latency_ms=OBJECTIVE_MS)]))
        self.bed.wait_ready()
        wait_until(lambda: self.bed.request("/a/first")[0] == 200,
                   "a first answer")

    def serve(self, target, request):
        path = request["path"]
        with self.lock:
            self.sent_to[path].append(target.name)
            first = len(self.sent_to[path]) == 1
        stuck = first and path.startswith("/a/stuck")
        return [STUCK_S if stuck else ORDINARY_S, target.answer(request)]

    def request(self, kind):
        """Sends a request; returns the names of the targets that got it."""
        self.count += 1
        path = "/a/%s-%d" % (kind, self.count)
        status, body, _ = self.bed.request(path, attempt="a%d" % self.count)
        self.assertEqual(status, 200, body)
        with self.lock:
            return list(self.sent_to[path])

    def request_stuck(self):
        for _ in range(LEARN):
            self.request("plain")
        return self.request("stuck")

    def log_lines(self, *texts):
        with open(self.entry.log("flow"), encoding="utf-8") as log:
            return [line for line in log if all(t in line for t in texts)]

    def set_share(self, share, outcome="taken"):
        texts = ("event=reload", "cause=signal", "outcome=" + outcome)
        before = len(self.log_lines(*texts))
        self.bed.hedge_share = share
        self.entry.write_settings("flow")
        self.entry.processes["flow"].send_signal(signal.SIGHUP)
        wait_until(lambda: len(self.log_lines(*texts)) > before,
                   "settings are " + outcome)

    def wait_hedged(self):
        wait_until(lambda: len(self.request_stuck()) == 2,
                   "a second send", timeout_s=60)

    def test_share_changes_at_run_time(self):
        for _ in range(3):
            self.assertEqual(len(self.request_stuck()), 1)
        self.set_share(0.2)
        self.wait_hedged()
        # A share above the largest is refused, and the one in force stays.
        self.set_share(0.3, outcome="left")
        self.wait_hedged()
        # Without the setting: off.
        self.set_share(None)
        wait_until(lambda: len(self.request_stuck()) == 1, "no second send")
        made = len(self.log_lines("event=hedge", "outcome=made"))
        for _ in range(3):
            self.assertEqual(len(self.request_stuck()), 1)
        self.assertEqual(
            len(self.log_lines("event=hedge", "outcome=made")), made)

    def test_log_line_names_request_target_and_outcome(self):
        self.set_share(0.2)
        wait_until(lambda: self.request_stuck() and self.hedges("won"),
                   "a second send that is answered first", timeout_s=120)
        number, target = self.hedges("won")[0]
        self.assertIn((number, target), self.hedges("made"))
        with self.lock:
            seconds = [names[1] for names in self.sent_to.values()
                       if len(names) == 2 and names[0] != names[1]]
        self.assertIn(target, seconds)
        # One line for each second send, and one for each end.
        made = self.hedges("made")
        self.assertEqual(len(made), len(set(made)))
        wait_until(lambda: sorted(self.hedges("made")) == sorted(
            self.hedges("won") + self.hedges("lost") + self.hedges("failed")),
            "each second send has an end")
        self.assertEqual(len(self.hedges(r"\w+")),
                         len(self.log_lines("event=hedge ")))

    def hedges(self, outcome):
        """Returns request number and target of the lines of an outcome."""
        found = [re.search(
            r"event=hedge instance=edge-0 service=svc request=(\d+) remote=0 "
            r"target=(\S+) reason=slower_than_nine_in_ten outcome=%s$" %
            outcome, line.strip()) for line in self.log_lines("event=hedge ")]
        return [match.groups() for match in found if match]


if __name__ == "__main__":
    unittest.main()
