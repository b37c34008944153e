"""Measures the cost of one entry: memory and descriptors per open connection,
CPU time per call; prints tables and slopes over several sizes."""

import argparse
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "functional"))
import support  # noqa: E402

CONNECTIONS = (16, 400, 1000)
RATES = (500, 2000, 4000)
SECONDS = 5
ANSWER_BYTES = 700
REQUEST = ("GET /x?bytes=%d HTTP/1.1\r\nHost: orders.test\r\n"
           "Authorization: Bearer %s\r\n\r\n" % (
               ANSWER_BYTES, support.TENANT_TOKEN)).encode()


def processor_s(pid):
    with open("/proc/%d/stat" % pid, encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def status(pid, name):
    with open("/proc/%d/status" % pid, encoding="ascii") as text:
        for line in text:
            if line.startswith(name + ":"):
                return int(line.split()[1])
    raise KeyError(name)


def descriptors(pid):
    return len(os.listdir("/proc/%d/fd" % pid))


def open_connections(address, count):
    """Opens connections, makes one call on each and keeps them open."""
    host, port = address.rsplit(":", 1)
    opened = [socket.create_connection((host, int(port)))
              for _ in range(count)]
    for one in opened:
        one.sendall(REQUEST)
        got = b""
        while len(got) < ANSWER_BYTES:
            got += one.recv(65536)
    return opened


def measure_connections(entry):
    pid = entry.popen.pid
    print("%12s %10s %10s %12s" % (
        "connections", "RSS KB", "threads", "descriptors"))
    rows = []
    for count in CONNECTIONS:
        opened = open_connections(entry.address, count)
        rows.append((count, status(pid, "VmRSS"), status(pid, "Threads"),
                     descriptors(pid)))
        print("%12d %10d %10d %12d" % rows[-1])
        for one in opened:
            one.close()
        support.wait_until(lambda: descriptors(pid) < 100,
                           "the connections are closed")
    first, last = rows[0], rows[-1]
    print("slope: %.1f KB and %.2f descriptors a connection" % (
        (last[1] - first[1]) / (last[0] - first[0]),
        (last[3] - first[3]) / (last[0] - first[0])))


def measure_calls(fleet, entry):
    mix = support.write_mix(fleet.folder, [
        "check service=ordering host=orders.test path=/x "
        "token=store-%%-token tokens=10 bytes=%d" % ANSWER_BYTES])
    print("%12s %10s %10s %14s" % ("calls a s", "calls", "whole",
                                   "CPU us a call"))
    for rate in RATES:
        before = processor_s(entry.popen.pid)
        _, figures = support.load([
            "--entries", entry.address, "--mix", mix, "--phases",
            "%d:%d" % (rate, SECONDS), "--connections", "128"])
        spent = processor_s(entry.popen.pid) - before
        total = figures["total"]
        print("%12d %10d %10d %14.0f" % (
            rate, total["calls"], total["whole"],
            1e6 * spent / total["calls"]))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=support.BIN)
    support.BIN = os.path.abspath(parser.parse_args().bin)
    with support.Fleet(controls=1, entries=1, entry_arguments=[
            "--connections-max", "1200", "--keep-alive", "60000"]) as fleet:
        fleet.apply(support.document(tenants=10))
        for index in range(8):
            fleet.start_target("ordering", index, 32, [
                "--service-time", "500", "--queue-max", "64",
                "--seed", str(index)])
        fleet.wait_targets()
        entry = fleet.entries[0]
        print("idle: %d KB, %d threads" % (
            status(entry.popen.pid, "VmRSS"),
            status(entry.popen.pid, "Threads")))
        measure_connections(entry)
        measure_calls(fleet, entry)
    return 0


if __name__ == "__main__":
    sys.exit(main())
