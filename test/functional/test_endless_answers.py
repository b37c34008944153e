"""Targets whose bytes never end, in a head or a body, fast or a byte at a time:
the entry stays within its memory, ends the requests and serves others."""

import http.client
import socket
import threading
import time
import unittest

import support
from limits_bed import has_sanitizer
from notice_bed import HEADERS, NoticeBed
from platform_bed import Testbed
from support import wait_until

MEMORY_MB = 64
WRITES_S = 4  # at most; until the entry closes
TIMEOUT_MS = 1000  # of the route
BLOCK = 64 << 10
HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"

# What comes first, and what is repeated.
KINDS = {
    "no status line": ("", "x"),
    "a status line": ("HTTP/1.1 200 ", "x"),
    "empty lines": ("", "\r\n"),
    "a field": (HEAD + "X-Field: ", "x"),
    "a field name": (HEAD, "x"),
    "fields": (HEAD, "X-F: x\r\n"),
    "interim answers": ("", "HTTP/1.1 103 Early\r\n\r\n"),
    "fields of an interim answer": ("HTTP/1.1 103 Early\r\n", "X-F: x\r\n"),
    "chunks": (HEAD + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    "a chunk's size": (HEAD + "Transfer-Encoding: chunked\r\n\r\n", "0"),
    "a chunk's extension": (
        HEAD + "Transfer-Encoding: chunked\r\n\r\n1;", "x"),
    "trailers": (HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                 "X-F: x\r\n"),
    "a body without length": (HEAD + "Connection: close\r\n\r\n", "x"),
    "a body that is not proved": (
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\n", "x"),
    "bytes past the length": (HEAD + "Content-Length: 1\r\n\r\n", "x"),
    "answers": ("", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                "Content-Length: 1\r\n\r\nx"),
}
NAMES = list(KINDS)


def write_on(connection, first, repeated, slow):
    """Writes until the other side closes, or for WRITES_S."""
    data = (repeated if slow else
            repeated * (BLOCK // len(repeated))).encode()
    end = time.monotonic() + WRITES_S
    connection.settimeout(WRITES_S)
    try:
        connection.sendall(first.encode())
        while time.monotonic() < end:
            connection.sendall(data)
            if slow:
                time.sleep(0.005)
    except OSError:
        pass  # the entry has closed, or doesn't read any more


def peak_kb(pid):
    with open("/proc/%d/status" % pid, encoding="utf-8") as lines:
        for line in lines:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    raise AssertionError("/proc status has no VmHWM")


def first_bytes(kind, attempt):
    first = KINDS[kind][0]
    return first % attempt if "%s" in first else first


def bound_kb(process, bound_mb):
    """The bound of a process; AddressSanitizer takes memory of its own, for
    each block too, as in limits_bed."""
    if not has_sanitizer("/proc/%d/exe" % process.pid):
        return bound_mb << 10
    return peak_kb(process.pid) + (2 * bound_mb << 10)


def run_at_once(call, kinds=NAMES):
    """Makes two requests of each kind at once."""
    threads = [threading.Thread(target=call, args=(NAMES.index(kind), number))
               for kind in kinds for number in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class PlatformEndless(unittest.TestCase):
    def setUp(self):
        self.bed = Testbed(memory_mb=MEMORY_MB)
        self.addCleanup(self.bed.close)
        self.slow = False
        self.endless = self.bed.target("i-1", "bad", slots=2 * len(KINDS))
        self.endless.handler = self.write
        self.bed.target("i-2", "svc")
        self.bed.set_config(self.bed.config(1, [
            self.bed.route("/bad/", service="bad", timeout_ms=TIMEOUT_MS,
                           max_attempts=1),
            self.bed.route("/safe/")], services=("bad", "svc")))
        self.bed.wait_ready()
        wait_until(lambda: self.bed.request("/safe/x")[0] == 200, "service")
        self.bound_kb = bound_kb(
            self.bed.instances[0].processes["flow"], MEMORY_MB)

    def write(self, request):
        kind = NAMES[int(request["path"].rsplit("/", 1)[1])]
        write_on(request["connection"],
                 first_bytes(kind, request["fields"]["x-attempt-id"]),
                 KINDS[kind][1], self.slow)
        return ["close"]

    def call(self, kind, number):
        """The second request of a kind doesn't read its answer."""
        with socket.create_connection(
                (self.bed.instances[0].ip, self.bed.port)) as s:
            s.settimeout(WRITES_S + 5)
            s.sendall(("GET /bad/%d HTTP/1.1\r\nHost: h.example\r\n"
                       "X-Attempt-Id: b%d-%d\r\n"
                       "X-Request-Deadline: 5000\r\n\r\n" %
                       (kind, kind, number)).encode())
            end = time.monotonic() + WRITES_S
            try:
                while number == 0 and time.monotonic() < end:
                    if not s.recv(BLOCK):
                        break
            except OSError:
                pass  # cut, as an answer that never ends has to be
            time.sleep(TIMEOUT_MS / 1000 + 0.5 if number else 0)

    def check(self):
        process = self.bed.instances[0].processes["flow"]
        self.assertIsNone(process.poll())
        self.assertLess(peak_kb(process.pid), self.bound_kb)
        self.assertEqual(self.bed.request("/safe/x")[0], 200)

    def test_answers_without_end_stay_within_the_memory(self):
        run_at_once(self.call)
        self.check()
        # They reached the target, all of them.
        self.assertEqual({r["path"] for r in self.endless.requests},
                         {"/bad/%d" % i for i in range(len(KINDS))})

    def test_answers_a_byte_at_a_time_end_with_their_requests(self):
        self.slow = True
        run_at_once(self.call)
        self.check()
        path = "/bad/%d" % NAMES.index("a body without length")
        # It ends at the route's timeout.
        self.assertEqual(self.bed.request(path)[0], 504)

    def test_probes_answered_without_end(self):
        # More than any probe's answer, in one piece.
        self.endless.health = lambda: (
            first_bytes("a field", "p").encode() + b"x" * (16 << 20))
        probes = len(self.endless.arrivals)
        wait_until(lambda: len(self.endless.arrivals) > probes + 8, "probes")
        self.check()


class ProductEndless(NoticeBed):
    ENTRIES = 1
    BOUND_MB = 260  # the memory of the smallest instances

    def call(self, kind, _):
        try:
            support.request(self.entry.address, "GET", "/%d" % kind,
                            dict(HEADERS))
        except (OSError, http.client.HTTPException):
            pass  # cut, as an answer that never ends has to be

    def play(self, kinds):
        def answer(handler):
            kind = NAMES[int(handler.path.strip("/"))]
            write_on(handler.connection, first_bytes(kind, "x"),
                     KINDS[kind][1], False)
            handler.close_connection = True
        self.a.answer = self.b.answer = answer
        process = self.entry.popen
        bound = bound_kb(process, self.BOUND_MB)
        run_at_once(self.call, kinds)
        self.assertIsNone(process.poll())
        self.assertLess(peak_kb(process.pid), bound)
        self.a.answer, self.b.answer = None, None
        wait_until(lambda: self.send().status == 200,
                   "an ordinary call is answered")

    def test_answers_without_end_stay_within_the_memory(self):
        self.play(NAMES)

    def test_trailers_without_end_stay_within_the_memory(self):
        self.play(["trailers"])


if __name__ == "__main__":
    unittest.main()
