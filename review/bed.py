"""A small deployment on loopback: the programs of deploy/system.toml as
processes of their own, and stand-ins for the platform (settings, SIGTERM), the
operator, backends and clients, as PROTOCOL.md and DEPLOY.md describe them.
Only Python's standard library is used."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["tt-south-a", "tt-south-b", "tt-south-c"]
BOUNDS = ("seed_lag_s=3,reuse_after_s=2,stable_window_ms=3000,ack_ms=4000,"
          "catch_up_s=4,drain_ms=2000,grace_s=6,slack_ms=200,"
          "config_apply_ms=2000,rollback_slack_ms=250,max_skew_ms=5000,"
          "retry_budget_ratio=0.2,retry_window_s=10,retry_slack=62,"
          "recovery_s=15,ttl_max_s=5,probe_per_s=60")
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def deploy_commands():
    """Returns role -> words of its command in the deploy file."""
    commands = {}
    role = None
    path = os.path.join(ROOT, "deploy", "system.toml")
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            section = re.match(r"\[roles\.([\w-]+)\]", line)
            run = re.match(r'run = "([^"]*)"', line)
            if section:
                role = section.group(1)
            elif run and role:
                commands[role] = run.group(1).split(" ")
    return commands


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w",
                        encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.out.write("%9.3f %s\n" % (self.now(), text))

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.out.close()


class Machine:
    def __init__(self, bed, number):
        self.bed = bed
        self.ip = "127.%d.%d.%d" % (bed.net, number + 1, 10)
        self.name = "edge-%s-1" % ZONES[number % len(ZONES)]
        self.zone = ZONES[number % len(ZONES)]
        self.folder = os.path.join(bed.folder, self.name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.processes = {}

    def front(self):
        return self.ip, self.bed.port

    def settings(self, role, bootstrap):
        p = self.bed.port
        core = role == "core"
        lines = [
            "node=" + self.name, "role=" + role, "machine_class=edge",
            "serves=" + ("control,registry" if core else "edge"),
            "ip=" + self.ip, "zone=" + self.zone, "region=tt-south"]
        lines += ["zones.%s=tt-south" % zone for zone in ZONES]
        if core:
            lines += ["listen.control=%s:%d" % (self.ip, p + 2),
                      "listen.directory=%s:%d" % (self.ip, p + 3),
                      "data_dir=" + os.path.join(self.folder, "data"),
                      "limits.disk_mb=64"]
        else:
            lines += ["listen.front=%s:%d" % (self.ip, p),
                      "listen.ready=%s:%d" % (self.ip, p + 1)]
        lines += [
            "internal_port_range=%d,%d" % (p + 4, p + 19),
            "seeds=" + ",".join("%s:%d" % (m.ip, p + 2)
                                for m in self.bed.machines[:3]),
            "bootstrap=" + ("true" if bootstrap else "false"),
            "counts_as_fault=true", "limits.cpu_share=0.35", "limits.cores=1",
            "limits.memory_mb=%d" % self.bed.memory_mb, "limits.max_fds=4100",
            "limits.link_mbps=1000.0", "discovery=registration",
            "entry=registry", "heartbeat_ms=1500",
            "invariants=base,drain,config,cost,retry,recover,health",
            "fault_tolerance.machines=1", "fault_tolerance.zones=0",
            "fault_tolerance.regions=0", "bounds=" + BOUNDS]
        path = os.path.join(self.folder, role + ".conf")
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")
        return path

    def start(self, role, bootstrap=False):
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GYPSUMMILL_NODE_FILE"] = self.settings(role, bootstrap)
        with open(os.path.join(self.folder, role + ".log"), "ab") as log:
            self.processes[role] = subprocess.Popen(
                self.bed.commands[role], cwd=ROOT, env=environment, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL)

    def rss_mb(self, role):
        try:
            with open("/proc/%d/status" % self.processes[role].pid,
                      encoding="utf-8") as lines:
                for line in lines:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Bed:
    """Machines with a disk, one a zone; each runs core and flow."""

    def __init__(self, record, machines=3, memory_mb=260):
        self.record = record
        self.commands = deploy_commands()
        for words in self.commands.values():
            if not os.access(os.path.join(ROOT, words[0]), os.X_OK):
                raise CannotRun("%s isn't built" % words[0])
        self.memory_mb = memory_mb
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = random.SystemRandom().randrange(20, 250)
        self.port = self.free_ports(20)
        self.machines = []
        for number in range(machines):
            self.machines.append(Machine(self, number))
        self.backends = []
        for machine in self.machines:
            machine.start("core", True)
            machine.start("flow", True)

    def free_ports(self, count):
        draw = random.SystemRandom()
        for _ in range(200):
            first = draw.randrange(20000, 32000 - count)
            sockets = []
            try:
                for port in range(first, first + count):
                    one = socket.socket()
                    sockets.append(one)
                    one.bind(("127.%d.1.10" % self.net, port))
                return first
            except OSError:
                continue
            finally:
                for one in sockets:
                    one.close()
        raise CannotRun("no free ports")

    async def call(self, machine, method, path, body=b"", fields=(), port=2):
        """One call of the operator or of a backend on a connection of its
        own; (0, b"") without an answer within a second."""
        try:
            return await asyncio.wait_for(
                self.call_once(machine, method, path, body, fields, port), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            return 0, b""

    async def call_once(self, machine, method, path, body, fields, port):
        reader, writer = await asyncio.open_connection(
            machine.ip, self.port + port)
        try:
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\n%s"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %d\r\nConnection: close\r\n\r\n" % (
                              method, path, machine.ip,
                              "".join(f + "\r\n" for f in fields),
                              len(body))).encode() + body)
            answer = await read_answer(reader)
            return answer.status, answer.body
        finally:
            writer.close()

    async def put_config(self, config, base):
        """Sends a config to any node until it is answered, like the
        operator."""
        end = time.monotonic() + 20
        body = json.dumps(config).encode()
        while time.monotonic() < end:
            machine = random.choice(self.machines)
            status, _ = await self.call(machine, "PUT", "/config", body,
                                        ["If-Match: %d" % base])
            if status in (200, 400, 409, 412, 413, 422):
                self.record.line("operator: version %d at %s: %d" % (
                    config["version"], machine.name, status))
                return status
            await asyncio.sleep(0.1)
        raise CannotRun("no answer to a config")

    async def wait_ready(self):
        end = time.monotonic() + 20
        for machine in self.machines:
            while (await self.call(machine, "GET", "/ready", port=1))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(machine.name + " isn't ready")
                await asyncio.sleep(0.05)

    async def start(self, config):
        if await self.put_config(config, 0) != 200:
            raise CannotRun("the first config is refused")
        await self.wait_ready()
        # The first reports reach all machines.
        await asyncio.sleep(2)

    def ended(self):
        """Processes that ended by themselves."""
        return ["%s %s" % (m.name, role) for m in self.machines
                for role, p in m.processes.items() if p.poll() is not None]

    def close(self):
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
            for process in machine.processes.values():
                process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services=("svc",)):
    return {
        "version": version,
        "services": [{"name": name, "health_path": "/health",
                      "max_conns": 260, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "hosts": [{"host": "shop.example", "paths": routes}]}


def route(prefix, kind, service="svc", timeout_ms=3000, aim_ms=1000,
          attempts=2):
    return {"name": "r-" + prefix.strip("/"), "path_prefix": prefix,
            "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": aim_ms, "priority": 1, "service": service,
            "max_attempts": attempts}


class Answer:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_answer(reader):
    """Reads one answer with a length; raises on an early end."""
    first, fields = await read_head(reader)
    status = int(first.split(" ")[1])
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Answer(status, fields, body)


class Backend:
    """A sound backend: runs up to `slots` requests at once, queues `queue`
    more, rejects the rest, serves one request at a time on a connection, and
    drops a request whose connection closes."""

    def __init__(self, bed, name, service="svc", zone=ZONES[0], slots=4,
                 queue=4, work_s=0.1):
        self.bed = bed
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.running = 0
        self.waiting = 0
        self.free = None
        self.runs = []  # (time, attempt id, method, path)
        self.dropped = []  # (time, attempt id): the connection closed
        self.rejected = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.tasks = []
        bed.backends.append(self)

    async def start(self):
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(
            self.serve, "127.%d.200.1" % self.bed.net, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self):
        while True:
            self.sequence += 1
            body = json.dumps({
                "address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": "ready", "sequence": self.sequence,
                           "warmup_left_ms": 0}}).encode()
            for machine in random.sample(self.bed.machines,
                                         len(self.bed.machines)):
                status, _ = await self.bed.call(
                    machine, "PUT", "/instances/" + self.name, body)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(1.5 if status else 0.1)

    def load(self):
        return "%d,%d,%d,100" % (self.running, self.waiting, self.slots)

    async def read_body(self, reader, fields):
        left = int(fields.get("content-length", 0))
        while left > 0:
            piece = await reader.read(min(left, 1 << 20))
            if not piece:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(piece)

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields = await read_head(reader)
                await self.read_body(reader, fields)
                method, path, _ = first.split(" ")
                if path == "/health":
                    writer.write((
                        "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                        "X-Backend-Load: %s\r\nContent-Length: 0\r\n\r\n" % (
                            self.name, self.load())).encode())
                    continue
                await self.answer(reader, writer, method, path, fields)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer, method, path, fields):
        """Answers one request; cases override it to misbehave."""
        writer.write(await self.run_or_reject(reader, method, path, fields))

    async def run_or_reject(self, reader, method, path, fields):
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            return (b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
                    self.name.encode() + b"\r\nContent-Length: 0\r\n\r\n")
        if self.running >= self.slots and self.waiting >= self.queue:
            return self.reject(attempt)
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((time.monotonic(), attempt, method, path))
            self.bed.record.line("%s runs %s %s %s" % (
                self.name, attempt, method, path))
            await self.work(reader, attempt, path)
        finally:
            self.running -= 1
            self.free.release()
        return self.success(attempt)

    async def work(self, reader, attempt, path):
        """Works; a closed connection ends the work at once."""
        end = time.monotonic() + self.work_time(path)
        while True:
            left = end - time.monotonic()
            if left <= 0:
                return
            await asyncio.sleep(min(left, 0.02))
            if reader.at_eof() or reader.exception() is not None:
                self.dropped.append((time.monotonic(), attempt))
                self.bed.record.line("%s drops %s" % (self.name, attempt))
                raise asyncio.IncompleteReadError(b"", 1)

    def work_time(self, path):
        return self.work_s

    def reject(self, attempt):
        # As wire.json shows it: "a server sheds".
        self.rejected += 1
        self.bed.record.line("%s rejects %s" % (self.name, attempt))
        return (b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n")

    def success(self, attempt):
        body = ("whole answer to %s" % attempt).encode()
        return ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                "X-Response-Signature: s.%s\r\nX-Backend-Load: %s\r\n"
                "Content-Length: %d\r\n\r\n" % (
                    attempt, self.name, self.load(),
                    len(body))).encode() + body

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


class Client:
    """One kept connection of a client."""

    def __init__(self, record):
        self.record = record
        self.reader = self.writer = None

    async def connect(self, address):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*address), 1)

    def head(self, method, path, attempt, wait_ms, length=None):
        return ("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
                "X-Request-Deadline: %d\r\n%s\r\n" % (
                    method, path, attempt, wait_ms,
                    "" if length is None
                    else "Content-Length: %d\r\n" % length)).encode()

    async def ask(self, method, path, attempt, wait_ms, body=None):
        """Sends a request and returns its Answer, or None if the connection
        ended or the time passed without one."""
        self.writer.write(self.head(
            method, path, attempt, wait_ms,
            None if body is None else len(body)) + (body or b""))
        self.record.line("client sends %s %s %s" % (attempt, method, path))
        try:
            answer = await asyncio.wait_for(
                read_answer(self.reader), wait_ms / 1000)
            self.record.line("client gets %d for %s" % (
                answer.status, attempt))
            return answer
        except asyncio.TimeoutError:
            self.record.line("client's time for %s has passed" % attempt)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.record.line("client's connection ends, no answer for %s" %
                             attempt)
        self.close()
        return None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    def reset(self):
        if self.writer is not None:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        self.writer = None


def new_id():
    return "%016x" % random.getrandbits(64)


def main(folder, case):
    """Runs case(record) and exits with 1 (broken), 0 (held) or 2."""
    record = Record(os.path.dirname(os.path.abspath(folder)))
    record.say("disruption: %s" % ("on" if TROUBLE else "off"))
    # What ends this script also ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), 110))
    except (CannotRun, OSError, asyncio.TimeoutError,
            KeyboardInterrupt) as error:
        record.say("could not run: %r" % error)
        result = NOT_RUN
    record.say("result: %s" % {
        HELD: "the rule held", BROKEN: "the rule was broken",
        NOT_RUN: "not run"}[result])
    record.close()
    sys.exit(result)
