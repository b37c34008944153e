"""Request handling on the provider's platform: complete answers, correct error
statuses, and at most one execution of unsafe requests."""

import threading
import time
import unittest

from platform_bed import Testbed
from support import wait_until


class RequestPath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.bed = Testbed()
        cls.one = cls.bed.target("i-1", "svc")
        cls.two = cls.bed.target("i-2", "svc")
        cls.bed.set_config(cls.bed.config(1, [
            cls.bed.route("/safe/"), cls.bed.route("/once/", "unsafe"),
            cls.bed.route("/quick/", timeout_ms=400),
            cls.bed.route("/none/", service="empty")], ("svc", "empty")))
        cls.bed.wait_ready()
        wait_until(lambda: cls.bed.request("/safe/x")[0] == 200, "an answer")

    @classmethod
    def tearDownClass(cls):
        cls.bed.close()

    def setUp(self):
        for target in self.bed.targets:
            target.handler = target.answer
            target.requests.clear()
        # Wait until targets that failed in earlier tests are used again.
        wait_until(lambda: self.bed.request("/safe/warm")[0] == 200,
                   "an answer")
        for target in self.bed.targets:
            target.requests.clear()

    def runs(self):
        return [r for t in self.bed.targets for r in t.requests]

    def set_handler(self, steps):
        for target in self.bed.targets:
            target.handler = lambda r, t=target: steps(t, r)

    def test_answer_is_forwarded_unchanged(self):
        status, body, fields = self.bed.request("/safe/a?b=c", attempt="q7")
        self.assertEqual((status, body), (200, b"whole"))
        self.assertTrue(fields["x-response-signature"].startswith("s.i-"))
        run = self.runs()[0]
        self.assertEqual(run["path"], "/safe/a?b=c")
        self.assertEqual(run["fields"]["x-attempt-id"], "q7")
        self.assertIn(run["fields"]["x-expect-instance"], ("i-1", "i-2"))
        self.assertLessEqual(int(run["fields"]["x-request-deadline"]), 3000)

    def test_request_body_with_length_and_chunked(self):
        self.bed.request("/once/a", "POST", b"0123456789" * 3000)
        self.assertEqual(self.runs()[-1]["body"], b"0123456789" * 3000)
        head = ("POST /once/b HTTP/1.1\r\nHost: h.example\r\n"
                "X-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n"
                "Connection: close\r\n\r\n").encode()
        got = self.bed.send_raw(
            head + b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
        self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)
        self.assertEqual(self.runs()[-1]["body"], b"hello world")

    def test_unknown_route_is_404_and_malformed_input_is_400(self):
        self.assertEqual(self.bed.request("/nowhere/")[0], 404)
        base = "GET /safe/a HTTP/1.1\r\nHost: h.example\r\n"
        for bad in ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
                    "Transfer-Encoding: gzip, chunked\r\n\r\n",
                    "A: b\r\n folded\r\n\r\n", "A: b\n\r\n",
                    "Host: other.example\r\n\r\n"):
            got = self.bed.send_raw((base + bad).encode())
            self.assertTrue(got.startswith(b"HTTP/1.1 400"), (bad, got))
        long = "A: " + "x" * 20000 + "\r\n\r\n"
        self.assertTrue(
            self.bed.send_raw((base + long).encode())
            .startswith(b"HTTP/1.1 431"))
        self.assertEqual(self.runs(), [])

    def test_reset_after_unframed_answer_is_an_error(self):
        # Guards against a reset directly after the last bytes that is taken for
        # the end of the answer.
        def cut(target, request):
            return [target.head(request) + b"half of it", "reset"]
        self.set_handler(cut)
        for _ in range(10):
            status, _, _ = self.bed.request("/once/a", "POST", b"x")
            self.assertEqual(status, 502)

    def test_close_ends_unframed_answer(self):
        def unframed(target, request):
            return [target.head(request) + b"all of it", "close"]
        self.set_handler(unframed)
        status, body, _ = self.bed.request("/once/a", "POST", b"x")
        self.assertEqual((status, body), (200, b"all of it"))

    def test_unsafe_request_is_not_retried_after_reset(self):
        self.set_handler(lambda t, r: ["reset"])
        status, _, _ = self.bed.request("/once/a", "POST", b"x")
        self.assertEqual(status, 502)
        self.assertEqual(len(self.runs()), 1)

    def test_safe_request_is_retried_on_another_target(self):
        failed = []

        def first_fails(target, request):
            if not failed:
                failed.append(target)
                return ["reset"]
            return target.answer(request)
        self.set_handler(first_fails)
        self.assertEqual(self.bed.request("/safe/a")[0], 200)
        self.assertEqual(len(self.runs()), 2)

    def test_unsafe_request_not_executed_is_retried(self):
        shed = []

        def first_sheds(target, request):
            if not shed:
                shed.append(target)
                return (b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
                        b"Content-Length: 0\r\n\r\n")
            return target.answer(request)
        self.set_handler(first_sheds)
        self.assertEqual(self.bed.request("/once/a", "POST", b"x")[0], 200)

    def test_503_without_not_executed_header_is_not_retried(self):
        def busy(target, request):
            return target.head(request, "503 Busy",
                               "Content-Length: 0\r\n")
        self.set_handler(busy)
        self.assertEqual(self.bed.request("/once/a", "POST", b"x")[0], 502)
        self.assertEqual(len(self.runs()), 1)

    def test_answer_without_signature_is_rejected(self):
        def bare(target, request):
            return (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                    b"Content-Length: 2\r\n\r\nok")
        self.set_handler(bare)
        self.assertEqual(self.bed.request("/once/a", "POST", b"x")[0], 502)

    def test_answer_with_other_attempt_id_is_skipped(self):
        def extra(target, request):
            other = dict(request, fields=dict(
                request["fields"], **{"x-attempt-id": "other"}))
            return target.answer(other, b"wrong") + target.answer(
                request, b"right")
        self.set_handler(extra)
        status, body, _ = self.bed.request("/safe/a")
        self.assertEqual((status, body), (200, b"right"))

    def test_answers_match_long_attempt_ids(self):
        for i in range(3):
            status, body, _ = self.bed.request(
                "/safe/a", attempt="l" * 64 + str(i))
            self.assertEqual((status, body), (200, b"whole"))

    def test_late_duplicate_on_reused_connection_is_rejected(self):
        # The copy of an answer arrives while the connection serves the next
        # request: first with the id of the earlier attempt, then without one.
        for named in (True, False):
            held = {}

            def copies(target, request, named=named, held=held):
                late = held.pop((target.name, request["connection"]), b"")
                copy = target.answer(
                    request, b"copy of " + request["path"].encode())
                if not named:
                    copy = copy.replace(b"X-Attempt-Id: ", b"X-Else: ")
                held[target.name, request["connection"]] = copy
                return late + target.answer(request)
            self.set_handler(copies)
            for i in range(8):
                status, body, _ = self.bed.request(
                    "/once/c", "POST", b"x", attempt="c%d%s" % (i, named))
                self.assertNotIn(b"copy", body)
                self.assertIn(status, (200,) if named else (200, 502))

    def test_endless_answers_are_bounded_in_time_and_memory(self):
        # Endless status lines, header lines, interim answers and bodies of
        # answers that are discarded: each must end soon in an error, with
        # bounded memory.
        def forever(start, piece):
            def steps(target, request):
                yield start(target, request)
                while True:
                    yield piece
            return steps

        def failure(target, request, fields=""):
            return target.head(request, "500 Broken", fields)

        def named(name):
            return (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + name.encode() +
                    b"\r\n\r\n")
        block = b"x" * 60000
        answers = {
            "status line": forever(lambda t, r: b"HTTP/1.1 2", block),
            "header line": forever(
                lambda t, r: b"HTTP/1.1 200 OK\r\nA: ", block),
            "header lines": forever(
                lambda t, r: b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 5000),
            "interim answers": forever(
                lambda t, r: b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 500),
            "a failure's body": forever(failure, block),
            "an unproved body": forever(
                lambda t, r: named(r["fields"]["x-attempt-id"]), block),
            "another's body": forever(lambda t, r: named("other"), block),
            "chunk extension": forever(
                lambda t, r: failure(
                    t, r, "Transfer-Encoding: chunked\r\n") + b"5;", block),
        }
        for name, steps in answers.items():
            self.set_handler(steps)
            began = time.monotonic()
            status, body, _ = self.bed.request("/once/a", "POST", b"x")
            took = time.monotonic() - began
            self.assertIn(status, (500, 502), name)
            self.assertLess(len(body), 2 << 20, name)
            self.assertLess(took, 1.5, name)  # the caller waits for 3 s
        self.assertLess(self.bed.memory_kb(), 60 << 10)

    def test_extra_bytes_after_answer_are_discarded(self):
        def stray(target, request):
            return target.answer(request) + target.answer(request, b"again")
        self.set_handler(stray)
        for i in range(6):
            status, body, _ = self.bed.request("/safe/a", attempt="n%d" % i)
            self.assertEqual((status, body), (200, b"whole"))

    def test_route_timeout_after_send_is_504(self):
        self.set_handler(lambda t, r: [1.5, t.answer(r)])
        status, _, _ = self.bed.request("/quick/a")
        self.assertEqual(status, 504)

    def test_service_without_targets_is_503_immediately(self):
        began = time.monotonic()
        status, _, fields = self.bed.request("/none/a")
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["retry-after"]), 0)
        self.assertLess(time.monotonic() - began, 2)

    def test_pipelined_answers_are_in_order(self):
        def slow_first(target, request):
            name = request["path"].rsplit("/", 1)[1].encode()
            return [0.3 if name == b"0" else 0, target.answer(request, name)]
        self.set_handler(slow_first)
        data = b"".join(
            b"GET /safe/%d HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Attempt-Id: p%d\r\n%s\r\n" % (
                i, i, b"Connection: close\r\n" if i == 3 else b"")
            for i in range(4))
        got = self.bed.send_raw(data)
        bodies = [part.split(b"\r\n\r\n", 1)[1]
                  for part in got.split(b"HTTP/1.1 200 OK")[1:]]
        self.assertEqual(bodies, [b"0", b"1", b"2", b"3"])

    def test_request_is_cancelled_when_caller_disconnects(self):
        import socket
        self.set_handler(lambda t, r: [5, t.answer(r)])
        one = self.bed.instances[0]
        with socket.create_connection((one.ip, self.bed.port)) as s:
            s.sendall(b"GET /safe/a HTTP/1.1\r\nHost: h.example\r\n"
                      b"X-Attempt-Id: g\r\n\r\n")
            wait_until(lambda: len(self.runs()) == 1, "the request's run")
        with open(one.log("flow"), encoding="utf-8") as log:
            wait_until(lambda: "outcome=caller_left" in log.read(),
                       "the entry logs that the caller left")

    def test_target_that_resets_probes_receives_requests(self):
        # A target at its connection limit refuses further connections, and a
        # probe needs one.
        self.one.resets_probes = True
        self.addCleanup(setattr, self.one, "resets_probes", False)
        time.sleep(0.5)  # several probes
        # More concurrent requests than either target has slots.
        self.set_handler(lambda t, r: [0.3, t.answer(r)])
        answers = []
        callers = [threading.Thread(target=lambda: answers.append(
            self.bed.request("/safe/p")[0])) for _ in range(8)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(answers, [200] * 8)
        self.assertGreater(len(self.one.requests), 0)
        self.assertGreater(len(self.two.requests), 0)

    def test_large_answer_is_complete(self):
        body = bytes(range(256)) * 12000
        self.set_handler(lambda t, r: t.answer(r, body))
        status, got, _ = self.bed.request("/safe/a")
        self.assertEqual(status, 200)
        self.assertEqual(got, body)

    def test_truncated_large_answer_is_detected(self):
        body = bytes(range(256)) * 12000

        def cut(target, request):
            return [target.answer(request, body)[:-1000], 0.2, "reset"]
        self.set_handler(cut)
        status, got, _ = self.bed.request("/once/a", "POST", b"x")
        self.assertNotEqual((status, len(got)), (200, len(body)))
        self.assertIn(status, (0, 502))


if __name__ == "__main__":
    unittest.main()
