"""The control group on real processes: kills, freezes, lost disks and damaged
files, and the operators' steps to repair them."""

import glob
import http.client
import os
import shutil
import signal
import subprocess
import threading
import time
import unittest

import support

API = "/gypsummill/v1"
ELECTION_S = 1.0
# Errors of a request whose answer was lost, whole or in part.
LOST_ANSWER = (OSError, http.client.HTTPException)
KILLS = 5
MANY_SECTIONS = 10
CHANGES = (500, 5000)


def service(name, slots):
    text = support.sections_of(support.document())[2][2]
    return (text.replace("section: ordering", "section: " + name)
            .replace("orders.test", name + ".test")
            .replace("target_slots: 4", "target_slots: %d" % slots))


class Group(support.Fleet):
    """Control instances whose clients resend until they get an answer."""

    def __init__(self):
        super().__init__(controls=3, entries=0)
        for name, token, number in (("fleet", support.BOOTSTRAP_TOKEN, 0),
                                    ("callers", "operations-token", 1)):
            text = support.sections_of(support.document())[number][2]
            answer = self.edit(name, token, "first-" + name, 0, text)
            assert answer.status == 200, answer.body

    def edit_once(self, address, section, token, edit_id, base, text,
                  timeout_s=5):
        headers = {"Authorization": "Bearer " + token,
                   "Gypsummill-Edit-Id": edit_id, "Gypsummill-Author": "ann"}
        if base:
            headers["If-Match"] = '"%d"' % base
        else:
            headers["If-None-Match"] = "*"
        return support.request(
            address, "PUT", API + "/document/sections/" + section, headers,
            text.encode(), timeout_s)

    def ask_leader(self, ask):
        """Returns the first answer of a leader, whichever instance it is."""
        def attempt():
            for address in self.operators:
                try:
                    answer = ask(address)
                except LOST_ANSWER:
                    continue
                if answer.status not in (503, 504):
                    return answer
            return None
        return support.wait_until(attempt, "control answers", 60)

    def edit(self, section, token, edit_id, base, text):
        return self.ask_leader(lambda address: self.edit_once(
            address, section, token, edit_id, base, text))

    def get(self, path):
        return self.ask_leader(lambda address: support.request(
            address, "GET", API + path, timeout_s=5))

    def state(self, index):
        """Returns role, leader and term as reported by an instance."""
        try:
            body = support.request(
                self.operators[index], "GET", "/ready", timeout_s=2).body
        except LOST_ANSWER:
            return {}
        # A busy or starting instance answers with another text.
        return dict(part.split("=") for part in body.decode().split()
                    if part.count("=") == 1)

    def leader(self):
        def attempt():
            found = [(int(state["term"]), index)
                     for index, state in ((i, self.state(i)) for i in
                                          range(len(self.controls)))
                     if state.get("role") == "leader"]
            return [max(found)[1]] if found else None
        return support.wait_until(attempt, "a leader")[0]

    def follower(self):
        return (self.leader() + 1) % 3

    def data(self, index):
        return os.path.join(self.folder, "data-%d" % (index + 1))

    def member_command(self, *arguments):
        """Runs a membership command, repeated while the group is busy."""
        path = os.path.join(self.folder, "tokens")
        with open(path, "w", encoding="utf-8") as out:
            out.write("operations operations-token\n")

        output = []

        def run():
            done = subprocess.run(
                [os.path.join(support.BIN, "gypsummillctl"), "--controls",
                 ",".join(self.operators), "--token", "operations-token"]
                + list(arguments), capture_output=True, check=False,
                timeout=60)
            output[:] = [done.stdout + done.stderr]
            return done.returncode == 0
        try:
            support.wait_until(run, " ".join(arguments), 60)
        except AssertionError as error:
            raise AssertionError("%s: %s" % (error, output)) from error

    def members(self):
        return {member["id"]: member
                for member in self.get("/status").json()["members"]}

    def add_replica(self, replica_id):
        """Starts an instance with an empty folder and waits until it votes."""
        link, operator = ("127.0.0.1:%d" % port
                          for port in support.free_ports(2))
        data = os.path.join(self.folder, "data-%d" % replica_id)
        os.mkdir(data)
        name = "control-%d" % replica_id
        self.links.append(link)
        self.operators.append(operator)
        self.controls.append(self.run(name, [
            "gypsummill-control", "--instance", name, "--failure-domain", "d",
            "--replica-id", str(replica_id), "--link-listen", link,
            "--operator-listen", operator, "--data", data]
            + self.key_arguments()))
        self.member_command("add-learner", str(replica_id), link)
        self.member_command("promote", str(replica_id))
        support.wait_until(
            lambda: self.members()[replica_id]["voter"], "a new voter")

    def remove_replica(self, replica_id):
        self.member_command("remove", str(replica_id))
        support.wait_until(
            lambda: replica_id not in self.members(), "a removed member")


class Writer(threading.Thread):
    """Edits one section repeatedly; a resend keeps its edit id."""

    def __init__(self, group, section):
        super().__init__(daemon=True)
        self.group = group
        self.section = section
        self.accepted = []  # (time, revision, slots)
        self.error = None
        self.ending = threading.Event()

    def run(self):
        base = slots = 0
        try:
            while not self.ending.is_set():
                slots += 1
                answer = self.group.edit(
                    self.section, "ordering-token",
                    "%s-%d" % (self.section, slots), base,
                    service(self.section, slots))
                assert answer.status == 200, answer.body
                revision = answer.json()["revision"]
                assert revision > base, (revision, base)
                base = revision
                self.accepted.append((time.monotonic(), revision, slots))
        except BaseException as error:  # raised by finish()
            self.error = error

    def wait_for_more(self, count=3):
        """Waits until count edits that began after the call are accepted."""
        before = len(self.accepted)
        support.wait_until(
            lambda: self.error or len(self.accepted) > before + count,
            "edits go on", 60)
        if self.error is not None:
            raise self.error

    def finish(self, case):
        """Checks that no accepted edit is lost or reverted."""
        self.ending.set()
        self.join()
        if self.error is not None:
            raise self.error
        history = self.group.get(
            "/document/history?section=" + self.section).json()
        revisions = [entry["revision"] for entry in history]
        case.assertEqual(revisions, sorted(revisions, reverse=True))
        accepted = [revision for _, revision, _ in self.accepted]
        case.assertEqual(revisions, accepted[::-1][:len(revisions)])
        text = self.group.get("/document/sections/" + self.section).body
        case.assertEqual(
            text.decode(), service(self.section, self.accepted[-1][2]))


class ControlFailures(unittest.TestCase):
    def setUp(self):
        self.group = Group()
        self.addCleanup(self.group.stop)

    def test_leader_killed_during_edits(self):
        writer = Writer(self.group, "orders")
        writer.start()
        times = []
        for _ in range(KILLS):
            writer.wait_for_more()
            victim = self.group.controls[self.group.leader()]
            killed = time.monotonic()
            victim.kill()
            before = len(writer.accepted)
            writer.wait_for_more()
            # One answer may have been in flight when the leader was killed.
            times.append(writer.accepted[before + 1][0] - killed)
            victim.start()
            support.wait_until(
                lambda: all(self.group.state(i).get("leader", "0") != "0"
                            for i in range(3)), "all follow again")
        writer.finish(self)
        print("kill -9 of the leader, s until the next accepted edit: "
              + ", ".join("%.2f" % took for took in sorted(times)))

    def test_frozen_leader_steps_down(self):
        first = self.group.edit("orders", "ordering-token", "one", 0,
                                service("orders", 1)).json()["revision"]
        old = self.group.leader()
        address = self.group.operators[old]
        self.group.controls[old].signal(signal.SIGSTOP)
        # Sent while it is frozen; answered, if at all, once it resumes.
        delayed = [
            support.background(
                self.group.edit_once, address, "orders", "ordering-token",
                "late", first, service("orders", 99), 60),
            support.background(
                support.request, address, "GET",
                API + "/document/sections/orders", None, None, 60)]
        started = time.monotonic()
        answer = self.edit_elsewhere(old, first)
        took = time.monotonic() - started
        time.sleep(max(0, 4 * ELECTION_S - took))
        self.group.controls[old].signal(signal.SIGCONT)
        edit, read = delayed[0].take(), delayed[1].take()
        self.assertNotEqual(edit.status, 200, edit.body)
        if read.status == 200:
            self.assertEqual(read.body.decode(), service("orders", 2))
        support.wait_until(
            lambda: self.group.state(old).get("role") == "follower",
            "the old leader follows")
        text = self.group.get("/document/sections/orders")
        self.assertEqual(text.body.decode(), service("orders", 2))
        history = self.group.get(
            "/document/history?section=orders").json()
        self.assertEqual([entry["edit_id"] for entry in history],
                         ["two", "one"])
        self.assertGreater(answer.json()["revision"], first)
        print("leader frozen: %.2f s to an accepted edit elsewhere; its own "
              "answers after %.0f s: edit %d, read %d" % (
                  took, 4 * ELECTION_S, edit.status, read.status))

    def edit_elsewhere(self, frozen, base):
        others = [a for i, a in enumerate(self.group.operators)
                  if i != frozen]

        def attempt():
            for address in others:
                try:
                    answer = self.group.edit_once(
                        address, "orders", "ordering-token", "two", base,
                        service("orders", 2))
                except LOST_ANSWER:
                    continue
                if answer.status not in (503, 504):
                    return answer
            return None
        answer = support.wait_until(attempt, "an edit elsewhere", 60)
        self.assertEqual(answer.status, 200, answer.body)
        return answer

    def test_replacing_two_lost_data_folders(self):
        writer = Writer(self.group, "orders")
        writer.start()
        writer.wait_for_more()
        lost = self.group.leader()
        self.group.controls[lost].kill()
        shutil.rmtree(self.group.data(lost))
        os.mkdir(self.group.data(lost))
        # Restarted by mistake under its old id, it never takes part again.
        self.group.controls[lost].start()
        support.wait_until(
            lambda: not self.group.controls[lost].running() or
            "under a new id" in self.group.controls[lost].log(),
            "the empty folder is refused")
        self.assertNotIn(self.group.state(lost).get("role"),
                         ("leader", "candidate"))
        self.group.controls[lost].kill()
        started = time.monotonic()
        self.group.add_replica(4)
        self.group.remove_replica(lost + 1)
        repaired = time.monotonic() - started
        # A second instance is lost right after the repair.
        second = self.group.leader()
        second = second if second != 3 else (lost + 1) % 3
        self.group.controls[second].kill()
        shutil.rmtree(self.group.data(second))
        killed = time.monotonic()
        writer.wait_for_more()
        took = time.monotonic() - killed
        self.group.add_replica(5)
        self.group.remove_replica(second + 1)
        writer.wait_for_more()
        writer.finish(self)
        self.assertEqual(
            sorted(self.group.members()),
            sorted({1, 2, 3, 4, 5} - {lost + 1, second + 1}))
        print("lost folder: repaired in %.2f s; second one lost at once: "
              "%.2f s until edits went on" % (repaired, took))

    def test_torn_tail_is_truncated_and_damage_is_rejected(self):
        writer = Writer(self.group, "orders")
        writer.start()
        writer.wait_for_more(20)
        index = self.group.follower()
        control = self.group.controls[index]

        def log_file():
            return sorted(glob.glob(
                os.path.join(self.group.data(index), "log-*")))[-1]
        control.kill()
        os.truncate(log_file(), os.path.getsize(log_file()) - 3)
        control.start()
        support.wait_until(
            lambda: self.group.state(index).get("role") == "follower" and
            self.group.state(index).get("leader") != "0",
            "the torn tail is truncated")
        writer.wait_for_more()
        control.kill()
        with open(log_file(), "r+b") as log:
            log.seek(os.path.getsize(log_file()) // 2)
            byte = log.read(1)
            log.seek(-1, os.SEEK_CUR)
            log.write(bytes([byte[0] ^ 0x10]))
        control.start()
        self.assertNotEqual(control.wait(), 0)
        self.assertIn("is damaged at byte", control.log())
        self.assertIn("under a new id", control.log())
        writer.wait_for_more()
        writer.finish(self)

    def test_document_survives_restarts_after_many_changes(self):
        bases = {"many-%d" % number: 0 for number in range(MANY_SECTIONS)}

        def write(section, numbers):
            for number in numbers:
                answer = self.group.edit(
                    section, "ordering-token",
                    "%s-%d" % (section, number), bases[section],
                    service(section, 1 + number))
                assert answer.status == 200, answer.body
                bases[section] = answer.json()["revision"]
        done = 0
        for changes in CHANGES:
            count = changes // MANY_SECTIONS
            started = time.monotonic()
            for runner in [support.background(
                    write, section, range(done, count)) for section in bases]:
                runner.take()
            done = count
            took = time.monotonic() - started
            before = self.group.get("/document").body
            for control in self.group.controls:
                control.kill()
            started = time.monotonic()
            for control in self.group.controls:
                control.start()
            after = self.group.get("/document").body
            print("%d changes, %.1f s for the last of them; %.2f s from the "
                  "restart of all to the same %d bytes" % (
                      changes, took, time.monotonic() - started, len(after)))
            self.assertEqual(after, before)


if __name__ == "__main__":
    unittest.main(verbosity=2)
