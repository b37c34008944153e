"""Callers outside the limits in other ways than by requests ahead.  Guards
against buffers that grow with what such callers send, hold back or leave
unread."""

import json
import socket
import unittest

from limits_bed import CONNECTIONS, MEMORY_MB, Crowd, CrowdTest, repeat
from platform_bed import Testbed
from support import wait_until

DESCRIPTORS = 1024
BEYOND_DESCRIPTORS = 1500
LARGE_ANSWER = bytes(512 << 10)
ROUTES = 1200  # a document of about 190 KB
PACED_S = 8  # longer than header_timeout_ms
DATAGRAMS = 200000
CALLERS, READY, CONTROL, LOOKUP, LINK, DATAGRAM = range(6)
LISTENERS = (CALLERS, CONTROL, LOOKUP, READY)
ATTEMPT = "X-Attempt-Id: a\r\nX-Request-Deadline: 20000\r\n"
CHUNK = b"4000\r\n" + bytes(0x4000) + b"\r\n"
HELLO = b"\x00\x00\x00\x09\x12\x07\x12\x05crowd"
FETCH = b"\x00\x00\x00\x02\x7a\x00"  # frame 15, empty
LONG_FRAME = b"\x00\xff\xff\xff" + bytes(2 << 20)  # 16 MB, not finished


def head(method, path, fields=""):
    return ("%s %s HTTP/1.1\r\nHost: h.example\r\n%s%s\r\n" % (
        method, path, ATTEMPT, fields)).encode()


class Patterns(unittest.TestCase, CrowdTest):
    def start(self, role="flow", routes=1):
        self.bed = Testbed(memory_mb=MEMORY_MB, max_fds=DESCRIPTORS)
        self.addCleanup(self.bed.close)
        self.target = self.bed.target("i-1", "svc", slots=64)
        paths = [self.bed.route("/safe/", timeout_ms=20000)] + [
            self.bed.route("/n%d/" % i) for i in range(1, routes)]
        self.bed.set_config(self.bed.config(1, paths))
        self.bed.wait_ready()
        wait_until(lambda: self.bed.request("/safe/w")[0] == 200, "answer")
        self.one = self.bed.instances[0]
        self.watch_process(
            self.one.processes[role], "gypsummill-" + role)

    def ordinary(self, role):
        if role == "flow":
            return self.bed.request("/safe/after", wait_ms=20000)[0]
        return self.one.call("GET", "/config", timeout=20)[0]

    def check(self, role, crowds, seconds=25):
        """crowds: (port, data, arguments of the Crowd)."""
        self.check_crowd(
            [lambda c=c: Crowd((self.one.ip, self.bed.port + c[0]), c[1],
                               **c[2]) for c in crowds],
            lambda: self.ordinary(role), DESCRIPTORS, seconds)

    def test_heads_byte_by_byte_at_the_entry(self):
        self.start()
        self.check("flow", [(p, head("GET", "/safe/x"), {"pace_bytes": 1})
                            for p in (CALLERS, READY)], PACED_S)

    def test_heads_byte_by_byte_at_control(self):
        self.start("core")
        self.check("core", [(p, head("GET", "/config"), {"pace_bytes": 1})
                            for p in (CONTROL, LOOKUP)], PACED_S)

    def test_bodies_without_end_at_the_entry(self):
        self.start()
        chunked = head("POST", "/safe/x", "Transfer-Encoding: chunked\r\n")
        self.check("flow", [(p, chunked + repeat(CHUNK), {})
                            for p in (CALLERS, READY)])

    def test_bodies_without_end_at_control(self):
        self.start("core")
        chunked = head("PUT", "/config",
                       "If-Match: 1\r\nTransfer-Encoding: chunked\r\n")
        self.check("core", [(p, chunked + repeat(CHUNK), {})
                            for p in (CONTROL, LOOKUP)])

    def test_bodies_that_never_come_at_the_entry(self):
        self.start()
        self.check("flow", [
            (CALLERS, head("POST", "/safe/x", "Content-Length: 1000000\r\n"),
             {})])

    def test_bodies_that_never_come_at_control(self):
        self.start("core")
        self.check("core", [
            (CONTROL, head("PUT", "/config", "If-Match: 1\r\n"
                           "Content-Length: 8000000\r\n"), {})])

    def test_long_heads_at_the_entry(self):
        self.start()
        self.check("flow", [
            (p, head("GET", "/safe/x")[:-2] + repeat(b"X-Long: " + b"x" * 1000
                                                     + b"\r\n"), {})
            for p in (CALLERS, READY)])

    def test_long_heads_at_control(self):
        self.start("core")
        self.check("core", [
            (p, head("GET", "/config")[:-2] + repeat(b"X-Long: " + b"x" * 1000
                                                     + b"\r\n"), {})
            for p in (CONTROL, LOOKUP)])

    def test_silent_connections_at_the_entry(self):
        self.start()
        self.check("flow", [(p, b"", {}) for p in (CALLERS, READY)])

    def test_silent_connections_at_control(self):
        self.start("core")
        self.check("core", [(p, b"", {}) for p in (CONTROL, LOOKUP, LINK)])

    def test_connections_beyond_the_descriptors_at_the_entry(self):
        self.start()
        self.check("flow", [(CALLERS, b"", {"count": BEYOND_DESCRIPTORS})])

    def test_connections_beyond_the_descriptors_at_control(self):
        self.start("core")
        self.check("core", [(p, b"", {"count": BEYOND_DESCRIPTORS})
                            for p in (CONTROL, LOOKUP, LINK)])

    def test_readers_of_a_byte_a_second(self):
        self.start()
        self.target.handler = lambda r: self.target.answer(
            r, b"whole" if r["path"] == "/safe/after" else LARGE_ANSWER)
        self.check("flow", [
            (CALLERS, head("GET", "/safe/x") * 4,
             {"read_bytes": 1, "pace_s": 1.0})], 15)

    def test_large_document_read_and_not_taken_at_control(self):
        self.start("core", ROUTES)
        status, text = self.one.call("GET", "/config")
        self.assertEqual(status, 200)
        self.assertGreater(len(text), 150 << 10)
        self.check("core", [(CONTROL, repeat(head("GET", "/config")), {})])

    def test_flood_of_datagrams(self):
        self.start()

        def flood():
            crowd = Crowd((self.one.ip, self.bed.port + READY), b"", 1)
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.addCleanup(sender.close)
            sender.bind(("127.0.0.9", 0))
            for i in range(DATAGRAMS):
                # Signs of life, asks of an unknown service, and no datagram.
                sender.sendto((b"\x3a\x03\x0a\x01x", b"\x0a\x02\x08%c"
                               % (i % 128), bytes(1400))[i % 3],
                              (self.one.ip, self.bed.port + DATAGRAM))
            return crowd

        self.check_crowd([flood], lambda: self.ordinary("flow"), DESCRIPTORS)

    def test_frames_that_are_not_finished_on_the_own_link(self):
        self.start("core")
        self.check("core", [(LINK, LONG_FRAME, {})])

    def test_frames_that_are_not_read_on_the_own_link(self):
        self.start("core", ROUTES)
        self.check("core", [(LINK, HELLO + repeat(FETCH), {})])


if __name__ == "__main__":
    unittest.main()
