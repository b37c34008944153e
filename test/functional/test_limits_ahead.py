"""Callers that send requests ahead and read no answer.  Guards against input
being read, and answers being produced, while nobody reads them."""

import unittest

from limits_bed import MEMORY_MB, Crowd, CrowdTest, repeat
from platform_bed import Testbed
from support import wait_until

DESCRIPTORS = 1024
ATTEMPT = "X-Attempt-Id: a\r\nX-Request-Deadline: 20000\r\n"


def get(path, fields=""):
    return ("GET %s HTTP/1.1\r\nHost: h.example\r\n%s\r\n" % (
        path, fields)).encode()


class RequestsAhead(unittest.TestCase, CrowdTest):
    def start(self, role):
        self.bed = Testbed(memory_mb=MEMORY_MB, max_fds=DESCRIPTORS)
        self.addCleanup(self.bed.close)
        self.target = self.bed.target("i-1", "svc", slots=64)
        self.bed.set_config(self.bed.config(
            1, [self.bed.route("/safe/", timeout_ms=20000)]))
        self.bed.wait_ready()
        wait_until(lambda: self.bed.request("/safe/w")[0] == 200, "answer")
        self.one = self.bed.instances[0]
        self.watch_process(
            self.one.processes[role], "gypsummill-" + role)

    def send_ahead(self, port, request):
        return lambda: Crowd((self.one.ip, self.bed.port + port),
                             repeat(request))

    def ask_target(self):
        return self.bed.request("/safe/after", wait_ms=20000)[0]

    def check_ahead(self, role, port, request, ordinary):
        self.start(role)
        self.check_crowd([self.send_ahead(port, request)], ordinary,
                         DESCRIPTORS)

    def test_ready_at_its_own_port(self):
        self.check_ahead(
            "flow", 1, get("/ready"),
            lambda: self.one.call("GET", "/ready", port=1, timeout=20)[0])

    def test_path_without_a_route(self):
        self.check_ahead("flow", 0, get("/none", ATTEMPT), self.ask_target)

    def test_ready_at_the_callers_port(self):
        self.check_ahead("flow", 0, get("/ready"), self.ask_target)

    def test_path_with_a_route(self):
        self.check_ahead("flow", 0, get("/safe/x", ATTEMPT), self.ask_target)

    def test_control_port(self):
        self.check_ahead(
            "core", 2, get("/config"),
            lambda: self.one.call("GET", "/config", timeout=20)[0])

    def test_lookup_port(self):
        self.check_ahead(
            "core", 3, get("/resolve"),
            lambda: self.one.call("GET", "/resolve", port=3, timeout=20)[0])


if __name__ == "__main__":
    unittest.main()
