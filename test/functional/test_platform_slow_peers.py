"""Callers and targets on the provider's platform that take or send data slowly:
what is on its way to them isn't cut."""

import socket
import time
import unittest

from platform_bed import Testbed, Target
from support import wait_until
from test_platform_stop import (
    read_late, read_to_end, request_bytes, split_answers)

DESCRIPTORS = 1024  # of the entry
RESERVED_DESCRIPTORS = 700  # of them, not for callers
PLACES = 20


def read_to_end_of_answer(caller):
    data = b""
    try:
        while not split_answers(data)[0]:
            more = caller.recv(65536)
            if not more:
                break
            data += more
    except OSError as error:
        return data, error
    return data, None


class SlowCallers(unittest.TestCase):
    def start(self, slots, paths, max_conns=260, **bed):
        self.bed = Testbed(**bed)
        self.addCleanup(self.bed.close)
        self.target = self.bed.target("i-1", "svc", slots=slots)
        config = self.config = self.bed.config(1, paths(self.bed))
        config["services"][0]["max_conns"] = max_conns
        self.bed.set_config(config)
        self.bed.wait_ready()
        self.one = self.bed.instances[0]

    def connect(self, receive_buffer=0):
        caller = socket.socket()
        caller.settimeout(25)
        # As on a network: loopback's segments are longer than the window.
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        self.addCleanup(caller.close)
        if receive_buffer:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        caller.connect((self.one.ip, self.bed.port))
        return caller

    def test_last_answer_survives_a_caller_that_is_late_and_sends_first(self):
        self.start(8, lambda b: [b.route("/a/", timeout_ms=20000)])
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        caller = self.connect()
        caller.sendall(request_bytes("/a/last", "p", 20000).replace(
            b"Host", b"Connection: close\r\nHost"))
        data, error = read_late(caller, 1, late_s=4)
        self.assertIsNone(error)
        self.assertEqual([status for status, _ in split_answers(data)[0]],
                         [200])

    def test_callers_that_never_close_take_no_place_from_others(self):
        self.start(8, lambda b: [b.route("/a/", timeout_ms=20000)])
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        for at in range(DESCRIPTORS):
            caller = self.connect()
            caller.sendall(request_bytes("/a/%d" % at, "p%d" % at, 20000)
                           .replace(b"Host", b"Connection: close\r\nHost"))
            data, error = read_to_end(caller)
            self.assertIsNone(error, at)
            self.assertEqual(
                [status for status, _ in split_answers(data)[0]], [200], at)

    def test_new_caller_gets_a_place_that_is_free_soon(self):
        """All places are taken by callers whose hosts delay the
        acknowledgement of the last answer, by 40 ms on Linux.  A new caller
        must not be refused meanwhile."""
        self.start(8, lambda b: [b.route("/a/", timeout_ms=20000)],
                   max_fds=RESERVED_DESCRIPTORS + PLACES)
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        for at in range(4 * PLACES):
            caller = self.connect()
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
            caller.sendall(request_bytes("/a/%d" % at, "p%d" % at, 20000)
                           .replace(b"Host", b"Connection: close\r\nHost"))
            data, error = read_to_end(caller)
            self.assertIsNone(error, at)
            self.assertEqual(
                [status for status, _ in split_answers(data)[0]], [200], at)

    def test_new_caller_does_not_wait_for_a_slow_reader(self):
        """No place will be free soon: the refusal must not wait until the slow
        reader has its answer."""
        self.start(8, lambda b: [b.route("/a/", timeout_ms=20000)],
                   max_fds=RESERVED_DESCRIPTORS + PLACES)
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        # The entry takes it whole, the caller's host does not: its buffer holds
        # less, whatever the system's limits are.
        body = bytes(range(256)) * 800
        self.target.handler = lambda r: self.target.answer(r, body)
        reader = self.connect(receive_buffer=4096)
        reader.sendall(request_bytes("/a/large", "large", 20000).replace(
            b"Host", b"Connection: close\r\nHost"))
        wait_until(lambda: self.is_logged("attempt=large "), "answer is whole")
        self.target.handler = self.target.answer
        for at in range(PLACES - 1):
            caller = self.connect()
            caller.sendall(request_bytes("/a/%d" % at, "p%d" % at, 20000))
            self.assertIsNone(read_to_end_of_answer(caller)[1])
        caller = self.connect()
        began = time.monotonic()
        caller.sendall(request_bytes("/a/x", "x", 20000))
        self.assertEqual(read_to_end(caller)[0], b"")
        self.assertLess(time.monotonic() - began, 2)
        data, error = read_to_end(reader)
        self.assertIsNone(error)
        self.assertEqual(split_answers(data), ([(200, body)], b""))

    def test_answer_survives_a_caller_that_pauses_for_four_seconds(self):
        self.start(8, lambda b: [b.route("/a/", timeout_ms=20000)])
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        body = bytes(range(256)) * 3600
        self.target.handler = lambda r: self.target.answer(r, body)
        caller = self.connect(receive_buffer=32768)
        caller.sendall(request_bytes("/a/large", "p", 20000))
        time.sleep(4.5)
        data, error = read_to_end_of_answer(caller)
        answers, _ = split_answers(data)
        self.assertIsNone(error, len(data))
        self.assertEqual([len(b) for _, b in answers], [len(body)])

    def test_stop_answers_a_caller_that_pauses_for_four_seconds(self):
        self.start(8, lambda b: [b.route("/a/", timeout_ms=20000)], grace_s=12)
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        body = bytes(range(256)) * 3600
        self.target.handler = lambda r: self.target.answer(r, body)
        caller = self.connect(receive_buffer=32768)
        caller.sendall(request_bytes("/a/large", "p", 20000))
        time.sleep(0.3)
        self.one.processes["flow"].terminate()
        time.sleep(5)
        data, error = read_to_end(caller)
        answers, _ = split_answers(data)
        self.assertIsNone(error, len(data))
        self.assertEqual([len(b) for _, b in answers], [len(body)])

    def test_timeout_counts_from_the_arrival_of_the_head(self):
        self.start(8, lambda b: [b.route("/a/", timeout_ms=3000)])
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        self.target.handler = lambda r: [30, "close"]
        caller = self.connect()
        text = request_bytes("/a/x", "p", 3000)
        began = time.monotonic()
        caller.sendall(text[:40])
        time.sleep(1.5)
        caller.sendall(text[40:])
        data = caller.recv(4096)
        took = time.monotonic() - began
        self.assertLess(took, 3.3)

    def is_logged(self, text):
        with open(self.one.log("flow"), encoding="utf-8") as log:
            return text in log.read()

    def test_answer_survives_a_caller_that_ends_its_input(self):
        self.check_ended_input(b"Connection: close\r\n")

    def test_answer_on_a_kept_connection_survives_the_end_of_input(self):
        self.check_ended_input(b"")

    def check_ended_input(self, fields):
        self.start(8, lambda b: [b.route("/a/", timeout_ms=20000)])
        wait_until(lambda: self.bed.request("/a/warm")[0] == 200, "answer")
        body = bytes(range(256)) * 16384  # more than the sockets take
        self.target.handler = lambda r: self.target.answer(r, body)
        caller = self.connect(receive_buffer=32768)
        caller.sendall(request_bytes("/a/large", "p", 20000).replace(
            b"\r\n\r\n", b"\r\n" + fields + b"\r\n"))
        data = b""
        while not self.is_logged("attempt=p "):  # the entry has it whole
            data += caller.recv(65536)
        caller.shutdown(socket.SHUT_WR)
        rest, error = read_to_end(caller)
        data += rest
        answers, _ = split_answers(data)
        self.assertIsNone(error, len(data))
        self.assertEqual([len(b) for _, b in answers], [len(body)])


class LateReader(Target):
    """Reads a long body only pause_s after its head, as a full target does."""
    pause_s = 2.5
    cut = 0

    def __init__(self, *args, **kinds):
        super().__init__(*args, **kinds)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)

    def serve(self, connection):
        pending = b""
        try:
            while True:
                while b"\r\n\r\n" not in pending:
                    more = connection.recv(2048)
                    if not more:
                        return
                    pending += more
                head, pending = pending.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                fields = dict((a.lower(), b.strip()) for a, b in
                              (l.split(":", 1) for l in lines[1:]))
                length = int(fields.get("content-length", 0))
                if length:
                    time.sleep(self.pause_s)
                while len(pending) < length:
                    more = connection.recv(65536)
                    if not more:
                        self.cut += 1
                        return
                    pending += more
                pending = pending[length:]
                method, path, _ = lines[0].split(" ")
                if path == "/health":
                    connection.sendall(self.health())
                    continue
                request = {"method": method, "path": path, "fields": fields}
                with self.lock:
                    self.requests.append(request)
                connection.sendall(self.answer(request))
        except OSError:
            self.cut += 1
        finally:
            connection.close()


class SlowTargets(unittest.TestCase):
    def test_target_that_reads_a_long_body_late_is_not_cut(self):
        bed = Testbed()
        self.addCleanup(bed.close)
        target = LateReader("i-1", "svc", "127.0.7.200", slots=4)
        bed.targets.append(target)
        wait_until(lambda: bed.send_report(target) == 200, "a heartbeat")
        bed.set_config(bed.config(1, [
            bed.route("/u/", kind="unsafe", timeout_ms=10000,
                      target_latency_ms=8000)]))
        bed.wait_ready()
        wait_until(lambda: bed.request("/u/warm")[0] == 200, "an answer")
        status, body, _ = bed.request(
            "/u/long", "POST", b"x" * 900000, wait_ms=10000)
        self.assertEqual(status, 200, (body, target.cut))


if __name__ == "__main__":
    unittest.main()
