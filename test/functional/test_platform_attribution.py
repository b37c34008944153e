"""To which request a target's answer belongs, on the provider's platform: old
rejections sent once more, and rejections that name no attempt."""

import fcntl
import http.client
import signal
import sys
import termios
import time
import unittest

from platform_bed import Testbed
from support import freeze_process, wait_until

NOT_RUN = "X-Not-Executed: 1\r\n"
PROMISES = (408, 421, 429, 503)


def rejection(status="503 Busy", fields=NOT_RUN):
    return ("HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n" % (
        status, fields)).encode()


def unreceived(connection):
    """Returns the number of bytes sent that the peer's system lacks."""
    count = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(count, sys.byteorder)


class Attribution(unittest.TestCase):
    def setUp(self):
        self.bed = Testbed()
        self.addCleanup(self.bed.close)
        self.bed.target("i-1", "svc")
        self.bed.target("i-2", "svc")
        self.bed.set_config(self.bed.config(1, [
            self.bed.route("/safe/"), self.bed.route("/once/", "unsafe")]))
        self.bed.wait_ready()
        wait_until(self.both_serve, "requests at both targets")

    def both_serve(self):
        self.bed.request("/safe/warm")
        return all(t.requests for t in self.bed.targets)

    def requests(self):
        return [r for t in self.bed.targets for r in t.requests]

    def set_handler(self, steps):
        for target in self.bed.targets:
            target.handler = lambda r, t=target: steps(t, r)

    def check_repeated(self, old, rejected_number):
        """One request of each connection is rejected; the same bytes come
        once more when the connection's next request runs."""
        numbers = {}
        runs = {}

        def handler(target, request):
            connection = request["connection"]
            attempt = request["fields"]["x-attempt-id"]
            numbers[connection] = numbers.get(connection, -1) + 1
            if numbers[connection] == rejected_number:
                return old
            runs[attempt] = runs.get(attempt, 0) + 1
            late = numbers[connection] == rejected_number + 1
            return (old if late else b"") + target.answer(request)
        self.set_handler(handler)
        for i in range(12):
            if i % 3 == 0:
                self.bed.request("/safe/r", attempt="s%d" % i)
                continue
            attempt = "u%d" % i
            status, _, _ = self.bed.request(
                "/once/r", "POST", b"x", attempt=attempt)
            if status in PROMISES:
                self.assertEqual(runs.get(attempt, 0), 0, attempt)
            self.assertLessEqual(runs.get(attempt, 0), 1, attempt)

    def test_repeated_rejection_is_not_believed_for_the_next_request(self):
        self.check_repeated(rejection(), 0)

    def test_repeated_later_rejection_is_not_believed(self):
        self.check_repeated(rejection(), 1)

    def test_repeated_rejection_with_retry_after_is_not_believed(self):
        self.check_repeated(
            rejection(fields=NOT_RUN + "Retry-After: 0.1\r\n"), 0)

    def test_repeated_429_is_not_believed(self):
        self.check_repeated(rejection("429 Slow"), 0)

    def test_repeated_400_is_not_believed(self):
        self.check_repeated(rejection("400 Id"), 0)

    def test_repeated_421_is_not_believed(self):
        self.check_repeated(
            rejection("421 Else", NOT_RUN + "X-Instance-Id: i-3\r\n"), 0)
        self.check_repeated(
            rejection("421 Else", "X-Instance-Id: i-3\r\n"), 0)

    def test_repeated_failure_without_proof_is_not_believed(self):
        self.check_repeated(rejection("408 Late"), 0)
        self.check_repeated(rejection(fields=""), 0)

    def test_first_unnamed_rejection_of_a_kept_connection_is_retried(self):
        served = set()
        rejected = []

        def one_rejects(target, request):
            if request["connection"] in served and not rejected:
                rejected.append(request["fields"]["x-attempt-id"])
                return rejection()
            served.add(request["connection"])
            return target.answer(request)
        self.set_handler(one_rejects)

        def sends():
            status, _, _ = self.bed.request(
                "/once/k", "POST", b"x", attempt="k%d" % len(self.requests()))
            self.assertEqual(status, 200)
            return rejected
        wait_until(sends, "a rejection on a kept connection")

    def test_rejection_sent_before_the_request_is_not_believed(self):
        # While the entry's process stands, the next request and then, on all
        # kept connections, a rejection arrive.
        one = self.bed.instances[0]
        caller = http.client.HTTPConnection(one.ip, self.bed.port, timeout=20)
        self.addCleanup(caller.close)

        def ask(method, path, attempt):
            caller.request(method, path, b"x", {
                "Host": "h.example", "X-Attempt-Id": attempt,
                "X-Request-Deadline": "3000"})
        ask("GET", "/safe/b", "b0")
        self.assertEqual(caller.getresponse().read(), b"whole")
        kept = {r["connection"] for r in self.requests()}
        process = one.processes["flow"]
        freeze_process(process, "the entry")
        try:
            ask("POST", "/once/b", "b1")
            for connection in kept:
                connection.sendall(rejection())
            wait_until(lambda: not any(map(unreceived, kept)),
                       "the rejections have arrived")
        finally:
            process.send_signal(signal.SIGCONT)
        status = caller.getresponse().status
        time.sleep(0.2)  # for a request that may still be on its way
        runs = [r for r in self.requests()
                if r["fields"].get("x-attempt-id") == "b1"]
        self.assertEqual((status, len(runs)), (200, 1))

    def test_repeated_answer_does_not_reach_a_request_without_an_id(self):
        # Each answer comes once more when its connection's next request runs.
        old = {}

        def copies(target, request):
            answer = target.answer(request, request["path"].encode()).replace(
                b"X-Attempt-Id: ", b"X-Else: ")
            late = old.get(request["connection"], b"")
            old[request["connection"]] = answer
            return late + answer
        self.set_handler(copies)
        for kind in ("safe", "once"):
            for i in range(6):
                path = "/%s/%d" % (kind, i)
                got = self.bed.send_raw((
                    "GET %s HTTP/1.1\r\nHost: h.example\r\n"
                    "Connection: close\r\n\r\n" % path).encode())
                self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)
                self.assertEqual(got.split(b"\r\n\r\n", 1)[1], path.encode())

    def test_connections_are_kept_after_named_rejections(self):
        self.set_handler(lambda t, r: t.head(
            r, "503 Busy", NOT_RUN + "Content-Length: 0\r\n"))
        for i in range(20):
            status, _, _ = self.bed.request(
                "/once/n", "POST", b"x", attempt="n%d" % i)
            self.assertEqual(status, 503)
        self.check_kept()

    def test_unnamed_rejections_of_safe_requests_keep_connections(self):
        self.set_handler(lambda t, r: rejection())
        for i in range(20):
            self.assertEqual(
                self.bed.request("/safe/n", attempt="n%d" % i)[0], 503)
        self.check_kept()

    def check_kept(self):
        # The first probe of a target takes a connection over.
        used = {r["connection"] for r in self.requests()}
        self.assertLessEqual(len(used), 2 * len(self.bed.targets))


if __name__ == "__main__":
    unittest.main()
