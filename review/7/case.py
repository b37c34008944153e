"""A server leaves and starts again under the id that it had while it is cut off
from control.  Its last call, held up on the way, arrives after the new start has
registered, and takes that out of service for good."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bed2 import (TROUBLE, Server, Site, config, main, put_config,  # noqa: E402
                  request, route)

DRAIN_S = 2.0
CUT_S = 5.0
CALL_S = 1.0  # "if it arrives within a second [...] Otherwise, the next node"
NO_ACK_S = 3.0  # "If it receives no ack, it exits anyway, some seconds later"
RESTART_S = 0.2
# TCP sends again what isn't acknowledged: after 0.2, 0.4, 0.8, 1.6, 3.2 s.
RESENDS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)
STEADY_S = 8.0
WATCH_S = 20.0


class Path:
    """The way from the servers' network to one machine of control: a proxy
    that holds up what is sent during a cut, as TCP does."""

    def __init__(self, site, machine, cut):
        self.site = site
        self.machine = machine
        self.cut = cut  # (begin, end) by time.monotonic(), empty: none
        self.listener = socket.socket()
        self.listener.bind((site.server_ip, 0))
        self.listener.listen(64)
        self.listener.settimeout(0.2)
        self.address = self.listener.getsockname()
        site.run(self.accept)

    def is_cut(self, at):
        return bool(self.cut) and self.cut[0] <= at < self.cut[1]

    def accept(self):
        while not self.site.over.is_set():
            try:
                near, _ = self.listener.accept()
            except OSError:
                continue
            if self.is_cut(time.monotonic()):
                # The opening packet doesn't arrive.
                threading.Thread(target=self.swallow, args=(near,),
                                 daemon=True).start()
                continue
            far = socket.create_connection(
                (self.machine.ip, self.site.port + 2), 5)
            for source, sink in ((near, far), (far, near)):
                source.settimeout(120)
                threading.Thread(target=self.pass_on, args=(source, sink),
                                 daemon=True).start()
        self.listener.close()

    @staticmethod
    def swallow(near):
        near.settimeout(10)
        try:
            while near.recv(65536):
                pass
        except OSError:
            pass
        near.close()

    def pass_on(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                now = time.monotonic()
                if self.is_cut(now):
                    arrives = min(now + s for s in RESENDS_S
                                  if now + s >= self.cut[1])
                    self.site.record.add(
                        "on the way to or from %s: %d bytes held up for "
                        "%.1f s: %s", self.machine.name, len(data),
                        arrives - now, data[:40].split(b"\r\n")[0])
                    time.sleep(arrives - now)
                    if data:
                        self.site.record.add(
                            "these bytes arrive at or from %s: %s",
                            self.machine.name, data[:40].split(b"\r\n")[0])
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pass


class OneServer(Server):
    """The server of the route that was added later.  It keeps a connection to
    the machine of control that it reports to, and calls the next one if there
    is no acknowledgement within a second."""

    def __init__(self, site, name, service, paths):
        self.paths = paths
        self.at = 0
        self.connection = None
        self.calls = threading.Lock()
        super().__init__(site, name, service)

    def call(self, method, body):
        """One call on the kept connection; returns the status, 0: none."""
        text = (body or "").encode()
        head = "%s /instances/%s HTTP/1.1\r\nHost: control\r\n" % (
            method, self.name)
        if body is not None:
            head += "Content-Type: application/json\r\n" \
                    "Content-Length: %d\r\n" % len(text)
        try:
            if self.connection is None:
                self.connection = socket.create_connection(
                    self.paths[self.at].address, CALL_S)
            self.connection.settimeout(CALL_S)
            self.connection.sendall(head.encode() + b"\r\n" + text)
            got = b""
            while b"\r\n\r\n" not in got or not got.endswith(b"}"):
                more = self.connection.recv(4096)
                if not more:
                    raise OSError("closed")
                got += more
            return int(got.split(b" ", 2)[1])
        except OSError:
            if self.connection is not None:
                self.connection.close()
            self.connection = None
            return 0

    def tell(self, method, body, label, give_up_s):
        """Calls until there is an acknowledgement; returns whether there was
        one in time."""
        end = time.monotonic() + give_up_s
        while time.monotonic() < end:
            with self.calls:
                status = self.call(method, body)
                self.site.record.add("%s: %s %s at %s: %d", self.name, method,
                                     label, self.paths[self.at].machine.name,
                                     status)
                if status // 100 == 2:
                    return True
                if self.connection is not None:
                    self.connection.close()
                self.connection = None
                self.at = (self.at + 1) % len(self.paths)
            time.sleep(0.05)
        return False

    def report_always(self):
        while not self.site.over.wait(0.7):
            if self.reports:
                self.tell("PUT", self.report(), "ready, sequence %d" %
                          self.sequence, 2)

    def start_again(self):
        """Knows nothing of before; its counts begin anew."""
        time.sleep(RESTART_S)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.at = 1
        self.site.record.add("%s starts again, born %d", self.name, self.born)
        self.reports = True


def ask(site, prefix, seconds, count):
    """Sends requests to all machines in turn; returns the share served."""
    served = 0
    for n in range(count):
        machine = site.machines[n % len(site.machines)]
        attempt = "%s%d-%d" % (prefix[1], int(site.record.now() * 1000), n)
        served += request(site, machine, prefix + "x", attempt) == 200
        time.sleep(seconds / count)
    return served / count


def run(folder):
    site = Site(folder)
    record = site.record
    try:
        for machine in site.machines:
            machine.start_all()
        for n in range(4):
            Server(site, "i-a%d" % n, "svc-a")
        cut = []
        paths = [Path(site, machine, cut) for machine in site.cores()]
        server = OneServer(site, "i-b", "svc-b", paths)
        first = [route("a", "/a/", "safe", "svc-a")]
        later = first + [route("b", "/b/", "safe", "svc-b")]
        services = ("svc-a", "svc-b")
        if put_config(site, config(1, first, services), 0, 20) != 200 or \
                put_config(site, config(2, later, services), 1, 20) != 200:
            raise RuntimeError("a config is not accepted")
        time.sleep(4)
        before = ask(site, "/b/", 2, 40)
        record.add("before: %.2f of the requests for /b/ served", before)
        # The planned restart: draining, drain_ms, DELETE, exit, start.
        server.reports = False
        server.state = "draining"
        if not server.tell("PUT", server.report(), "draining", 15):
            raise RuntimeError("the report is not acknowledged")
        time.sleep(DRAIN_S)
        if TROUBLE:
            cut.extend((time.monotonic(), time.monotonic() + CUT_S))
            record.add("i-b is cut off from control for %.1f s", CUT_S)
        time.sleep(0.1)
        if not server.tell("DELETE", None, "leaves", NO_ACK_S):
            record.add("i-b has no ack and exits")
        server.start_again()
        time.sleep(CUT_S + STEADY_S)
        a = ask(site, "/a/", WATCH_S / 2, 100)
        b = ask(site, "/b/", WATCH_S / 2, 100)
        record.add("in steady state: served %.2f of the requests for /a/, %.2f "
                   "of those for /b/", a, b)
        print("served %.2f of /a/, %.2f of /b/ (before: %.2f)" % (a, b, before))
        if before < 0.9 or a < 0.9:
            raise RuntimeError("the site isn't in a steady state")
        return b < a / 4
    finally:
        site.close()


main(os.path.dirname(os.path.abspath(__file__)), run)
