"""The load generator and the mock target, each against an HTTP server in the
test."""

import http.server
import json
import os
import tempfile
import threading
import unittest

from support import BIN, Process, load, request, wait_until, write_mix


class Server(http.server.ThreadingHTTPServer):
    """Answers every request with a fixed status and body; stores the request
    bodies."""

    daemon_threads = True

    def __init__(self, status, body):
        super().__init__(("127.0.0.1", 0), Handler)
        self.status = status
        self.body = body.encode()
        self.received = []
        self.address = "127.0.0.1:%d" % self.server_port
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def __exit__(self, kind, value, trace):
        self.shutdown()
        self.server_close()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self):
        length = int(self.headers.get("Content-Length", 0))
        self.server.received.append(self.rfile.read(length))
        self.send_response(self.server.status)
        self.send_header("Content-Type", "application/problem+json")
        self.send_header("Content-Length", str(len(self.server.body)))
        self.end_headers()
        self.wfile.write(self.server.body)

    do_GET = do_PUT = do_DELETE = answer

    def log_message(self, *arguments):
        pass


class Load(unittest.TestCase):
    def outcomes(self, status, body, flag):
        with Server(status, body) as server, \
                tempfile.TemporaryDirectory() as folder:
            mix = write_mix(folder, ["route service=ordering"])
            code, figures = load(
                ["--mix", mix, "--phases", "50:1", "--connections", "2",
                 flag, server.address])
        self.assertEqual(code, 0)
        return figures["total"]

    def test_malformed_problem_body_counts_as_error(self):
        for body in ('{"outcome":null}', '{"code":null}', '{"outcome":3}',
                     '{"outcome":null,"code":{}}', "[]", "no JSON"):
            with self.subTest(body=body):
                total = self.outcomes(503, body, "--direct")
                self.assertEqual(total["error"], total["calls"])
                self.assertEqual(total["refused"], {})

    def test_malformed_lookup_answer_is_rejected(self):
        for body in ('{"entries":3,"keep_ms":1000}',
                     '{"entries":null,"keep_ms":1000}',
                     '{"entries":[{"address":null}],"keep_ms":1000}'):
            with self.subTest(body=body):
                total = self.outcomes(200, body, "--entries")
                self.assertEqual(total["unreachable"], total["calls"])


class Target(unittest.TestCase):
    def test_any_nonzero_draining_value_drains(self):
        with Server(200, "{}") as entry, \
                tempfile.TemporaryDirectory() as folder:
            target = Process("target", folder, [
                os.path.join(BIN, "gypsummill-target"), "--listen",
                "127.0.0.1:0", "--entries", entry.address, "--renewal", "50"])
            try:
                address = target.find_line(r"listening on (\S+)").group(1)
                for number, state in ((1, "draining"), (2, "draining"),
                                      (0, "ready")):
                    request(address, "GET", "/gypsummill-target/v1/faults"
                            "?draining=%d" % number)
                    # An announcement may already have been in progress.
                    seen = len(entry.received) + 2
                    wait_until(lambda: len(entry.received) > seen,
                               "announcements")
                    self.assertEqual(
                        json.loads(entry.received[seen])["state"], state)
            finally:
                target.kill()


if __name__ == "__main__":
    unittest.main()
