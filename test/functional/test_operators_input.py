"""Invalid input to the operators' API over plain HTTP: the answer is a
problem+json or the connection is closed, and the instance keeps running."""

import json
import socket
import unittest

import support

API = "/gypsummill/v1"
SECTION = API + "/document/sections/fleet"
BODY_MAX_BYTES = 1 << 20
CLOSE_TIMEOUT_S = 60
EDIT = {"Authorization": "Bearer " + support.BOOTSTRAP_TOKEN,
        "Gypsummill-Edit-Id": "edit-1", "If-None-Match": "*"}


class OperatorsInput(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.group = support.Fleet(controls=1, entries=0)
        cls.addClassCleanup(cls.group.stop)
        cls.control = cls.group.controls[0]
        cls.address = cls.group.operators[0]
        support.wait_until(cls.leads, "the instance leads")

    @classmethod
    def leads(cls):
        try:
            return support.request(cls.address, "GET",
                                   API + "/members").status == 200
        except OSError:
            return False

    def tearDown(self):
        self.assertTrue(self.control.running())
        self.assertEqual(support.request(self.address, "GET", "/live").body,
                         b"live\n")

    def check_problem(self, answer, status, code):
        self.assertEqual(answer.status, status, answer.body)
        self.assertEqual(answer.headers["content-type"],
                         "application/problem+json")
        problem = answer.json()
        self.assertEqual(problem["status"], status)
        self.assertEqual(problem["code"], code)
        self.assertTrue(problem["detail"])

    def ask(self, method, path, headers=None, body=None):
        return support.request(self.address, method, path, headers, body)

    def connect(self):
        host, port = self.address.rsplit(":", 1)
        return socket.create_connection((host, int(port)), CLOSE_TIMEOUT_S)

    def read_all(self, connection):
        received = b""
        try:
            while chunk := connection.recv(4096):
                received += chunk
        except ConnectionResetError:
            pass
        return received

    def test_unknown_paths(self):
        for path in ("/", "/nothing", API, API + "/", API + "/nothing",
                     API + "/document/sections/", API + "/explain/a/b",
                     API + "/document/sections/a%2Fb", "/live/more"):
            with self.subTest(path=path):
                self.check_problem(self.ask("GET", path), 404, "not-found")

    def test_wrong_methods(self):
        for method, path in (("POST", API + "/document"),
                             ("DELETE", API + "/status"),
                             ("PATCH", SECTION), ("GET", API + "/members/1"),
                             ("POST", "/metrics"), ("DELETE", "/live"),
                             ("PUT", "/ready"), ("NONSENSE", API + "/burn")):
            with self.subTest(method=method, path=path):
                self.check_problem(
                    self.ask(method, path, body=b"text"), 404, "not-found")

    def test_edits_without_their_headers(self):
        for missing in ("Gypsummill-Edit-Id", "If-None-Match"):
            headers = {k: v for k, v in EDIT.items() if k != missing}
            for method in ("PUT", "DELETE"):
                with self.subTest(method=method, missing=missing):
                    self.check_problem(
                        self.ask(method, SECTION, headers, b"section: fleet"),
                        428, "precondition-required")

    def test_bodies_over_the_bound(self):
        body = b"#" * (BODY_MAX_BYTES + 1)
        for sent in (body, iter([body[:BODY_MAX_BYTES], b"#"])):
            with self.subTest(sent=type(sent)):
                self.check_problem(self.ask("PUT", SECTION, EDIT, sent),
                                   413, "body-unusable")
        whole = self.ask("PUT", SECTION, EDIT, b"#" * BODY_MAX_BYTES)
        self.assertNotEqual(whole.status, 413)
        self.assertEqual(whole.headers["content-type"],
                         "application/problem+json")

    def test_edit_without_a_body(self):
        for body in (b"", iter([])):  # the second one is sent chunked
            with self.subTest(body=body):
                self.check_problem(self.ask("PUT", SECTION, EDIT, body),
                                   422, "invalid")

    def test_invalid_section_texts(self):
        for body in (b" ", b"\0", b"\xff\xfe", b"---\n", b"section: fleet",
                     b"&a [*a]", b"[" * 10000, b"%YAML 9.9\n---\n"):
            with self.subTest(body=body[:20]):
                answer = self.ask("PUT", SECTION, EDIT, body)
                self.check_problem(answer, 422, "invalid")

    def test_huge_body_is_rejected_before_it_is_sent(self):
        head = "PUT %s HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n" % (
            SECTION, 1 << 40)
        head += "".join("%s: %s\r\n" % pair for pair in EDIT.items())
        with self.connect() as connection:
            connection.sendall(head.encode() + b"\r\n")
            received = self.read_all(connection)
        self.assertIn(b" 413 ", received.split(b"\r\n", 1)[0])
        problem = json.loads(received.split(b"\r\n\r\n", 1)[1])
        self.assertEqual(problem["code"], "body-unusable")

    def send_incomplete(self, request, ended):
        with self.connect() as connection:
            connection.sendall(request)
            if ended:
                connection.shutdown(socket.SHUT_WR)
            return self.read_all(connection)

    def test_incomplete_requests_are_closed(self):
        head = "PUT %s HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n" % SECTION
        head += "".join("%s: %s\r\n" % pair for pair in EDIT.items())
        requests = (b"GE", b"GET /live HTTP/1.1\r\nHost",
                    head.encode() + b"\r\nsection: fl")
        runners = [support.background(self.send_incomplete, request, ended)
                   for request in requests for ended in (True, False)]
        for runner in runners:
            self.assertNotIn(b" 200 ", runner.take())
        self.assertEqual(self.ask("GET", SECTION).status, 404)

    def test_one_connection_serves_many_requests(self):
        count = 20
        request = b"GET /live HTTP/1.1\r\nHost: c\r\n"
        with self.connect() as connection:
            connection.sendall((request + b"\r\n") * (count - 1) +
                               request + b"Connection: close\r\n\r\n")
            received = self.read_all(connection)
        self.assertEqual(received.count(b"HTTP/1.1 200 "), count)


if __name__ == "__main__":
    unittest.main(verbosity=2)
