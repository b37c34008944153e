"""Callers outside the limits at gypsummill-entry and gypsummill-control.
Guards against the same growth as at the platform's programs."""

import tempfile
import unittest

import support
from limits_bed import MEMORY_MB, Crowd, CrowdTest, ask, repeat
from test_operators_tls import make_certificate

DESCRIPTORS = 1024
# The first bytes of a TLS 1.2 record that announces a ClientHello of 512 bytes.
HALF_HELLO = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(40)


def split(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


def get(path, fields=""):
    return ("GET %s HTTP/1.1\r\nHost: orders.test\r\n%s\r\n" % (
        path, fields)).encode()


class Product(unittest.TestCase, CrowdTest):
    def start(self, entries, arguments=()):
        self.fleet = support.Fleet(controls=1, entries=entries,
                                   control_arguments=arguments)
        self.addCleanup(self.fleet.stop)

    def check(self, process, program, address, data, ordinary):
        """The programs have no memory setting: the bound is what they hold
        before the crowd and MEMORY_MB more."""
        support.wait_until(lambda: ask(ordinary) == 200, "the port is open")
        self.watch_process(process.popen, program)
        self.bound_mb += self.watch.before_mb
        self.check_crowd([lambda: Crowd(split(address), data)], ordinary,
                         DESCRIPTORS)

    def live(self, address):
        return support.request(address, "GET", "/live").status

    def test_handshakes_that_stop_halfway_at_the_operators_port(self):
        folder = tempfile.TemporaryDirectory(prefix="gypsummill-tls-")
        self.addCleanup(folder.cleanup)
        both, certificate = make_certificate(folder.name)
        self.start(0, ["--operator-certificate", both])
        import ssl
        from test_operators_tls import get as get_securely
        context = ssl.create_default_context(cafile=certificate)
        self.check(self.fleet.controls[0], "gypsummill-control",
                   self.fleet.operators[0], HALF_HELLO,
                   lambda: get_securely(
                       self.fleet.operators[0], "/live", context).status)

    def test_requests_ahead_at_the_operators_port(self):
        self.start(0)
        address = self.fleet.operators[0]
        self.check(self.fleet.controls[0], "gypsummill-control", address,
                   repeat(get("/live")), lambda: self.live(address))

    def test_requests_ahead_at_the_entry(self):
        self.start(1)
        self.fleet.apply(support.document())
        entry = self.fleet.entries[0]
        self.check(entry, "gypsummill-entry", entry.address,
                   repeat(get("/none")),
                   lambda: self.fleet.lookup(entry, "ordering").status)

    def test_requests_ahead_at_the_entrys_operators_port(self):
        self.start(1)
        entry = self.fleet.entries[0]
        self.check(entry, "gypsummill-entry", entry.operators,
                   repeat(get("/live")), lambda: self.live(entry.operators))


if __name__ == "__main__":
    unittest.main()
