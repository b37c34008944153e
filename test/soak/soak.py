#!/usr/bin/env python3
"""Randomized soak test: runs the real programs with callers, an operator and
random faults from a seed, and checks the guarantees of the system from what
callers and targets observe.

    test/soak/soak.py --seeds 1-50 [--seconds 20] [--naive]

Processes are killed, terminated, paused and restarted; targets are slow or
silent, reset or truncate answers, reject calls, send extra bytes, name limits and
depart, also to start again under their id with a clock that has stepped, while
a call of the start before is held up; one request ends the targets that run it;
disks are lost, with restarts of all of control and losses of power between;
config edits race.  --naive replaces the entries by a forwarder that retries
every failed request, to show that the checks detect what it breaks.
"""

import argparse
import http.client
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

from platform_bed import Testbed, Target  # noqa: E402

CALLERS = 10
TARGETS = 6
INSTANCES = 4
UNREAD_IP = "127.0.0.9"
DEADLINE_MS = 1500
DRAIN_TIMEOUT_S = 2.0  # after the acknowledgement; required by the users
READ_STALENESS_S = 2.0  # how long a read may miss an acknowledged edit
RECOVERY_TIMEOUT_S = 15.0  # required by the users
CATCH_UP_S = 4.0  # a machine that is back counts as lost for so long
CLOCK_STEP_MS = 2000
SHUT_OUT_CALLERS = 40
STABLE_S = 3.0  # after a disturbance, or until a rule binds
LIMIT_WINDOW_S = 4.0
HARM = "/safe/harm"
HARM_ENDS = 3  # targets that have ended under it
HARM_SENDS_AFTER = 3
# Statuses that guarantee that the request has not run and never will.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class Findings:
    """Violations found, one line each."""

    def __init__(self):
        self.lines = []
        self.lock = threading.Lock()

    def add(self, kind, text):
        with self.lock:
            self.lines.append("%s: %s" % (kind, text))


class SoakTarget(Target):
    """A mock target that records each execution and injects faults."""

    def __init__(self, bed, name, soak):
        self.soak = soak
        self.mode = "good"
        self.departed_at = None  # when its departure was acknowledged
        self.limited_at = None  # when it first named its limit
        self.limited_runs = []  # times, of undisturbed instances
        super().__init__(name, "svc", "127.0.7.200")
        self.handler = self.handle_request

    def handle_request(self, request):
        mode = self.mode
        attempt = request["fields"].get("x-attempt-id", "")
        if request["fields"].get("x-expect-instance") != self.name:
            return (b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n"
                    b"Content-Length: 0\r\n\r\n")
        if mode == "shed":
            return (b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                    b"Content-Length: 0\r\n\r\n")
        self.soak.record_run(self, attempt, request)
        if request["path"] == HARM:
            time.sleep(0.05)
            self.soak.end_target(self)
            return ["reset"]
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
        return [self.soak.rng.random() * 0.05, answer]


class NaiveEntry:
    """Forwards to any target and retries every failed request."""

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
            while not self.is_complete(data):
                data += connection.recv(65536)
            connection.sendall(self.forward(data) or
                               b"HTTP/1.1 503 Failed\r\n"
                               b"Content-Length: 0\r\n\r\n")
        except OSError:
            pass
        connection.close()

    @staticmethod
    def is_complete(data):
        head, mark, body = data.partition(b"\r\n\r\n")
        if not mark:
            return False
        fields = [line.split(b":", 1) for line in head.split(b"\r\n")[1:]]
        return len(body) >= sum(int(value) for name, value in fields
                                if name.lower() == b"content-length")

    def forward(self, data):
        for _ in range(3):
            target = self.soak.rng.choice(self.soak.targets)
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
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.naive = naive
        self.findings = Findings()
        self.lock = threading.Lock()
        self.runs = {}  # attempt -> number of executions
        self.sent = {}  # attempt -> whether it may run only once
        self.refused = []  # run-once attempts answered as not executed
        self.status_counts = {}
        self.accepted_versions = []  # (when, version)
        self.instances = {}  # attempt -> number of the instance
        # by instance: the end of the last disturbance, None: it goes on
        self.disturbed = {}
        self.harm_ends = []
        self.harm_sends = []  # times, of undisturbed instances
        self.stopped = False
        self.bed = Testbed(instances=INSTANCES, cores=INSTANCES)
        self.targets = []
        self.target_count = 0

    def record_run(self, target, attempt, request):
        now = time.monotonic()
        with self.lock:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            known = self.sent.get(attempt)
        if known is None:
            self.findings.add("unasked", attempt)
        if self.is_calm(self.instances.get(attempt), now):
            if target.limited_at is not None:
                target.limited_runs.append(now)
            if request["path"] == HARM:
                self.harm_sends.append(now)
        if target.departed_at is not None and \
                now > target.departed_at + DRAIN_TIMEOUT_S and \
                self.is_sender_calm(attempt, now):
            self.findings.add("drain", "%s ran %s %.2f s after its ack" % (
                target.name, request["path"], now - target.departed_at))

    def is_calm(self, number, now):
        """Whether an instance had no disturbance for STABLE_S."""
        last = self.disturbed.get(number, 0)
        return last is not None and now - last > STABLE_S

    def is_sender_calm(self, attempt, now):
        """As is_calm(); of all instances if it may be any of them."""
        numbers = [self.instances[attempt]] if attempt in self.instances \
            else range(INSTANCES)
        return all(self.is_calm(number, now) for number in numbers)

    def end_target(self, target):
        if not target.crash():
            return
        self.harm_ends.append(time.monotonic())
        with self.lock:
            if target in self.targets:
                self.targets.remove(target)
                self.bed.targets.remove(target)
                threading.Timer(0.5, self.add_target).start()

    def run_harmful_caller(self):
        """The same request, at all instances in turn."""
        count = 0
        while not self.stopped:
            time.sleep(0.3)
            count += 1
            attempt = "harm-%d" % count
            self.note_sent(attempt, False, count % INSTANCES)
            self.bed.request(HARM, attempt=attempt,
                             instance=count % INSTANCES, wait_ms=DEADLINE_MS)

    def note_sent(self, attempt, once, instance):
        with self.lock:
            self.sent[attempt] = once
            self.instances[attempt] = instance

    def check_limits(self, target):
        """No 4 s above one and a half times the limit, and 5."""
        times = [at for at in target.limited_runs
                 if at > target.limited_at + STABLE_S]
        most = max([sum(a <= at < a + LIMIT_WINDOW_S for at in times)
                    for a in times] or [0])
        allowed = 1.5 * float(target.limit) * LIMIT_WINDOW_S + 5
        if most > allowed:
            self.findings.add("limit", "%s got %d in 4 s, %g allowed" % (
                target.name, most, allowed))

    def check_harm(self):
        if len(self.harm_ends) < HARM_ENDS:
            return
        since = sorted(self.harm_ends)[HARM_ENDS - 1] + STABLE_S
        late = sum(at > since for at in self.harm_sends)
        if late > HARM_SENDS_AFTER:
            self.findings.add("harm", "sent %d times more; %d ended" % (
                late, len(self.harm_ends)))

    def add_target(self):
        if self.stopped:
            return
        self.target_count += 1
        one = SoakTarget(self.bed, "i-%d" % self.target_count, self)
        self.targets.append(one)
        self.bed.targets.append(one)

    def config(self, version):
        return self.bed.config(version, [
            self.bed.route("/safe/", timeout_ms=1200),
            self.bed.route("/once/", "unsafe", timeout_ms=1200)])

    def run_caller(self, number):
        rng = random.Random(self.rng.random())
        count = 0
        while not self.stopped:
            count += 1
            once = rng.random() < 0.5
            attempt = "c%d-%d" % (number, count)
            path = "/%s/%s" % ("once" if once else "safe", attempt)
            instance = rng.randrange(INSTANCES)
            self.note_sent(attempt, once, instance)
            status, body, fields = self.bed.request(
                path, "POST" if once else "GET", b"order" if once else None,
                attempt, instance, DEADLINE_MS)
            self.check_answer(attempt, path, once, status, body, fields)
            time.sleep(rng.random() * 0.02)

    def run_unread_caller(self):
        """Sends requests ahead to entries and control, at each of their HTTP
        ports, from an address of its own, and reads nothing."""
        request = (b"GET /safe/unread HTTP/1.1\r\nHost: h.example\r\n"
                   b"X-Attempt-Id: unread\r\nX-Request-Deadline: 1500\r\n\r\n")
        number = 0
        self.sent["unread"] = False
        while not self.stopped:
            number += 1
            one = self.bed.instances[number % INSTANCES]
            try:
                with socket.create_connection(
                        (one.ip, self.bed.port + number // 4 % 4), 1,
                        (UNREAD_IP, 0)) as caller:
                    caller.settimeout(0.3)
                    for _ in range(40):
                        caller.sendall(request * 100)
            except OSError:
                pass
            time.sleep(0.2)

    def check_answer(self, attempt, path, once, status, body, fields):
        with self.lock:
            self.status_counts[status] = self.status_counts.get(status, 0) + 1
        if status == 200:
            expected = ("%s %s " % (attempt, path)).encode() * 20
            if body != expected or "x-response-signature" not in fields:
                self.findings.add("mixed", "%s got %r" % (attempt, body[:60]))
        elif status == 404:
            self.findings.add("denied", attempt)
        elif status in NOT_EXECUTED_STATUSES and once:
            with self.lock:
                self.refused.append(attempt)

    def edit_configs(self):
        version = 1
        while not self.stopped:
            time.sleep(0.3 + self.rng.random())
            base = version
            following = version + 1 + self.rng.randrange(3)
            core = self.rng.choice(self.bed.instances)
            status = self.bed.put_config(self.config(following), base, core)
            if status == 200:
                version = following
                self.accepted_versions.append((time.monotonic(), version))
            elif status == 0 or status >= 500:
                version = self.retry_edit(following, base) or version
            self.check_read()

    def retry_edit(self, following, base):
        """Repeats an edit with an unknown result until it has one."""
        while not self.stopped:
            core = self.rng.choice(self.bed.instances)
            status = self.bed.put_config(self.config(following), base, core)
            if status == 200:
                self.accepted_versions.append((time.monotonic(), following))
                return following
            if status in (400, 412):
                self.findings.add("config", "%d on %d refused with %d when "
                                  "sent again" % (following, base, status))
                return None
            time.sleep(0.1)
        return None

    def check_read(self):
        asked = time.monotonic()
        core = self.rng.choice(self.bed.instances)
        status, body = core.call("GET", "/config", timeout=2)
        due = [v for when, v in self.accepted_versions
               if when + READ_STALENESS_S < asked]
        if status == 200 and due and json.loads(body)["version"] < due[-1]:
            self.findings.add("config", "%s read %d after %d" % (
                core.name, json.loads(body)["version"], due[-1]))

    def inject_instance_faults(self):
        faults = [self.kill, self.pause, self.terminate, self.lose_disk,
                  self.restart_control, self.lose_power]
        while not self.stopped:
            time.sleep(self.rng.random() * 0.8)
            self.rng.choice(faults)()

    def inject_target_faults(self):
        faults = [self.change_target_mode, self.change_target_mode,
                  self.change_target_mode, self.remove_target,
                  self.return_target, self.change_limit]
        while not self.stopped:
            time.sleep(self.rng.random() * 0.5)
            self.rng.choice(faults)()

    def choose_process(self):
        one = self.rng.choice(self.bed.instances)
        role = self.rng.choice(["core"] if self.naive else ["flow", "core"])
        return one, role

    def disturb(self, one, goes_on):
        self.disturbed[self.bed.instances.index(one)] = (
            None if goes_on else time.monotonic())

    def kill(self):
        one, role = self.choose_process()
        self.disturb(one, True)
        one.kill(role)
        time.sleep(self.rng.random() * 0.5)
        one.bootstrap = False
        one.start(role)
        self.disturb(one, False)

    def pause(self):
        one, role = self.choose_process()
        self.disturb(one, True)
        one.processes[role].send_signal(signal.SIGSTOP)
        time.sleep(0.1 + self.rng.random() * 1.5)
        one.processes[role].send_signal(signal.SIGCONT)
        self.disturb(one, False)

    def terminate(self):
        one, role = self.choose_process()
        self.disturb(one, True)
        one.kill(role, signal.SIGTERM)
        one.bootstrap = False
        one.start(role)
        self.disturb(one, False)

    def choose_target(self):
        with self.lock:
            return self.rng.choice(self.targets) if self.targets else None

    def change_limit(self):
        target = self.choose_target()
        if target is None:
            return
        if target.limited_at is not None:
            self.check_limits(target)
            target.limited_at = target.limit = None
            return
        target.probes_say_it = self.rng.random() < 0.5
        target.limited_runs = []
        target.limit = "%.1f" % (0.5 + self.rng.random() * 10)
        target.limited_at = time.monotonic()

    def change_target_mode(self):
        target = self.choose_target()
        if target is None:
            return
        target.mode = self.rng.choice(
            ["good", "slow", "mute", "reset", "cut", "extra", "shed"])

    def remove_target(self):
        target = self.choose_target()
        if target is None:
            return
        with self.lock:
            if target not in self.targets:
                return
            self.targets.remove(target)
            self.bed.targets.remove(target)
        self.add_target()
        if self.bed.send_report(target, "draining") == 200:
            target.departed_at = time.monotonic()

    def return_target(self):
        """A target leaves and starts again under its id, with a clock that has
        stepped.  A call of the first start arrives after the second one's."""
        target = self.choose_target()
        if target is None:
            return
        with self.lock:
            if target not in self.targets:
                return
            self.targets.remove(target)
            self.bed.targets.remove(target)
        core = self.rng.choice(self.bed.instances)
        late = http.client.HTTPConnection(
            core.ip, self.bed.port + 2, timeout=2)
        late.auto_open = False  # what is held up is lost with its connection
        path = "/instances/" + target.name
        try:
            late.connect()
            late.request("PUT", path, json.dumps(target.report("draining")))
            answer = late.getresponse()
            answer.read()
            if answer.status == 200:
                target.departed_at = time.monotonic()
        except (OSError, http.client.HTTPException):
            late.close()
        again = SoakTarget(self.bed, target.name, self)
        again.started_ms = int(time.time() * 1000) + self.rng.randint(
            -CLOCK_STEP_MS, CLOCK_STEP_MS)
        with self.lock:
            self.targets.append(again)
            self.bed.targets.append(again)
        time.sleep(self.rng.random())
        try:
            late.request("DELETE", path)
            late.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # control was disturbed: the call is lost
        late.close()

    def restart_control(self):
        """Kills all of control; it is back at once, with its disks."""
        if self.rng.random() < 0.7:
            return
        for one in self.bed.instances:
            self.disturb(one, True)
            one.kill("core")
        for one in self.bed.instances:
            one.bootstrap = False
            one.start("core")
            self.disturb(one, False)

    def lose_power(self):
        """Kills everything; it is back at once, with its disks."""
        if self.rng.random() < 0.8:
            return
        for one in self.bed.instances:
            self.disturb(one, True)
            one.kill("core")
            one.kill("flow")
        for one in self.bed.instances:
            one.bootstrap = False
            one.start("core")
            one.start("flow")
            self.disturb(one, False)

    def lose_disk(self):
        """Loses one disk at a time, after the others have caught up."""
        if self.rng.random() < 0.5:
            return
        back = max([t for t in self.disturbed.values()
                    if t is not None], default=0)
        time.sleep(max(0, back + CATCH_UP_S - time.monotonic()))
        one = self.rng.choice(self.bed.instances)
        self.disturb(one, True)
        one.kill("core")
        shutil.rmtree(one.data)
        os.makedirs(one.data)
        one.bootstrap = False
        one.start("core")
        self.disturb(one, False)
        time.sleep(CATCH_UP_S)

    def check_recovery(self):
        for target in self.targets:
            if target.limited_at is not None:
                self.check_limits(target)
                target.limited_at = target.limit = None
            target.mode = "good"
        end = time.monotonic() + RECOVERY_TIMEOUT_S
        served = 0
        while time.monotonic() < end and served < 20:
            attempt = "end-%d" % time.monotonic_ns()
            self.sent[attempt] = False
            status, _, _ = self.bed.request(
                "/safe/" + attempt, attempt=attempt,
                instance=self.rng.randrange(INSTANCES), wait_ms=DEADLINE_MS)
            served = served + 1 if status == 200 else 0
        if served < 20:
            self.findings.add("recover", "not served %d s after the faults"
                              % RECOVERY_TIMEOUT_S)
        self.check_shut_out()
        newest = self.accepted_versions[-1][1] if self.accepted_versions else 1
        for core in self.bed.instances:
            status, body = core.call("GET", "/config")
            if status == 200 and json.loads(body)["version"] < newest:
                self.findings.add("lost", "%s ends with %d, not %d" % (
                    core.name, json.loads(body)["version"], newest))

    def check_shut_out(self):
        """Each target that lives and reports gets requests, where all are
        needed: more requests run at a time than some of them have slots."""
        for target in self.targets:
            target.mode = "slow"
            target.requests.clear()
        end = time.monotonic() + RECOVERY_TIMEOUT_S

        def send(number):
            while time.monotonic() < end and not all(
                    target.requests for target in self.targets):
                attempt = "in-%d-%d" % (number, time.monotonic_ns())
                self.sent[attempt] = False
                self.bed.request(
                    "/safe/" + attempt, attempt=attempt,
                    instance=number % INSTANCES, wait_ms=DEADLINE_MS)
        callers = [threading.Thread(target=send, args=(i,))
                   for i in range(SHUT_OUT_CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        for target in self.targets:
            if not target.requests:
                self.findings.add("shut out", "%s, born %d" % (
                    target.name, target.started_ms))

    def check_runs(self):
        for attempt, count in self.runs.items():
            if self.sent.get(attempt) and count > 1:
                self.findings.add("twice", "%s ran %d times" % (
                    attempt, count))
        for attempt in self.refused:
            if attempt in self.runs:
                self.findings.add("refused", "%s ran" % attempt)

    def run(self):
        try:
            for _ in range(TARGETS):
                self.add_target()
            self.bed.set_config(self.config(1))
            self.accepted_versions.append((time.monotonic(), 1))
            self.bed.wait_ready()
            if self.naive:
                for one in self.bed.instances:
                    one.kill("flow")
                    NaiveEntry(one, self)
            threads = [threading.Thread(target=self.run_caller, args=(i,))
                       for i in range(CALLERS)]
            threads.append(threading.Thread(target=self.edit_configs))
            threads.append(threading.Thread(target=self.run_harmful_caller))
            threads.append(threading.Thread(target=self.run_unread_caller))
            threads.append(
                threading.Thread(target=self.inject_instance_faults))
            threads.append(threading.Thread(target=self.inject_target_faults))
            for thread in threads:
                thread.start()
            time.sleep(self.seconds)
            self.stopped = True
            for thread in threads:
                thread.join()
            self.check_recovery()
            time.sleep(1.5)  # rejected requests must not run later
            self.check_runs()
            self.check_harm()
        finally:
            self.stopped = True
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
        lines = soak.run()
        answers = " ".join("%s:%d" % item
                           for item in sorted(soak.status_counts.items()))
        print("seed %d: %d findings; versions %d; answers %s" % (
            seed, len(lines), len(soak.accepted_versions), answers),
            flush=True)
        for line in sorted(lines)[:12]:
            print("  " + line, flush=True)
        broken += 1 if lines else 0
    print("%d seeds with findings" % broken)
    return 1 if broken and not options.naive else 0


if __name__ == "__main__":
    sys.exit(main())
