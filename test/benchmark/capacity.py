"""Measures the cost of control by number of entries, targets and edits, with
real processes on loopback; prints tables and slopes."""

import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "functional"))
import support  # noqa: E402

SECONDS = 6
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def cpu_ticks(process):
    with open("/proc/%d/stat" % process.popen.pid, encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def rss_kb(process):
    with open("/proc/%d/statm" % process.popen.pid, encoding="ascii") as stat:
        return int(stat.read().split()[1]) * PAGE_KB


def leader_of(fleet):
    def look():
        for index, address in enumerate(fleet.operators):
            try:
                status = support.request(
                    address, "GET", "/gypsummill/v1/status").json()
            except OSError:
                continue
            if status["has_lease"]:
                return index + 1
        return 0
    return support.wait_until(look, "a leader") - 1


def wait_no_entries(fleet):
    """Waits until the links of the previous run have been removed as lost."""
    def look():
        return not support.request(
            fleet.operators[leader_of(fleet)], "GET",
            "/gypsummill/v1/status").json()["entries"]
    support.wait_until(look, "all entries are removed", 60)


def run_links(fleet, links, targets=0, during=None):
    """Runs bench_link_fleet; returns its measurements and those of control."""
    wait_no_entries(fleet)
    popen = subprocess.Popen(
        [os.path.join(support.BIN, "bench_link_fleet"),
         "--controls", ",".join(fleet.links), "--keys", fleet.keys,
         "--links", str(links), "--targets", str(targets),
         "--seconds", str(SECONDS)],
        stdout=subprocess.PIPE, text=True)
    ready = popen.stdout.readline().strip()
    assert ready == "ready", ready
    leader = leader_of(fleet)
    process = fleet.controls[leader]
    address = fleet.operators[leader]
    ticks = cpu_ticks(process)
    sent = support.metric(address, "gypsummill_link_sent_bytes_total")
    started = time.monotonic()
    if during:
        during()
    line = popen.stdout.readline().strip()
    seconds = time.monotonic() - started
    figures = dict(item.split("=") for item in line.split())
    assert popen.wait() == 0
    return {
        "links": links,
        "targets": targets,
        "entry_bytes": float(figures["sent_bytes_per_s"])
        + float(figures["received_bytes_per_s"]),
        "entry_core": float(figures["core_percent"]),
        "changes": int(figures["changes"]),
        "leader_core": 100.0 * (cpu_ticks(process) - ticks)
        / TICKS / seconds,
        "leader_sent": (support.metric(
            address, "gypsummill_link_sent_bytes_total") - sent) / seconds,
        "leader_rss": rss_kb(process),
    }


def row(name, figures):
    print("%-34s %6d %8d %10.1f %8.3f %9.2f %11.0f %9d" % (
        name, figures["links"], figures["targets"], figures["entry_bytes"],
        figures["entry_core"], figures["leader_core"],
        figures["leader_sent"], figures["leader_rss"]))


def slope(low, high, over, field):
    return (high[field] - low[field]) / float(high[over] - low[over])


def edit_times(fleet, text, count):
    """Applies a section count times, each with a different comment; returns
    the sorted times in seconds and the size of the section."""
    name, _, part = [one for one in support.sections_of(text)
                     if "\nservice:" in one[2]][0]
    path = os.path.join(fleet.folder, "edit.yaml")
    times = []
    for number in range(count):
        with open(path, "w", encoding="utf-8") as out:
            out.write("%s# change %d\n" % (part, number))
        started = time.monotonic()
        fleet.ctl("apply", path, "--section", name, "--base", "current",
                  "--token-file", os.path.join(fleet.folder, "tokens"),
                  "--wait", "in-force")
        times.append(time.monotonic() - started)
    return sorted(times), len(part)


def main():
    with open(os.path.join(support.EXAMPLES, "caroni.yaml"),
              encoding="utf-8") as document:
        text = document.read()
    with support.Fleet(entries=0) as fleet:
        leader_of(fleet)
        fleet.apply(text)
        print("%-34s %6s %8s %10s %8s %9s %11s %9s" % (
            "control, real processes", "links", "targets", "B/s each",
            "core % e", "leader %", "leader B/s", "RSS kB"))
        idle = [run_links(fleet, links) for links in (8, 32, 96)]
        for figures in idle:
            row("idle", figures)
        print("slopes: %.3f %% of a core and %.0f B/s of the leader an entry"
              % (slope(idle[0], idle[2], "links", "leader_core"),
                 slope(idle[0], idle[2], "links", "leader_sent")))
        filled = [run_links(fleet, 8, targets) for targets in (800, 3100)]
        for figures in filled:
            row("after announcing targets", figures)
        print("slope: %.2f kB of the leader a target" % slope(
            filled[0], filled[1], "targets", "leader_rss"))
        quiet = run_links(fleet, 32)
        edits = {}

        def make_edits():
            edits["times"], edits["bytes"] = edit_times(fleet, text, 10)
        busy = run_links(fleet, 32, during=make_edits)
        row("32 links, no change", quiet)
        row("32 links, 10 edits", busy)
        times = edits["times"]
        print("an edit of %d bytes: %.0f bytes to each entry; accepted and "
              "in force after %.0f ms (median), %.0f ms (longest)" % (
                  edits["bytes"],
                  (busy["entry_bytes"] - quiet["entry_bytes"]) * SECONDS
                  / len(times),
                  1000 * times[len(times) // 2], 1000 * times[-1]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
