"""The document on a control group of real processes: concurrent edits,
resends, ownership, keys, restarts and the time until a change is in force."""

import os
import re
import shutil
import socket
import subprocess
import tempfile
import time
import unittest

import support

API = "/gypsummill/v1"
EDITORS = 4
ROUNDS = 15
CHANGES = 500
STATE_POLLS = 25


def put_headers(token, edit_id, base):
    headers = {"Authorization": "Bearer " + token,
               "Gypsummill-Edit-Id": edit_id,
               "Gypsummill-Author": "ann"}
    if base:
        headers["If-Match"] = '"%d"' % base
    else:
        headers["If-None-Match"] = "*"
    return headers


class Group(support.Fleet):
    """A fleet whose operator ports are tried until the leader answers."""

    def call(self, method, path, headers=None, body=None, first=0):
        order = self.operators[first:] + self.operators[:first]

        def ask():
            for address in order:
                try:
                    answer = support.request(
                        address, method, API + path, headers, body)
                except OSError:
                    continue
                if answer.status not in (503, 504):
                    return answer
            return None
        return support.wait_until(ask, "control answers " + path)

    def put(self, section, token, edit_id, base, text, first=0):
        return self.call("PUT", "/document/sections/" + section,
                         put_headers(token, edit_id, base),
                         text.encode(), first)

    def restart_controls(self):
        for control in self.controls:
            control.kill()
        for control in self.controls:
            control.start()

    def ctl(self, *arguments, tokens=None):
        environment = dict(os.environ)
        path = os.path.join(self.folder, "tokens")
        with open(path, "w", encoding="utf-8") as out:
            out.write(tokens or "bootstrap %s\noperations operations-token\n"
                      "ordering ordering-token\n" % support.BOOTSTRAP_TOKEN)
        return subprocess.run(
            [os.path.join(support.BIN, "gypsummillctl"), "--controls",
             ",".join(self.operators), "--token-file", path,
             "--timeout", "30000"] + list(arguments),
            env=environment, capture_output=True, check=False, timeout=90)


def service(slots):
    return support.sections_of(support.document())[2][2].replace(
        "target_slots: 4", "target_slots: %d" % slots)


class DocumentGroup(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.group = Group(controls=3, entries=0)
        cls.addClassCleanup(cls.group.stop)
        cls.write("fleet", support.BOOTSTRAP_TOKEN, 0)
        cls.write("callers", "operations-token", 1)

    @classmethod
    def write(cls, name, token, number):
        text = support.sections_of(support.document())[number][2]
        answer = cls.group.put(name, token, "first-" + name, 0, text)
        assert answer.status == 200, answer.body

    def new_section(self, name, slots=4):
        text = service(slots).replace("section: ordering",
                                      "section: " + name)
        return text.replace("orders.test", name + ".test")

    def test_concurrent_edits_have_one_winner(self):
        base = self.group.put("race", "ordering-token", "race-new", 0,
                              self.new_section("race")).json()["revision"]
        for number in range(ROUNDS):
            runners = [support.background(
                self.group.put, "race", "ordering-token",
                "race-%d-%d" % (number, editor), base,
                self.new_section("race", 10 + EDITORS * number + editor),
                editor % 3)
                for editor in range(EDITORS)]
            answers = [runner.take() for runner in runners]
            statuses = sorted(answer.status for answer in answers)
            self.assertEqual(statuses, [200] + [409] * (EDITORS - 1))
            won = [a for a in answers if a.status == 200][0].json()
            self.assertGreater(won["revision"], base)
            for answer in answers:
                if answer.status == 409:
                    self.assertIn("target_slots", answer.json()["detail"])
            base = won["revision"]
        print("%d rounds of %d racing edits: one winner each, the others "
              "get the diff" % (ROUNDS, EDITORS))

    def test_resend_after_a_lost_answer(self):
        text = self.new_section("lost")
        address = next(a for a in self.group.operators if support.request(
            a, "GET", API + "/members").status == 200)
        host, port = address.rsplit(":", 1)
        head = "PUT %s/document/sections/lost HTTP/1.1\r\nHost: c\r\n" % API
        for name, value in put_headers(
                "ordering-token", "lost-1", 0).items():
            head += "%s: %s\r\n" % (name, value)
        head += "Content-Length: %d\r\n\r\n" % len(text)
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(head.encode() + text.encode())
        # The answer is never read; wait until the edit is accepted.
        first = support.wait_until(
            lambda: self.group.call(
                "GET", "/document/sections/lost").status == 200,
            "the edit is accepted")
        self.assertTrue(first)
        answers = [self.group.put("lost", "ordering-token", "lost-1", 0,
                                  text, number) for number in range(3)]
        self.group.restart_controls()
        answers.append(self.group.put(
            "lost", "ordering-token", "lost-1", 0, text))
        revisions = {answer.json()["revision"] for answer in answers}
        self.assertEqual(len(revisions), 1)
        for answer in answers:
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.json()["resend"])
        history = self.group.call(
            "GET", "/document/history?section=lost").json()
        self.assertEqual(len(history), 1)

    def test_team_cannot_edit_other_teams_section(self):
        base = self.group.put("own", "ordering-token", "own-1", 0,
                              self.new_section("own")).json()["revision"]
        for number, token in enumerate(("operations-token", "guess", "")):
            answer = self.group.put("own", token, "own-foreign-%d" % number,
                                    base, self.new_section("own", 9))
            self.assertEqual(answer.status, 403, answer.body)
        self.assertEqual(
            self.group.call("DELETE", "/document/sections/own", put_headers(
                "operations-token", "own-delete", base)).status, 403)
        taken = self.new_section("own", 9).replace("team: ordering",
                                                   "team: operations")
        self.assertEqual(self.group.put("own", "operations-token", "own-take",
                                        base, taken).status, 403)

    def test_get_returns_the_accepted_bytes(self):
        text = self.new_section("bytes")
        odd = "# k\u0101rt\u012bba  \r\n" + text.rstrip("\n") + "  # end \t"
        answer = self.group.put("bytes", "ordering-token", "bytes-1", 0, odd)
        self.assertEqual(answer.status, 200, answer.body)
        got = self.group.ctl("get", "bytes")
        self.assertEqual(got.returncode, 0, got.stderr)
        self.assertEqual(got.stdout, odd.encode())
        changed = self.new_section("bytes", 7)
        self.group.put("bytes", "ordering-token", "bytes-2",
                       answer.json()["revision"], changed)
        old = self.group.ctl("get", "bytes", "--revision",
                             str(answer.json()["revision"]))
        self.assertEqual(old.stdout, odd.encode())

    def test_invalid_section_error_names_line_and_field(self):
        text = self.new_section("wrong").replace("queue_wait: 2s",
                                                 "queue_wait: 2")
        answer = self.group.put("wrong", "ordering-token", "wrong-1", 0, text)
        self.assertEqual(answer.status, 422)
        self.assertRegex(answer.json()["detail"],
                         r"section wrong, line \d+, service.queue_wait: "
                         r'found "2"; allowed: a duration')

    def test_ctl_exit_codes(self):
        path = os.path.join(self.group.folder, "policy.yaml")
        old = os.path.join(self.group.folder, "old.yaml")

        def write(slots):
            with open(path, "w", encoding="utf-8") as out:
                out.write(self.new_section("script", slots))
        write(4)
        self.assertEqual(self.group.ctl("diff", path).returncode, 1)
        self.assertEqual(self.group.ctl("apply", path).returncode, 0)
        self.assertEqual(self.group.ctl("diff", path).returncode, 0)
        shutil.copy(path, old)
        write(5)
        self.assertEqual(self.group.ctl("apply", path).returncode, 64)
        self.assertEqual(
            self.group.ctl("apply", path, "--base", old).returncode, 0)
        write(6)
        stale = self.group.ctl("apply", path, "--base", old)
        self.assertEqual(stale.returncode, 1)
        self.assertIn(b"+  target_slots: 5", stale.stderr)
        denied = self.group.ctl("apply", path, "--base", "current",
                                tokens="ordering operations-token\n")
        self.assertEqual(denied.returncode, 77, denied.stderr)
        with open(path, "a", encoding="utf-8") as out:
            out.write("nonsense: 1\n")
        self.assertEqual(self.group.ctl("apply", path).returncode, 65)
        self.assertEqual(self.group.ctl("delete", "script", "--base",
                                        "current").returncode, 0)
        self.assertEqual(self.group.ctl("get", "script").returncode, 1)

    def test_zz_document_survives_a_restart_after_500_changes(self):
        base = 0
        started = time.monotonic()
        for number in range(CHANGES):
            answer = self.group.put(
                "many", "ordering-token", "many-%d" % number, base,
                self.new_section("many", 1 + number))
            self.assertEqual(answer.status, 200, answer.body)
            self.assertGreater(answer.json()["revision"], base)
            base = answer.json()["revision"]
        took = time.monotonic() - started
        before = self.group.call("GET", "/document").body
        self.group.restart_controls()
        started = time.monotonic()
        after = self.group.call("GET", "/document").body
        print("%d changes one after another took %.1f s; %.2f s from the "
              "restart of all to the same %d bytes" % (
                  CHANGES, took, time.monotonic() - started, len(after)))
        self.assertEqual(after, before)


class DocumentInForce(unittest.TestCase):
    def test_apply_until_in_force_everywhere(self):
        with Group(controls=3, entries=3) as group:
            path = os.path.join(group.folder, "policy.yaml")
            with open(path, "w", encoding="utf-8") as out:
                out.write(support.document())
            done = group.ctl("apply", path, "--wait", "in-force")
            self.assertEqual(done.returncode, 0, done.stderr)
            times = []
            for slots in range(5, 15):
                with open(path, "w", encoding="utf-8") as out:
                    out.write(service(slots))
                done = group.ctl("apply", path, "--base", "current",
                                 "--wait", "in-force")
                self.assertEqual(done.returncode, 0, done.stderr)
                times.append(int(re.search(
                    rb"in force everywhere (\d+) ms", done.stderr).group(1)))
            print("apply to in force on 3 entries, ms: %s" % sorted(times))

    def test_ctl_status_drain_burn_and_members(self):
        with Group(controls=3, entries=2) as group:
            group.apply(support.document())
            target = group.start_target("ordering", wait=True)
            shown = group.ctl("status")
            self.assertIn(target.id.encode(), shown.stdout)
            self.assertIn(b"leader", shown.stdout)
            done = group.ctl("drain", target.id)
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertEqual(group.ctl("drain", "nobody").returncode, 1)

            def state():
                listed = group.call("GET", "/status").json()["targets"]
                return [t["state"] for t in listed if t["id"] == target.id]
            support.wait_until(lambda: state() == ["draining"],
                               "the target drains")
            refused = support.wait_until(
                lambda: self.call(group).status == 503,
                "no call reaches a draining target")
            self.assertTrue(refused)
            # Meanwhile the target keeps announcing itself as ready.
            for _ in range(STATE_POLLS):
                time.sleep(0.2)
                self.assertEqual(state(), ["draining"])
            burn = group.ctl("burn", "--output", "json")
            self.assertEqual(burn.returncode, 0, burn.stderr)
            svg = os.path.join(group.folder, "burn.svg")
            self.assertEqual(
                group.ctl("burn", "--svg", svg).returncode, 0)
            with open(svg, encoding="utf-8") as picture:
                self.assertIn("</svg>", picture.read())
            unwritable = group.ctl(
                "burn", "--svg", os.path.join(group.folder, "no", "burn.svg"))
            self.assertEqual(unwritable.returncode, 73, unwritable.stderr)
            members = group.ctl("members", "--output", "json")
            self.assertEqual(members.returncode, 0)
            self.assertEqual(members.stdout.count(b'"voter":true'), 3)
            # The team does not own the fleet section.
            refused = group.ctl("remove", "1",
                                tokens="ordering ordering-token\n")
            self.assertEqual(refused.returncode, 77, refused.stderr)
            members = group.ctl("members", "--output", "json")
            self.assertEqual(members.stdout.count(b'"voter":true'), 3)

    @staticmethod
    def call(group):
        return support.request(
            group.entries[0].address, "GET", "/x",
            {"Host": "orders.test",
             "Authorization": "Bearer " + support.TENANT_TOKEN})

    def test_unlisted_key_is_rejected(self):
        with Group(controls=3, entries=1) as group:
            group.apply(support.document())
            other = tempfile.mkdtemp(prefix="keys-", dir=group.folder)
            for name in ("control", "entry"):
                subprocess.run(
                    [os.path.join(support.BIN, "gypsummillctl"), "keys",
                     name, "--keys", other],
                    check=True, stdout=subprocess.DEVNULL)
            # The control key is right, but the entry's own key is not listed.
            shutil.copy(os.path.join(group.keys, "control.public"),
                        os.path.join(other, "control.public"))
            group.keys = other
            stranger = group.start_entry(1)
            support.wait_until(
                lambda: sum(support.metric(
                    address, "gypsummill_link_denied_total")
                    for address in group.operators) > 0,
                "the refused key is counted")
            self.assertNotEqual(support.request(
                stranger.operators, "GET", "/ready").status, 200)
            status = group.call("GET", "/status").json()
            self.assertNotIn(
                "entry-2", [entry["name"] for entry in status["entries"]])


if __name__ == "__main__":
    unittest.main(verbosity=2)
