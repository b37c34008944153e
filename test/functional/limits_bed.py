"""Crowds of callers that ignore the limits, and the memory and descriptors of
the process that they are connected to."""

import errno
import http.client
import os
import select
import socket
import threading
import time

from support import BIN, wait_until

MEMORY_MB = 32
CONNECTIONS = 120
CONNECTION_BYTES = 2 << 20
STOP_MB = 1024  # a process beyond it is ended, to spare the machine
QUIET_S = 2  # without a byte taken or sent: the crowd has done its worst
CROWD_S = 25  # only guards against a hang
CROWD_IP = "127.0.0.9"

# AddressSanitizer keeps up to 256 MB of freed memory to report its use: resident
# memory would not tell what the programs hold.
os.environ["ASAN_OPTIONS"] = ":".join(filter(None, [
    os.environ.get("ASAN_OPTIONS"),
    "quarantine_size_mb=0:thread_local_quarantine_size_kb=0"]))


def has_sanitizer(program):
    """Whether a program is built with AddressSanitizer, whose own memory is
    not the instance's."""
    with open(os.path.join(BIN, program), "rb") as content:
        return b"__asan_init" in content.read()


def ask(ordinary):
    """Returns the status of an ordinary request, 0 without an answer."""
    try:
        return ordinary()
    except (OSError, http.client.HTTPException):
        return 0


def repeat(request):
    """Returns CONNECTION_BYTES of one request after the other."""
    return request * (CONNECTION_BYTES // len(request) + 1)


class Watch:
    """Samples a process and ends it when it passes STOP_MB."""

    def __init__(self, popen):
        self.popen = popen
        self.before_mb = self.status_mb("VmRSS")
        self.peak_mb = 0.0
        self.descriptors = 0
        self.open = True
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def status_mb(self, name):
        try:
            with open("/proc/%d/status" % self.popen.pid,
                      encoding="ascii") as lines:
                for line in lines:
                    if line.startswith(name + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def run(self):
        while self.open:
            self.peak_mb = max(self.peak_mb, self.status_mb("VmHWM"))
            if self.status_mb("VmRSS") > STOP_MB and self.popen.poll() is None:
                self.popen.kill()
            try:
                self.descriptors = max(self.descriptors, len(
                    os.listdir("/proc/%d/fd" % self.popen.pid)))
            except OSError:
                pass
            time.sleep(0.01)

    def close(self):
        self.open = False
        self.thread.join()


class Crowd:
    """Connections of which each sends data as fast as it is taken, or
    pace_bytes every pace_s, and reads read_bytes as often or nothing."""

    def __init__(self, address, data, count=CONNECTIONS, pace_bytes=0,
                 read_bytes=0, pace_s=0.2):
        self.data = memoryview(data)
        self.pace_bytes = pace_bytes
        self.read_bytes = read_bytes
        self.pace_s = pace_s
        self.sockets = []
        self.left = {}  # socket -> offset of what is to be sent
        self.ended = 0
        for _ in range(count):
            one = socket.socket()
            self.sockets.append(one)
            if read_bytes:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            # A full queue of the listener must not delay the others.
            one.setblocking(False)
            one.bind((CROWD_IP, 0))
            if one.connect_ex(address) in (0, errno.EINPROGRESS):
                self.left[one] = 0
            else:
                self.ended += 1

    def end(self, one):
        self.left.pop(one, None)
        self.ended += 1

    def send(self, one):
        """Sends what is due of one connection; returns how many bytes."""
        at = self.left[one]
        size = self.pace_bytes or 1 << 18
        try:
            sent = one.send(self.data[at:at + size])
        except BlockingIOError:
            return 0
        except OSError:
            self.end(one)
            return 0
        self.left[one] = at + sent
        return sent

    def read(self, one):
        try:
            if not one.recv(self.read_bytes):
                self.end(one)
        except BlockingIOError:
            pass
        except OSError:
            self.end(one)

    def run(self, seconds=CROWD_S):
        """Goes on until everything is sent, nothing is taken any more, or the
        time is over; with a pace, for all of the time."""
        end = time.monotonic() + seconds
        moved = time.monotonic()
        while time.monotonic() < end and (
                self.pace_bytes or self.read_bytes or
                time.monotonic() - moved < QUIET_S):
            sent = 0
            for one in list(self.left):
                if self.left[one] < len(self.data):
                    sent += self.send(one)
                if self.read_bytes and one in self.left:
                    self.read(one)
            if sent > 0:
                moved = time.monotonic()
            if self.pace_bytes or self.read_bytes:
                time.sleep(self.pace_s)
            elif sent == 0:
                select.select([], [], [], 0.02)

    def close(self):
        for one in self.sockets:
            one.close()


class CrowdTest:
    """Mixed into a TestCase: one crowd against one process, then the bounds
    and one ordinary request while the crowd is still connected."""

    def watch_process(self, popen, program):
        self.popen = popen
        self.watch = Watch(popen)
        self.addCleanup(self.watch.close)
        self.bound_mb = MEMORY_MB
        if has_sanitizer(program):
            self.bound_mb = MEMORY_MB * 2 + self.watch.before_mb
        return self.watch

    def check_crowd(self, crowds, ordinary, descriptors, seconds=CROWD_S):
        """crowds are functions that return a Crowd; ordinary() returns the
        status of one request."""
        wait_until(lambda: ask(ordinary) == 200, "an answer before the crowd")
        opened = []
        for start in crowds:
            crowd = start()
            self.addCleanup(crowd.close)
            crowd.run(seconds)
            opened.append(crowd)
        status = ask(ordinary) if self.popen.poll() is None else 0
        self.watch.close()
        print("%s: before %.1f MB, peak %.1f MB, %d descriptors, %d of %d "
              "connections ended, alive %s, ordinary request %d" % (
                  self.id().split(".")[-1], self.watch.before_mb,
                  self.watch.peak_mb, self.watch.descriptors,
                  sum(c.ended for c in opened),
                  sum(len(c.sockets) for c in opened),
                  self.popen.poll() is None, status))
        self.assertIsNone(self.popen.poll(), "the process has ended")
        self.assertLess(self.watch.peak_mb, self.bound_mb)
        self.assertLessEqual(self.watch.descriptors, descriptors)
        self.assertEqual(status, 200)
