#!/usr/bin/env python3
"""A randomized soak: the real programs under callers, an operator and faults
drawn from a seed, with the promises checked from what callers and targets see.

    test/soak/soak.py --seeds 1-50 [--seconds 20] [--naive]

Signals kill, stop, pause and restart processes; targets are slow, silent,
break off, reject, add bytes and leave; a disk is lost; changes race.  --naive
puts a forwarder in the entries' place that sends again whatever fails, to
show that the checks find what it breaks.
"""

import argparse
import json
import os
import random
import shutil
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../functional"))

from platform_bed import Bed, Target  # noqa: E402

CALLERS = 10
TARGETS = 6
INSTANCES = 4
WAIT_MS = 1500
DRAIN_S = 2.0  # after the acknowledgement, by the users' bounds
APPLY_S = 2.0  # a read may be older than an acknowledgement for that long
SETTLE_S = 15.0  # the users' bound on recovery
PROMISES = (408, 421, 429, 503)  # not run, and never will be


class Findings:
    """What broke, a line each."""

    def __init__(self):
        self.lines = []
        self.lock = threading.Lock()

    def add(self, kind, text):
        with self.lock:
            self.lines.append("%s: %s" % (kind, text))


class SoakTarget(Target):
    """A stand-in that notes each run and misbehaves when told to."""

    def __init__(self, bed, name, soak):
        self.soak = soak
        self.mode = "good"
        self.left_at = None  # when its departure was acknowledged
        super().__init__(name, "svc", "127.0.7.200")
        self.behave = self.work

    def work(self, request):
        mode = self.mode
        attempt = request["fields"].get("x-attempt-id", "")
        if request["fields"].get("x-expect-instance") != self.name:
            return (b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n"
                    b"Content-Length: 0\r\n\r\n")
        if mode == "shed":
            return (b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                    b"Content-Length: 0\r\n\r\n")
        self.soak.note_run(self, attempt, request)
        body = ("%s %s " % (attempt, request["path"])).encode() * 20
        answer = self.answer(request, body)
        if mode == "slow":
            return [0.4, answer]
        if mode == "mute":
            return [5, "close"]
        if mode == "reset":
            return [0.02, answer[:len(answer) // 2], "reset"]
        if mode == "cut":
            return [0.02, answer[:-7], "close"]
        if mode == "extra":
            return [0.02, answer, answer]
        return [self.soak.draw.random() * 0.05, answer]


class NaiveEntry:
    """Forwards to any target and sends again whatever fails."""

    def __init__(self, instance, soak):
        self.soak = soak
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((instance.ip, instance.bed.port))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        try:
            data = b""
            while not self.is_whole(data):
                data += connection.recv(65536)
            connection.sendall(self.forward(data) or
                               b"HTTP/1.1 503 Failed\r\n"
                               b"Content-Length: 0\r\n\r\n")
        except OSError:
            pass
        connection.close()

    @staticmethod
    def is_whole(data):
        head, mark, body = data.partition(b"\r\n\r\n")
        if not mark:
            return False
        fields = [line.split(b":", 1) for line in head.split(b"\r\n")[1:]]
        return len(body) >= sum(int(value) for name, value in fields
                                if name.lower() == b"content-length")

    def forward(self, data):
        for _ in range(3):
            target = self.soak.draw.choice(self.soak.targets)
            ip, port = target.address.split(":")
            try:
                with socket.create_connection((ip, int(port)), 0.3) as s:
                    s.settimeout(0.3)
                    s.sendall(data.replace(
                        b"\r\n", b"\r\nX-Expect-Instance: " +
                        target.name.encode() + b"\r\n", 1))
                    got = s.recv(65536)
                    if got.startswith(b"HTTP/1.1 200"):
                        return got
            except OSError:
                continue
        return None


class Soak:
    def __init__(self, seed, seconds, naive):
        self.draw = random.Random(seed)
        self.seconds = seconds
        self.naive = naive
        self.findings = Findings()
        self.lock = threading.Lock()
        self.runs = {}  # attempt -> how often a target began it
        self.sent = {}  # attempt -> may run once
        self.refused = []  # attempts that may run once and were promised
        self.tally = {}
        self.acked = []  # (when, version)
        self.over = False
        self.bed = Bed(instances=INSTANCES, cores=INSTANCES)
        self.targets = []
        self.names = 0

    def note_run(self, target, attempt, request):
        now = time.monotonic()
        with self.lock:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            known = self.sent.get(attempt)
        if known is None:
            self.findings.add("unasked", attempt)
        if target.left_at is not None and now > target.left_at + DRAIN_S:
            self.findings.add("drain", "%s ran %s %.2f s after its ack" % (
                target.name, request["path"], now - target.left_at))

    def add_target(self):
        self.names += 1
        one = SoakTarget(self.bed, "i-%d" % self.names, self)
        self.targets.append(one)
        self.bed.targets.append(one)

    def config(self, version):
        return self.bed.config(version, [
            self.bed.path("/safe/", timeout_ms=1200),
            self.bed.path("/once/", "unsafe", timeout_ms=1200)])

    def call(self, number):
        draw = random.Random(self.draw.random())
        count = 0
        while not self.over:
            count += 1
            once = draw.random() < 0.5
            attempt = "c%d-%d" % (number, count)
            path = "/%s/%s" % ("once" if once else "safe", attempt)
            with self.lock:
                self.sent[attempt] = once
            status, body, fields = self.bed.ask(
                path, "POST" if once else "GET", b"order" if once else None,
                attempt, draw.randrange(INSTANCES), WAIT_MS)
            self.check(attempt, path, once, status, body, fields)
            time.sleep(draw.random() * 0.02)

    def check(self, attempt, path, once, status, body, fields):
        with self.lock:
            self.tally[status] = self.tally.get(status, 0) + 1
        if status == 200:
            whole = ("%s %s " % (attempt, path)).encode() * 20
            if body != whole or "x-response-signature" not in fields:
                self.findings.add("mixed", "%s got %r" % (attempt, body[:60]))
        elif status == 404:
            self.findings.add("denied", attempt)
        elif status in PROMISES and once:
            with self.lock:
                self.refused.append(attempt)

    def operate(self):
        version = 1
        while not self.over:
            time.sleep(0.3 + self.draw.random())
            base = version
            following = version + 1 + self.draw.randrange(3)
            core = self.draw.choice(self.bed.instances)
            status = self.bed.put_config(self.config(following), base, core)
            if status == 200:
                version = following
                self.acked.append((time.monotonic(), version))
            elif status == 0 or status >= 500:
                version = self.resend(following, base) or version
            self.read_back()

    def resend(self, following, base):
        """An order without a clear answer is sent again until it has one."""
        while not self.over:
            core = self.draw.choice(self.bed.instances)
            status = self.bed.put_config(self.config(following), base, core)
            if status == 200:
                self.acked.append((time.monotonic(), following))
                return following
            if status in (400, 412):
                self.findings.add("config", "%d on %d refused with %d when "
                                  "sent again" % (following, base, status))
                return None
            time.sleep(0.1)
        return None

    def read_back(self):
        asked = time.monotonic()
        core = self.draw.choice(self.bed.instances)
        status, body = core.call("GET", "/config", timeout=2)
        due = [v for when, v in self.acked if when + APPLY_S < asked]
        if status == 200 and due and json.loads(body)["version"] < due[-1]:
            self.findings.add("config", "%s read %d after %d" % (
                core.name, json.loads(body)["version"], due[-1]))

    def disturb(self):
        faults = [self.kill, self.pause, self.stop_in_peace, self.lose_disk]
        while not self.over:
            time.sleep(self.draw.random() * 0.8)
            self.draw.choice(faults)()

    def disturb_targets(self):
        faults = [self.spoil, self.spoil, self.spoil, self.leave]
        while not self.over:
            time.sleep(self.draw.random() * 0.5)
            self.draw.choice(faults)()

    def some_process(self):
        one = self.draw.choice(self.bed.instances)
        role = self.draw.choice(["core"] if self.naive else ["flow", "core"])
        return one, role

    def kill(self):
        one, role = self.some_process()
        one.kill(role)
        time.sleep(self.draw.random() * 0.5)
        one.bootstrap = False
        one.start(role)

    def pause(self):
        one, role = self.some_process()
        one.processes[role].send_signal(signal.SIGSTOP)
        time.sleep(0.1 + self.draw.random() * 1.5)
        one.processes[role].send_signal(signal.SIGCONT)

    def stop_in_peace(self):
        one, role = self.some_process()
        one.kill(role, signal.SIGTERM)
        one.bootstrap = False
        one.start(role)

    def spoil(self):
        target = self.draw.choice(self.targets)
        target.mode = self.draw.choice(
            ["good", "slow", "mute", "reset", "cut", "extra", "shed"])

    def leave(self):
        target = self.draw.choice(self.targets)
        self.targets.remove(target)
        self.bed.targets.remove(target)
        self.add_target()
        if self.bed.send_report(target, "draining") == 200:
            target.left_at = time.monotonic()

    def lose_disk(self):
        """One at a time, and only after the others have caught up."""
        if self.draw.random() < 0.7:
            return
        one = self.draw.choice(self.bed.instances)
        one.kill("core")
        shutil.rmtree(one.data)
        os.makedirs(one.data)
        one.bootstrap = False
        one.start("core")
        time.sleep(4)

    def settle(self):
        for target in self.targets:
            target.mode = "good"
        end = time.monotonic() + SETTLE_S
        served = 0
        while time.monotonic() < end and served < 20:
            attempt = "end-%d" % time.monotonic_ns()
            self.sent[attempt] = False
            status, _, _ = self.bed.ask(
                "/safe/" + attempt, attempt=attempt,
                instance=self.draw.randrange(INSTANCES), wait_ms=WAIT_MS)
            served = served + 1 if status == 200 else 0
        if served < 20:
            self.findings.add("recover", "not served %d s after the faults"
                              % SETTLE_S)
        newest = self.acked[-1][1] if self.acked else 1
        for core in self.bed.instances:
            status, body = core.call("GET", "/config")
            if status == 200 and json.loads(body)["version"] < newest:
                self.findings.add("lost", "%s ends with %d, not %d" % (
                    core.name, json.loads(body)["version"], newest))

    def judge(self):
        for attempt, count in self.runs.items():
            if self.sent.get(attempt) and count > 1:
                self.findings.add("twice", "%s ran %d times" % (
                    attempt, count))
        for attempt in self.refused:
            if attempt in self.runs:
                self.findings.add("refused", "%s ran" % attempt)

    def play(self):
        try:
            for _ in range(TARGETS):
                self.add_target()
            self.bed.set_config(self.config(1))
            self.acked.append((time.monotonic(), 1))
            self.bed.wait_ready()
            if self.naive:
                for one in self.bed.instances:
                    one.kill("flow")
                    NaiveEntry(one, self)
            threads = [threading.Thread(target=self.call, args=(i,))
                       for i in range(CALLERS)]
            threads.append(threading.Thread(target=self.operate))
            threads.append(threading.Thread(target=self.disturb))
            threads.append(threading.Thread(target=self.disturb_targets))
            for thread in threads:
                thread.start()
            time.sleep(self.seconds)
            self.over = True
            for thread in threads:
                thread.join()
            self.settle()
            time.sleep(1.5)  # what was refused must not run later
            self.judge()
        finally:
            self.over = True
            self.bed.close()
        return self.findings.lines


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--naive", action="store_true")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = Soak(seed, options.seconds, options.naive)
        lines = soak.play()
        answers = " ".join("%s:%d" % item
                           for item in sorted(soak.tally.items()))
        print("seed %d: %d findings; versions %d; answers %s" % (
            seed, len(lines), len(soak.acked), answers), flush=True)
        for line in sorted(lines)[:12]:
            print("  " + line, flush=True)
        broken += 1 if lines else 0
    print("%d seeds with findings" % broken)
    return 1 if broken and not options.naive else 0


if __name__ == "__main__":
    sys.exit(main())
