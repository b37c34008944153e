"""Runs the whole system on loopback: three control instances, three entries,
simulated targets, an example document and a mixed load.  Prints the latency
that the entries add, the cost of probing and the outcome of repeated calls.

Exits 0 only if every answer was complete and belonged to its caller, no
unrepeatable call ran twice or had an unknown outcome, and all processes shut
down cleanly.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import time

import support

LOAD_CONNECTIONS = 64
LATENCY_ROUNDS = 3
LATENCY_PHASES = "200:3"  # calls per second : seconds
WARM_UP_MS = 1000
MIXED_PHASES = "250:6"
QUANTILES = ("p50_us", "p99_us", "p999_us")

# Per document: the services, each with its number of targets and slots per
# target, the mixed load, and the route whose added latency is measured.
DEMOS = {
    "caroni.yaml": {
        "services": [("store-header-ordering", 16, 4),
                     ("artwork-and-catalogue", 8, 4)],
        "mix": [
            "print-order-status weight=30 service=store-header-ordering "
            "host=orders.caroni.example path=/print-orders/1 "
            "token=store-%-token tokens=40 bytes=700",
            "header-proof weight=30 service=store-header-ordering "
            "host=orders.caroni.example path=/header-proofs/7 "
            "token=store-%-token tokens=40 bytes=40000",
            "print-order weight=6 service=store-header-ordering method=POST "
            "host=orders.caroni.example path=/print-orders key=1 "
            "twice_percent=30 token=store-%-token tokens=40 bytes=300 "
            "body=2000",
            "header-draft weight=6 service=store-header-ordering method=PUT "
            "host=orders.caroni.example path=/header-drafts/3 "
            "token=store-%-token tokens=40 bytes=100 body=200000",
            "price-card weight=20 service=artwork-and-catalogue "
            "host=artwork.caroni.example path=/price-cards/9 "
            "token=store-%-token tokens=40 bytes=1500",
            "catalogue-sync weight=3 service=artwork-and-catalogue "
            "host=artwork.caroni.example path=/catalogue "
            "token=warehouse-%-token tokens=6 bytes=1000000",
            "artwork-bundle weight=1 service=artwork-and-catalogue "
            "host=artwork.caroni.example path=/bundles/2 "
            "token=merchandising-token bytes=20000000 timeout_ms=60000",
        ],
        "latency_mix": [
            "print-order-status service=store-header-ordering "
            "host=orders.caroni.example path=/print-orders/1 "
            "token=store-%-token tokens=40 bytes=700",
        ],
    },
    "vejradis.yaml": {
        "services": [("commission-ordering", 16, 2),
                     ("drawings-and-tracking", 10, 2)],
        "mix": [
            "design-browse weight=40 service=commission-ordering "
            "host=commissions.vejradis.example path=/designs/12 "
            "token=buyers-token bytes=30000",
            "commission-status weight=20 service=commission-ordering "
            "host=commissions.vejradis.example path=/commissions/4 "
            "token=smith-%-token tokens=24 bytes=600",
            "deposit weight=6 service=commission-ordering method=POST "
            "host=commissions.vejradis.example path=/deposits key=1 "
            "twice_percent=30 token=smith-%-token tokens=24 bytes=300 "
            "body=1500",
            "tracking weight=24 service=drawings-and-tracking "
            "host=drawings.vejradis.example path=/tracking/5 "
            "token=buyers-token bytes=500",
            "drawing-view weight=8 service=drawings-and-tracking "
            "host=drawings.vejradis.example path=/drawings/8 "
            "token=smith-%-token tokens=24 bytes=90000",
            "drawing-pack weight=1 service=drawings-and-tracking "
            "host=drawings.vejradis.example path=/packs/3 "
            "token=installer-%-token tokens=8 bytes=20000000 "
            "timeout_ms=60000",
        ],
        "latency_mix": [
            "design-browse service=commission-ordering "
            "host=commissions.vejradis.example path=/designs/12 "
            "token=buyers-token bytes=700",
        ],
    },
}


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=support.BIN,
                        help="folder of the programs")
    parser.add_argument(
        "--document",
        default=os.environ.get("DEMO_DOCUMENT", "examples/caroni.yaml"))
    return parser.parse_args()


def start_targets(fleet, services):
    for service, count, slots in services:
        for index in range(count):
            fleet.start_target(service, index, slots, [
                "--service-time", "3000", "--queue-max", str(slots),
                "--seed", str(index)])
    fleet.wait_targets()


def run_load(fleet, mix, phases, quiet, destination):
    out = os.path.join(fleet.folder, "result.json")
    done = subprocess.run(
        [os.path.join(support.BIN, "gypsummill-load"), "--mix",
         support.write_mix(fleet.folder, mix), "--phases", phases,
         "--connections", str(LOAD_CONNECTIONS), "--json", out,
         "--warm-up", str(WARM_UP_MS),
         "--quiet", "true" if quiet else "false"] + destination,
        check=False)
    with open(out, encoding="utf-8") as text:
        return done.returncode, json.load(text)


def measure_added_latency(fleet, mix, service):
    """Sends the same calls directly and through the entries, alternating.

    Returns the exit code of the load through the entries and a pair of
    latency quantiles (direct, entry), in µs, per round.
    """
    targets = ",".join(target.address for target in fleet.targets
                       if target.id.startswith(service))
    code = 0
    rounds = []
    for _ in range(LATENCY_ROUNDS):
        _, direct = run_load(fleet, mix, LATENCY_PHASES, True,
                             ["--direct", targets])
        entry_code, entry = run_load(fleet, mix, LATENCY_PHASES, True,
                                     ["--entries", ",".join(fleet.addresses())])
        code = code or entry_code
        rounds.append((direct["total"]["added"], entry["total"]["added"]))
    return code, rounds


def median(values):
    return sorted(values)[len(values) // 2]


def print_added_latency(rounds):
    print("\nLatency from the intended start, without the target's own time, "
          "median of %d rounds (ms):\n%-28s %8s %8s %8s" % (
              len(rounds), "", "p50", "p99", "p99.9"))
    rows = [("direct to the targets", lambda d, e: d),
            ("through the entries", lambda d, e: e),
            ("added by the entry",
             lambda d, e: {n: e[n] - d[n] for n in QUANTILES})]
    for name, select in rows:
        latencies = [select(direct, entry) for direct, entry in rounds]
        print("%-28s %8.2f %8.2f %8.2f" % ((name,) + tuple(
            median([latency[n] for latency in latencies]) / 1000
            for n in QUANTILES)))
    print("%-28s %8s %8.2f" % ("objective for the added p99", "", 1.8))


def print_probe_cost(fleet, seconds):
    probes = sum(support.metric(entry.operators,
                                "gypsummill_entry_probes_total")
                 for entry in fleet.entries)
    sent = sum(support.metric(entry.operators,
                              "gypsummill_entry_probe_bytes_total")
               for entry in fleet.entries)
    print("Probing: %d messages, %d bytes in %.0f s: %.1f messages/s, "
          "%.0f bytes/s" % (probes, sent, seconds, probes / seconds,
                                   sent / seconds))


def shut_down(fleet):
    """Stops all entries, then the targets, then the control instances, with
    SIGTERM.  Returns whether every process exited with 0.
    """
    clean = True
    for process in fleet.entries:
        process.signal(signal.SIGTERM)
    for process in fleet.entries:
        clean = process.wait() == 0 and clean
    for group in (fleet.targets, fleet.controls):
        for process in group:
            process.signal(signal.SIGTERM)
        for process in group:
            clean = process.wait() == 0 and clean
    return clean


def run_demo(fleet, demo, text):
    started = time.monotonic()
    fleet.apply(text)
    start_targets(fleet, demo["services"])
    print("3 control instances, 3 entries and %d targets are up after "
          "%.1f s" % (len(fleet.targets), time.monotonic() - started))
    code, rounds = measure_added_latency(
        fleet, demo["latency_mix"], demo["services"][0][0])
    print("\nMixed load, %s (calls per second : seconds):" % MIXED_PHASES)
    sys.stdout.flush()
    mixed_code, mixed = run_load(
        fleet, demo["mix"], MIXED_PHASES, False,
        ["--entries", ",".join(fleet.addresses())])
    print_added_latency(rounds)
    print_probe_cost(fleet, time.monotonic() - started)
    executions = fleet.executions()
    print("Unrepeatable calls: %d keys, %d executions, %d run more than once; "
          "%d answers replayed to repeated submissions" % (
              executions["keys"], executions["executions"],
              executions["doubled"], mixed["total"]["replayed"]))
    sys.stdout.flush()
    clean = shut_down(fleet)
    print("Graceful shutdown: %s" % ("clean" if clean else "NOT CLEAN"))
    total = mixed["total"]
    return (code == 0 and mixed_code == 0 and clean
            and executions["doubled"] == 0 and total["whole"] > 0
            and total["unknown"] == 0)


def main():
    arguments = parse_arguments()
    support.BIN = os.path.abspath(arguments.bin)
    demo = DEMOS[os.path.basename(arguments.document)]
    with open(arguments.document, encoding="utf-8") as source:
        text = source.read()
    started = time.monotonic()
    with support.Fleet() as fleet:
        ok = run_demo(fleet, demo, text)
        if not ok:
            fleet.print_logs()
    print("%s in %.0f s" % ("OK" if ok else "FAILED",
                            time.monotonic() - started))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
