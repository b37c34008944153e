"""Signal handling: SIGHUP reopens the log, SIGTERM stops gracefully, a second
SIGTERM stops immediately."""

import os
import signal
import unittest

import support


def check_log_rotation(case, process, path):
    """Renames the log; after SIGHUP the process must write a new one."""
    support.wait_until(lambda: os.path.exists(path), "the log exists")
    os.rename(path, path + ".old")
    process.signal(signal.SIGHUP)
    support.wait_until(lambda: os.path.exists(path), "the log is reopened")
    case.assertTrue(process.running())


class Signals(unittest.TestCase):
    def test_control_reopens_its_log_and_stops(self):
        with support.Fleet(controls=0, entries=0, encrypted=False) as fleet:
            path = os.path.join(fleet.folder, "control.out")
            fleet.control_arguments = ["--log-file", path]
            fleet.start_controls(1)
            check_log_rotation(self, fleet.controls[0], path)
            fleet.controls[0].signal(signal.SIGTERM)
            self.assertEqual(fleet.controls[0].wait(), 0)
            with open(path, encoding="utf-8") as log:
                self.assertIn("event=stopped", log.read())

    def test_entry_reopens_its_log_and_leaves(self):
        with support.Fleet(controls=1, entries=0) as fleet:
            path = os.path.join(fleet.folder, "entry.out")
            entry = fleet.start_entry(0, ["--log-file", path])
            check_log_rotation(self, entry, path)
            entry.signal(signal.SIGTERM)
            self.assertEqual(entry.wait(), 0)
            with open(path, encoding="utf-8") as log:
                text = log.read()
            self.assertIn("event=entry_leaving", text)
            self.assertIn("event=entry_stopped", text)

    def test_second_sigterm_stops_entry_immediately(self):
        with support.Fleet(controls=1, entries=1) as fleet:
            fleet.apply(support.document(answer_keep="60s"))
            entry = fleet.entries[0]
            entry.signal(signal.SIGTERM)
            entry.find_line("event=entry_leaving")
            self.assertTrue(entry.running())
            entry.signal(signal.SIGTERM)
            self.assertNotEqual(entry.wait(), 0)
            self.assertIn("event=entry_stopped_at_once", entry.log())


if __name__ == "__main__":
    unittest.main()
