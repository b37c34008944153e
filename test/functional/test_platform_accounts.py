"""Client accounts: which requests get 401, what of the key and of the caller's
own account header reaches a target, and when a withdrawn key ends."""

import json
import socket
import threading
import time
import unittest

from platform_bed import Testbed
from support import wait_until
from test_platform_stop import split_answers

KEY = "k3y-of-acme"
OTHER_KEY = "k3y-of-other"
COMMON = "Host: h.example\r\nX-Attempt-Id: r1\r\n"
WAITING = 12
SECRET = "k3y"  # in each key, and in no other text


def tenant(name, *keys, **changes):
    return dict({"name": name, "api_keys": list(keys)}, **changes)


class Accounts(unittest.TestCase):
    def start(self, tenants, slots=4, paths=None, wait=True):
        self.bed = Testbed()
        self.addCleanup(self.bed.close)
        self.one = self.bed.instances[0]
        self.target = self.bed.target("i-1", "svc", slots=slots)
        self.paths = paths or [
            self.bed.route("/a/"), self.bed.route("/p/", public=True)]
        self.version = 0
        if wait:
            self.put(tenants)
            self.bed.wait_ready()

    def put(self, tenants):
        """Puts the next version in force; None: without the field."""
        config = self.bed.config(self.version + 1, self.paths)
        if tenants is not None:
            config["tenants"] = tenants
        self.bed.set_config(config, self.version)
        self.version += 1
        wait_until(lambda: any(
            "event=document " in line and
            "version=%d " % self.version in line
            for line in self.log("flow").splitlines()),
            "the document is in force")

    def ask(self, path="/a/x", key=None, **fields):
        fields = {name.replace("_", "-"): value
                  for name, value in fields.items()}
        if key is not None:
            fields["Authorization"] = "Bearer " + key
        return self.bed.request(path, fields=fields)

    def raw(self, lines, path="/a/x"):
        """Sends a request with exactly these lines; returns its status."""
        answers, _ = split_answers(self.bed.send_raw(
            ("GET %s HTTP/1.1\r\n%sX-Request-Deadline: 3000\r\n"
             "Connection: close\r\n%s\r\n" % (
                 path, COMMON, "".join(line + "\r\n" for line in lines))
             ).encode()))
        return answers[0][0]

    def last(self):
        return self.target.requests[-1]["fields"]

    def log(self, role):
        with open(self.one.log(role), encoding="utf-8") as lines:
            return lines.read()

    def logs(self):
        return self.log("core") + self.log("flow")

    def test_a_route_that_is_not_public_needs_a_key(self):
        self.start([tenant("acme", KEY, OTHER_KEY + "2"),
                    tenant("other", OTHER_KEY)])
        refused = [
            ([], "missing"),
            (["Authorization:"], "missing"),
            (["Authorization: Bearer"], "missing"),
            (["Authorization: Bearer " + KEY + "x"], "unknown"),
            (["Authorization: Bearer " + KEY[:-1]], "unknown"),
            (["Authorization: Bearer " + KEY.upper()], "unknown"),
            (["Authorization: Bearer " + KEY + " " + KEY], "unknown"),
            (["Authorization: Basic " + KEY], "scheme"),
            (["Authorization: " + KEY], "scheme"),
            (["Authorization: Bearer " + KEY] * 2, "repeated"),
            (["Authorization: Bearer " + KEY, "authorization: Basic x"],
             "repeated")]
        for lines, reason in refused:
            self.assertEqual(self.raw(lines), 401, lines)
        self.assertEqual(self.target.requests, [])
        lines = [line for line in self.log("flow").splitlines()
                 if "event=key_refused" in line]
        self.assertEqual(len(lines), len(refused))
        for line, (_, reason) in zip(lines, refused):
            self.assertIn(" route=r/a/ reason=%s version=1" % reason, line)
        for scheme in ("Bearer", "bearer", "BEARER"):
            self.assertEqual(
                self.raw(["Authorization: %s %s" % (scheme, KEY)]), 200)
            self.assertEqual(self.last()["x-tenant"], "acme")
        self.assertEqual(self.ask(key=OTHER_KEY)[0], 200)
        self.assertEqual(self.last()["x-tenant"], "other")
        self.assertEqual(self.ask("/none", key="x")[0], 404)
        self.assertEqual(self.ask("/none")[0], 404)
        self.assertNotIn(SECRET, self.logs())

    def test_a_401_keeps_the_connection(self):
        """Otherwise callers would open one connection for each request."""
        self.start([tenant("acme", KEY)])
        with socket.create_connection((self.one.ip, self.bed.port), 10) as s:
            data = b""
            for n, field in enumerate(("Basic x", "Bearer " + KEY)):
                s.sendall(("POST /a/x HTTP/1.1\r\n" + COMMON +
                           "Authorization: %s\r\nContent-Length: 4\r\n\r\nbody"
                           % field).encode())
                while len(split_answers(data)[0]) <= n:
                    more = s.recv(65536)
                    self.assertTrue(more, data)
                    data += more
        self.assertIn(b"\r\nWWW-Authenticate: Bearer\r\n", data)
        self.assertEqual([status for status, _ in split_answers(data)[0]],
                         [401, 200])

    def test_the_target_gets_the_account_and_nothing_of_the_callers_own(self):
        self.start([tenant("acme", KEY)])
        key = "Authorization: Bearer " + KEY
        own = [["X-Tenant: evil"], ["x-tenant: evil"], ["X-TENANT:evil"],
               ["X_Tenant: evil"], ["X-Tenant: evil", "X-Tenant: evil2"],
               ["Connection: X-Tenant, Authorization", "X-Tenant: evil"],
               ["Connection: x-tenant"], ["X-Tenant:"]]
        for lines in own:
            for path, head, name in (
                    ("/a/x", [key], "acme"), ("/p/x", [key], "acme"),
                    ("/p/x", [], None), ("/p/x", ["Authorization: Bearer no"],
                                         None),
                    ("/p/x", [key, key], None)):
                for order in (lines + head, head + lines):
                    self.assertEqual(self.raw(order, path), 200, order)
                    fields = self.last()
                    self.assertEqual(fields.get("x-tenant"), name, order)
                    self.assertNotIn("authorization", fields)
                    self.assertNotIn("x_tenant", fields)
                    self.assertNotIn("evil", str(fields))
        # Trailers of a body in chunks.
        self.bed.send_raw((
            "POST /a/x HTTP/1.1\r\n" + COMMON +
            "%s\r\nConnection: close\r\nTrailer: X-Tenant\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            "4\r\nbody\r\n0\r\nX-Tenant: evil\r\nAuthorization: %s\r\n\r\n"
            % (key, KEY)).encode())
        self.assertEqual(self.target.requests[-1]["body"], b"body")
        self.assertEqual(self.last()["x-tenant"], "acme")
        self.assertNotIn(SECRET, str(self.target.requests))

    def test_without_accounts_both_headers_are_forwarded(self):
        self.start(None)
        for path in ("/a/x", "/p/x"):
            self.assertEqual(self.raw(
                ["Authorization: Basic abc", "X-Tenant: mine"], path), 200)
            self.assertEqual(self.last()["authorization"], "Basic abc")
            self.assertEqual(self.last()["x-tenant"], "mine")
        self.put([])
        self.assertEqual(self.ask(key=KEY)[0], 401)
        self.assertEqual(self.ask("/p/x", key=KEY)[0], 200)
        self.put(None)
        self.assertEqual(self.ask()[0], 200)

    def test_a_withdrawn_key_ends_on_a_kept_connection_and_after_a_restart(
            self):
        self.start([tenant("acme", KEY, OTHER_KEY)])
        with socket.create_connection((self.one.ip, self.bed.port), 10) as s:
            data = b""
            for n, tenants in enumerate((None, [tenant("acme", OTHER_KEY)])):
                if tenants is not None:
                    self.put(tenants)
                s.sendall(("GET /a/x HTTP/1.1\r\n" + COMMON +
                           "Authorization: Bearer %s\r\n\r\n" % KEY).encode())
                while len(split_answers(data)[0]) <= n:
                    more = s.recv(65536)
                    self.assertTrue(more, data)
                    data += more
        self.assertEqual([status for status, _ in split_answers(data)[0]],
                         [200, 401])
        for role in ("core", "flow"):
            self.one.kill(role)
        for role in ("core", "flow"):
            self.one.start(role)
        self.bed.wait_ready()
        wait_until(lambda: self.ask(key=OTHER_KEY)[0] == 200, "an answer")
        self.assertEqual(self.ask(key=KEY)[0], 401)

    def test_a_request_that_waits_ends_with_its_key(self):
        """For a target, and behind the body that it sends."""
        self.start([tenant("acme", KEY), tenant("other", OTHER_KEY)], slots=1,
                   paths=[self.slow_route()])
        released = threading.Event()
        self.target.handler = lambda r: (
            released.wait(20), self.target.answer(r))[1]
        head = ("POST /a/x HTTP/1.1\r\n" + COMMON +
                "Authorization: Bearer %s\r\nContent-Length: 4\r\n\r\n")
        keys = [KEY] * WAITING + [OTHER_KEY]
        callers = [self.connect() for _ in keys]
        late = self.connect()
        callers[0].sendall((head % KEY).encode() + b"body")
        wait_until(lambda: self.target.requests, "the target is busy")
        for caller, key in list(zip(callers, keys))[1:]:
            caller.sendall((head % key).encode() + b"body")
        late.sendall((head % KEY).encode() + b"bo")
        time.sleep(0.3)
        self.put([tenant("other", OTHER_KEY)])
        late.sendall(b"dy")
        released.set()
        answers = [self.status(caller) for caller in callers]
        # The target may have had more than one by then, but not all.
        sent = self.sent_of("acme")
        self.assertEqual(answers[0], 200)
        self.assertEqual(answers[-1], 200)
        self.assertEqual(answers[:-1].count(200), sent)
        self.assertEqual(answers.count(401), WAITING - sent)
        self.assertLess(sent, WAITING)
        self.assertEqual(self.sent_of("other"), 1)
        self.assertEqual(self.status(late), 401)
        self.assertIn("reason=withdrawn", self.logs())
        self.assertNotIn(SECRET, self.logs())

    def sent_of(self, account):
        return sum(request["fields"]["x-tenant"] == account
                   for request in list(self.target.requests))

    @staticmethod
    def slow_route():
        return {"name": "r", "path_prefix": "/a/", "kind": "safe",
                "timeout_ms": 20000, "target_latency_ms": 20000,
                "priority": 1, "service": "svc", "max_attempts": 2}

    def connect(self):
        s = socket.create_connection((self.one.ip, self.bed.port), 20)
        self.addCleanup(s.close)
        return s

    @staticmethod
    def status(s):
        data = b""
        while not split_answers(data)[0]:
            more = s.recv(65536)
            if not more:
                return 0
            data += more
        return split_answers(data)[0][0][0]

    def test_without_a_document_the_answer_is_503(self):
        self.start(None, wait=False)
        # Until then requests are held back for the startup.
        time.sleep(2.2)
        for lines in ([], ["Authorization: Bearer x"],
                      ["Authorization: Basic x", "Authorization: y"]):
            self.assertEqual(self.raw(lines), 503)

    def test_invalid_accounts_get_400_and_no_key_in_the_reason(self):
        self.start([tenant("acme", KEY)])
        for tenants, where in (
                ([tenant("a", KEY), tenant("b", KEY)], b"b"),
                ([tenant("a", KEY), tenant("a")], b"a"),
                ([tenant("", KEY)], b"tenants[0]"),
                ([tenant("a", KEY, KEY + " ")], b"a"),
                ([tenant("a", KEY, rate_per_s=-1)], b"rate_per_s"),
                ([tenant("a", KEY, burst=-1)], b"burst"),
                ({"a": KEY}, b"tenants")):
            config = self.bed.config(self.version + 1, self.paths)
            config["tenants"] = tenants
            status, body = self.one.call(
                "PUT", "/config", json.dumps(config),
                {"If-Match": str(self.version)})
            self.assertEqual(status, 400, tenants)
            self.assertIn(where, body)
            self.assertNotIn(SECRET.encode(), body)
        self.assertEqual(self.ask(key=KEY)[0], 200)
        self.assertNotIn(SECRET, self.logs())


if __name__ == "__main__":
    unittest.main()
