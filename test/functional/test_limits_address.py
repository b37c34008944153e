"""One address with more connections than a listener takes.  Guards against
connections that each have had an answer, so that none of them may be closed,
and that keep the callers of other addresses out."""

import socket
import unittest

import support
from limits_bed import MEMORY_MB, Crowd, CrowdTest, ask
from platform_bed import Testbed
from support import wait_until
from test_limits_patterns import (
    CALLERS, CONTROL, LOOKUP, READY, head)
from test_limits_product import get, split

DESCRIPTORS = 1024
OTHER_IP = "127.0.0.8"  # a caller that was there before the crowd
CROWD_S = 4
# More than the listeners take: 324 callers, 128 at the port of readiness, 512
# at those of control.  unit/test_connection_share covers the own link.
CROWDS = {CALLERS: 400, READY: 200, CONTROL: 600, LOOKUP: 600}


class Product(unittest.TestCase, CrowdTest):
    """The product's servers, with a thread for each connection: 16 for the
    operators of an entry, 64 at control."""

    def check(self, process, program, address, count):
        address = split(address)
        request = get("/live")
        wait_until(lambda: self.live(address) == 200, "the port is open")
        self.watch_process(process.popen, program)
        self.bound_mb += self.watch.before_mb
        other = socket.create_connection(address, 20, (OTHER_IP, 0))
        self.addCleanup(other.close)
        other.sendall(request)
        self.assertGreater(len(other.recv(65536)), 0)
        self.check_crowd(
            [lambda: Crowd(address, request, count, read_bytes=65536)],
            lambda: self.live(address), DESCRIPTORS, CROWD_S)

    def live(self, address):
        return ask(lambda: support.request(
            "%s:%d" % address, "GET", "/live").status)

    def test_operators_of_an_entry(self):
        fleet = support.Fleet(controls=1, entries=1)
        self.addCleanup(fleet.stop)
        self.check(fleet.entries[0], "gypsummill-entry",
                   fleet.entries[0].operators, 60)

    def test_operators_of_control(self):
        fleet = support.Fleet(controls=1, entries=0)
        self.addCleanup(fleet.stop)
        self.check(fleet.controls[0], "gypsummill-control",
                   fleet.operators[0], 200)


class Address(unittest.TestCase, CrowdTest):
    def start(self, role):
        self.bed = Testbed(memory_mb=MEMORY_MB, max_fds=DESCRIPTORS)
        self.addCleanup(self.bed.close)
        self.target = self.bed.target("i-1", "svc", slots=64)
        self.bed.set_config(self.bed.config(
            1, [self.bed.route("/safe/", timeout_ms=20000)]))
        self.bed.wait_ready()
        self.one = self.bed.instances[0]
        self.watch_process(self.one.processes[role], "gypsummill-" + role)

    def connect(self, port, data):
        """Returns a connection of OTHER_IP that has had one answer."""
        one = socket.create_connection(
            (self.one.ip, self.bed.port + port), 20, (OTHER_IP, 0))
        self.addCleanup(one.close)
        one.sendall(data)
        self.assertGreater(len(one.recv(65536)), 0)
        return one

    def check(self, role, port, data, ordinary):
        self.start(role)
        wait_until(lambda: ordinary() == 200, "an answer")
        self.connect(port, data)
        self.check_crowd(
            [lambda: Crowd((self.one.ip, self.bed.port + port), data,
                           CROWDS[port], read_bytes=65536)],
            ordinary, DESCRIPTORS, CROWD_S)

    def check_path(self, role, port, path):
        self.check(role, port, head("GET", path),
                   lambda: self.one.call("GET", path, port=port, timeout=20)[0])

    def test_callers(self):
        self.check("flow", CALLERS, head("GET", "/none"),
                   lambda: self.bed.request("/safe/x", wait_ms=20000)[0])

    def test_ready(self):
        self.check_path("flow", READY, "/ready")

    def test_control(self):
        self.check_path("core", CONTROL, "/config")

    def test_lookup(self):
        self.check_path("core", LOOKUP, "/resolve")


if __name__ == "__main__":
    unittest.main()
