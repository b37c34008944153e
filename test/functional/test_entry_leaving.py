"""Graceful shutdown of an entry and drain of a target during downloads of
20 MB and unrepeatable POSTs: no call is interrupted."""

import signal
import time
import unittest

import support

DRAIN_BOUND_S = 3


class Leaving(unittest.TestCase):
    def run_load(self, fleet, seconds):
        mix = support.write_mix(fleet.folder, [
            "check weight=20 service=ordering host=orders.test path=/x "
            "token=store-01-token bytes=500",
            "order weight=4 service=ordering method=POST host=orders.test "
            "path=/orders key=1 token=store-01-token bytes=300 body=1000",
            "bundle weight=1 service=ordering host=orders.test "
            "path=/bundles token=store-01-token bytes=20000000 "
            "timeout_ms=60000"])
        return support.background(support.load, [
            "--entries", ",".join(fleet.addresses()), "--mix", mix,
            "--phases", "100:%d" % seconds, "--connections", "64"])

    def check(self, fleet, load):
        _, figures = load.take()
        total = figures["total"]
        print({name: value for name, value in total.items()
               if isinstance(value, int)})
        for outcome in ("foreign", "short", "broken", "unreachable",
                        "unknown", "error"):
            self.assertEqual(total[outcome], 0, outcome)
        self.assertEqual(total["whole"], total["calls"])
        self.assertEqual(fleet.executions()["doubled"], 0)

    def start(self, entries):
        fleet = support.Fleet(controls=1, entries=entries)
        try:
            fleet.apply(support.document())
            for index in range(3):
                fleet.start_target("ordering", index, 16)
            fleet.wait_targets()
        except BaseException:
            fleet.stop()
            raise
        return fleet

    def test_leaving_entry_interrupts_no_call_and_is_not_returned(self):
        with self.start(3) as fleet:
            load = self.run_load(fleet, 10)
            leaving = fleet.entries[0]
            support.wait_until(
                lambda: support.metric(
                    leaving.operators,
                    "gypsummill_entry_answered_total") > 20,
                "the load runs")
            leaving.signal(signal.SIGTERM)
            for entry in fleet.entries[1:]:
                support.wait_until(
                    lambda: "entry-1" not in names(fleet, entry),
                    "lookups no longer return the leaving entry")
            for entry in fleet.entries[1:]:
                for _ in range(20):
                    self.assertNotIn("entry-1", names(fleet, entry))
            self.assertEqual(leaving.wait(), 0)
            self.check(fleet, load)

    def test_draining_target_gets_no_new_calls(self):
        with self.start(2) as fleet:
            load = self.run_load(fleet, 9)
            target = fleet.targets[0]
            support.wait_until(
                lambda: fleet.target_stats(target)["calls"] > 20,
                "the load runs")
            drained_us = time.time() * 1e6
            fleet.fault(target, draining=1)
            self.check(fleet, load)
            stats = fleet.target_stats(target)
            print("last call %.3f s after the drain" % (
                (stats["last_call_us"] - drained_us) / 1e6))
            self.assertLess(stats["last_call_us"],
                            drained_us + DRAIN_BOUND_S * 1e6)
            self.assertEqual(stats["in_flight"], 0)

    def test_target_moves_to_another_entry_when_its_holder_dies(self):
        with support.Fleet(entries=2) as fleet:
            fleet.apply(support.document())
            target = fleet.start_target("ordering", wait=True)
            first, second = fleet.entries

            def holders():
                status = support.request(
                    fleet.operators[0], "GET", "/gypsummill/v1/status").json()
                return [item["holder"] for item in status["targets"]]
            support.wait_until(lambda: holders() == ["entry-1"],
                               "the first entry holds the target")
            first.kill()
            support.wait_until(lambda: holders() == ["entry-2"],
                               "the second entry holds the target")
            answer = support.request(
                second.address, "GET", "/x",
                {"Host": "orders.test",
                 "Authorization": "Bearer " + support.TENANT_TOKEN})
            self.assertEqual(answer.status, 200, answer.body)
            self.assertTrue(target.running())


def names(fleet, entry):
    answer = fleet.lookup(entry, "ordering").json()
    return [item["name"] for item in answer["entries"]]


if __name__ == "__main__":
    unittest.main()
