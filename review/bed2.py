"""Runs the programs of the deploy file on loopback addresses, as on machines
of a small site, with stand-ins for servers, clients and the operator.  Uses the
standard library only.  A case writes what was sent, answered and run to
record.txt in its folder."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = ("seed_lag_s=3,reuse_after_s=2,stable_window_ms=3000,ack_ms=4000,"
          "catch_up_s=4,drain_ms=2000,grace_s=6,slack_ms=200,"
          "config_apply_ms=2000,rollback_slack_ms=250,max_skew_ms=5000,"
          "retry_budget_ratio=0.2,retry_window_s=10,retry_slack=62,"
          "recovery_s=15,ttl_max_s=5,probe_per_s=60")


class CannotRun(Exception):
    """The case can't run: exit code 2."""


def commands():
    """Returns the command of each role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"].split() for name, role in roles.items()}


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text, *values):
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f %s\n" % (
                    self.now(), text % values if values else text))
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class Machine:
    """A machine of the system: its programs, each a process of its own."""

    def __init__(self, site, number, roles):
        self.site = site
        self.ip = "%s.%d" % (site.network, number + 1)
        self.name = "%sedge-%d" % (site.prefix, number + 1)
        self.roles = roles
        self.bootstrap = True
        self.folder = os.path.join(site.folder, self.name)
        self.data = os.path.join(self.folder, "data")
        self.processes = {}
        os.makedirs(self.data)

    def write_settings(self, role):
        port = self.site.port
        lines = {
            "node": self.name, "role": role, "machine_class": "edge",
            "serves": "edge" if role == "flow" else "control,registry",
            "ip": self.ip, "zone": "z-a", "region": "r", "zones.z-a": "r",
            "listen.front": "%s:%d" % (self.ip, port),
            "listen.ready": "%s:%d" % (self.ip, port + 1),
            "listen.control": "%s:%d" % (self.ip, port + 2),
            "listen.directory": "%s:%d" % (self.ip, port + 3),
            "internal_port_range": "%d,%d" % (port + 4, port + 19),
            "seeds": ",".join("%s:%d" % (m.ip, port + 2)
                              for m in self.site.seeds()),
            "bootstrap": "true" if self.bootstrap else "false",
            "counts_as_fault": "true" if "core" in self.roles else "false",
            "limits.cpu_share": "0.35", "limits.cores": "1",
            "limits.memory_mb": "260", "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0", "limits.disk_mb": "64",
            "discovery": "registration", "entry": "registry",
            "heartbeat_ms": "1500",
            "invariants": "base,drain,config,cost,retry,recover,health",
            "fault_tolerance.machines": "1", "fault_tolerance.zones": "0",
            "fault_tolerance.regions": "0", "bounds": BOUNDS,
        }
        if role == "core":
            lines["data_dir"] = self.data
        path = os.path.join(self.folder, role + ".conf")
        with open(path + ".new", "w", encoding="utf-8") as file:
            for name, value in lines.items():
                file.write("%s=%s\n" % (name, value))
        os.rename(path + ".new", path)
        return path

    def start(self, role):
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["GYPSUMMILL_NODE_FILE"] = self.write_settings(role)
        with open(os.path.join(self.folder, role + ".log"), "ab") as log:
            self.processes[role] = subprocess.Popen(
                self.site.commands[role], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.site.record.add("%s/%s starts, bootstrap=%s", self.name, role,
                             self.bootstrap)

    def start_all(self):
        for role in self.roles:
            self.start(role)

    def signal(self, role, number):
        self.processes[role].send_signal(number)
        self.site.record.add("%s/%s gets %s", self.name, role,
                             signal.Signals(number).name)

    def kill(self, role):
        process = self.processes.pop(role, None)
        if process is None:
            return
        process.kill()
        process.wait()
        self.site.record.add("%s/%s was killed", self.name, role)

    def lose_power(self):
        for role in list(self.processes):
            self.kill(role)

    def lose_disk(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.site.record.add("%s has lost its disk", self.name)

    def call(self, method, path, body=None, fields=None, timeout=1.0,
             port=2):
        """One call; returns (status, body), (0, reason) without an answer."""
        connection = http.client.HTTPConnection(
            self.ip, self.site.port + port, timeout=timeout)
        try:
            connection.request(method, path, body, fields or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, str(error).encode()
        finally:
            connection.close()

    def log(self, role):
        with open(os.path.join(self.folder, role + ".log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()


class Site:
    """Machines, the first ones with a disk and control."""

    def __init__(self, folder, machines=4, cores=4, record=None, name=""):
        self.commands = commands()
        for command in self.commands.values():
            if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
                raise CannotRun("%s was not built" % command[0])
        self.record = record or Record(folder)
        self.prefix = name
        draw = random.SystemRandom()
        self.network = "127.%d.%d" % (draw.randrange(20, 250),
                                      draw.randrange(1, 250))
        self.server_ip = self.network + ".200"
        self.client_ip = self.network + ".210"
        self.port = self.free_ports(draw)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.machines = [
            Machine(self, n, ["core", "flow"] if n < cores else ["flow"])
            for n in range(machines)]
        self.over = threading.Event()
        self.threads = []

    def free_ports(self, draw):
        for _ in range(100):
            first = draw.randrange(10000, 30000, 20)
            sockets = []
            try:
                for n in range(1, 6):
                    for port in range(first, first + 6):
                        one = socket.socket()
                        sockets.append(one)
                        one.bind(("%s.%d" % (self.network, n), port))
                return first
            except OSError:
                continue
            finally:
                for one in sockets:
                    one.close()
        raise CannotRun("no free ports")

    def cores(self):
        return [m for m in self.machines if "core" in m.roles]

    def seeds(self):
        return self.cores()[:3]

    def run(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments,
                                  daemon=True)
        self.threads.append(thread)
        thread.start()

    def close(self):
        self.over.set()
        for thread in self.threads:
            thread.join(timeout=10)
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Server:
    """A sound back end: answers probes, runs requests, reports its state."""

    def __init__(self, site, name, service, slots=4):
        self.site = site
        self.name = name
        self.service = service
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.reports = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((site.server_ip, 0))
        self.listener.listen(128)
        self.address = "%s:%d" % self.listener.getsockname()
        site.run(self.accept)
        site.run(self.report_always)

    def accept(self):
        self.listener.settimeout(0.2)
        while not self.site.over.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                continue
            connection.settimeout(30)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()
        self.listener.close()

    def read_request(self, connection, pending):
        while b"\r\n\r\n" not in pending:
            more = connection.recv(65536)
            if not more:
                return None
            pending += more
        head, pending = pending.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        length = int(fields.get("content-length", 0))
        while len(pending) < length:
            more = connection.recv(65536)
            if not more:
                return None
            pending += more
        method, path, _ = lines[0].split(" ")
        return method, path, fields, pending[:length], pending[length:]

    def serve(self, connection):
        pending = b""
        try:
            while True:
                request = self.read_request(connection, pending)
                if request is None:
                    return
                method, path, fields, body, pending = request
                if path == "/health":
                    connection.sendall(
                        ("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                         "X-Backend-Load: 0,0,%d,100\r\n"
                         "Content-Length: 0\r\n\r\n" %
                         (self.name, self.slots)).encode())
                elif fields.get("x-expect-instance") != self.name:
                    connection.sendall(
                        ("HTTP/1.1 421 Misdirected Request\r\n"
                         "X-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" %
                         self.name).encode())
                elif not self.answer(connection, method, path, fields, body):
                    return
        except OSError:
            pass
        finally:
            connection.close()

    def answer(self, connection, method, path, fields, body):
        """Runs a request; returns whether the connection is kept."""
        attempt = fields.get("x-attempt-id", "")
        self.site.record.add("%s runs %s %s %s", self.name, attempt, method,
                             path)
        connection.sendall(self.success(attempt))
        return True

    def success(self, attempt):
        text = "answer to %s\n" % attempt
        return ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                "X-Response-Signature: s.%s\r\nX-Backend-Load: 0,0,%d,100\r\n"
                "Content-Length: %d\r\n\r\n%s" %
                (attempt, attempt, self.slots, len(text), text)).encode()

    def report(self):
        self.sequence += 1
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "z-a",
                     "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "warmup_left_ms": 0}})

    def report_always(self):
        draw = random.Random()
        core = draw.choice(self.site.cores())
        while not self.site.over.wait(0.7):
            if not self.reports:
                continue
            status, _ = core.call("PUT", "/instances/" + self.name,
                                  self.report())
            if status // 100 != 2:
                core = draw.choice(self.site.cores())


def route(name, prefix, kind, service, timeout_ms=1000, attempts=2):
    return {"name": name, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 500,
            "priority": 1, "service": service, "max_attempts": attempts}


def config(version, paths, services=("svc",), limits=None):
    return {"version": version,
            "services": [{"name": name, "health_path": "/health",
                          "max_conns": 260, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": dict({"max_header_bytes": 16384,
                            "max_body_bytes": 67108864,
                            "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000}, **(limits or {})),
            "hosts": [{"host": "h.example", "paths": paths}]}


def put_config(site, document, base, give_up_s, cores=None):
    """Sends a config as the operator does, to any machine, until there is a
    clear answer; returns the status, 0 without one."""
    text = json.dumps(document)
    cores = cores or site.cores()
    end = time.monotonic() + give_up_s
    calls = 0
    while time.monotonic() < end and not site.over.is_set():
        core = cores[calls % len(cores)]
        calls += 1
        status, body = core.call("PUT", "/config", text,
                                 {"If-Match": str(base)})
        site.record.add("operator: PUT version %d on %d at %s: %d %s",
                        document["version"], base, core.name, status,
                        body[:60].decode("latin-1").strip())
        if status in (200, 400, 409, 412, 413, 422):
            return status
        time.sleep(0.25)
    return 0


def request(site, machine, path, attempt, method="GET", body=None,
            wait_ms=1000):
    """One client attempt on a connection of its own; returns the status, 0
    without an answer."""
    connection = http.client.HTTPConnection(
        machine.ip, site.port, timeout=wait_ms / 1000 + 0.5)
    status = 0
    try:
        connection.request(method, path, body, {
            "Host": "h.example", "X-Attempt-Id": attempt,
            "X-Request-Deadline": str(wait_ms)})
        answer = connection.getresponse()
        answer.read()
        status = answer.status
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    site.record.add("client: %s %s %s at %s: %d", attempt, method, path,
                    machine.name, status)
    return status


def main(folder, case):
    """Runs a case, which returns whether the rule was broken."""
    try:
        site = case(folder)
    except CannotRun as reason:
        print("can't run: %s" % reason)
        sys.exit(2)
    except Exception as error:  # a fault of the case is no result
        print("can't run: %r" % error)
        sys.exit(2)
    sys.exit(1 if site else 0)
