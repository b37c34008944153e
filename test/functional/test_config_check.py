"""gypsummillctl config check: what it finds in good and broken configs, its
exit codes, and that it prints no key."""

import copy
import json
import os
import subprocess
import tempfile
import unittest

from platform_bed import Testbed
from support import BIN, EXAMPLES

EXAMPLE = os.path.join(EXAMPLES, "platform.json")
SECRET = "s3cr3t"  # in each key of the tests, and in no other text
GOOD, WARNINGS, ERRORS, UNREADABLE, USAGE = 0, 1, 2, 3, 64


def two_accounts():
    """Returns a good config: a public and a closed route, two accounts."""
    with open(EXAMPLE, encoding="utf-8") as file:
        config = json.load(file)
    for i, account in enumerate(config["tenants"]):
        account["api_keys"] = ["%s-%d-%d" % (SECRET, i, k) for k in range(2)]
    return config


def no_accounts():
    """Returns a good config without accounts."""
    config = two_accounts()
    del config["tenants"]
    del config["hosts"][0]["paths"][1]["public"]
    return config


class ConfigCheck(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def write(self, config, name="config.json"):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(config if isinstance(config, str)
                       else json.dumps(config))
        return path

    def run_check(self, *arguments):
        """Returns the exit code and the output; no key may be in it."""
        done = subprocess.run(
            [os.path.join(BIN, "gypsummillctl"), "config", "check",
             *arguments], capture_output=True, text=True, timeout=60)
        self.assertNotIn(SECRET, done.stdout + done.stderr)
        return done.returncode, done.stdout + done.stderr

    def check_json(self, config, *arguments):
        code, output = self.run_check(
            self.write(config), "--json", *arguments)
        return code, json.loads(output)

    def assert_finding(self, config, code, severity, place, part,
                       *arguments):
        got, result = self.check_json(config, *arguments)
        found = [f for f in result["findings"] if f["severity"] == severity
                 and f["place"] == place and part in f["reason"]]
        self.assertTrue(found, result)
        self.assertEqual(got, code, result)

    def test_good_configs_and_the_example_of_the_docs(self):
        """A finding in a good config would teach operators to ignore it."""
        for config in (two_accounts(), no_accounts()):
            code, result = self.check_json(config)
            self.assertEqual((code, result["findings"]), (GOOD, []))
            self.assertNotIn("differences", result)
        code, output = self.run_check(EXAMPLE)
        self.assertEqual((code, output), (GOOD, "errors: 0, warnings: 0\n"))

    def test_config_that_control_refuses(self):
        """The place of a refusal is that of the parser's message."""
        config = two_accounts()
        config["tenants"][1]["api_keys"].append(SECRET + "-0-0")
        self.assert_finding(
            config, ERRORS, "error", "document", "have the same key")
        config = two_accounts()
        config["hosts"][0]["paths"][0]["kind"] = "keyed"
        self.assert_finding(config, ERRORS, "error", "route", "kind")
        config["tenants"][0]["rate_per_s"] = -1
        self.assert_finding(config, ERRORS, "error", "account", "rate_per_s")
        config["services"].append({"name": "orders"})
        self.assert_finding(config, ERRORS, "error", "service", "twice")
        self.assert_finding("{\"tenants\": \"" + SECRET, ERRORS, "error",
                            "document", "no JSON")

    def test_routes_that_serve_nothing(self):
        config = two_accounts()
        for part in config["hosts"][0]["paths"][0]["traffic_split"]:
            part["weight"] = 0
        self.assert_finding(config, ERRORS, "error", "route", "weights are 0")
        self.assert_finding(
            config, ERRORS, "warning", "service", "no route sends")
        config = two_accounts()
        config["hosts"][0]["host"] += ":8080"
        self.assert_finding(config, ERRORS, "error", "route", "without port")

    def test_accounts_and_limits_that_contradict(self):
        config = two_accounts()
        config["tenants"][1]["api_keys"] = []
        config["tenants"][0]["burst"] = 0
        config["hosts"][0]["paths"][1]["target_latency_ms"] = 9000
        for place, part in (("account", "it has no key"),
                            ("account", "burst of 0"),
                            ("route", "below the objective")):
            self.assert_finding(config, WARNINGS, "warning", place, part)
        self.assert_finding(
            two_accounts(), WARNINGS, "warning", "account", "its rate of 50",
            "--capacity", "orders=30", "--capacity", "orders-next=10")
        self.assert_finding(
            two_accounts(), WARNINGS, "warning", "route", "no second one",
            "--retry-ratio", "0")

    def test_values_without_effect(self):
        """The parser takes the default for them, so that nothing shows it."""
        config = no_accounts()
        config["hosts"][0]["paths"][0]["public"] = False
        self.assert_finding(
            config, WARNINGS, "warning", "route", "without \"tenants\"")
        config["hosts"][0]["paths"][0]["priority"] = "high"
        self.assert_finding(
            config, WARNINGS, "warning", "route", "\"priority\"")
        config["services"][0]["max_conns"] = -1
        self.assert_finding(
            config, WARNINGS, "warning", "service", "\"max_conns\"")
        config["hosts"].append({"host": "empty.example", "paths": []})
        self.assert_finding(config, WARNINGS, "warning", "host", "404")

    def changed(self):
        """Returns a config, a change of it, and the differences."""
        before, after = two_accounts(), two_accounts()
        after["version"] = 2
        after["hosts"][0]["paths"][0]["timeout_ms"] = 4000
        after["hosts"].append(copy.deepcopy(after["hosts"][0]))
        after["hosts"][1]["host"] = "new.example"
        after["hosts"][1]["paths"].pop()
        after["services"][0]["health_path"] = "/ready"
        keys = after["tenants"][0]["api_keys"]
        keys[:1] = [SECRET + "-new-1", SECRET + "-new-2"]
        after["tenants"].pop()
        return before, after, [
            ("changed", "document", None, "version 1 -> 2"),
            ("added", "host", "new.example", "is new"),
            ("added", "route", "place", "prefix \"/orders/\""),
            ("changed", "route", "place", "timeout ms 3000 -> 4000"),
            ("changed", "service", "orders",
             "health path \"/health\" -> \"/ready\""),
            ("changed", "account", "acme",
             "keys added: 2, keys withdrawn: 1"),
            ("removed", "account", "globex", "keys withdrawn: 2")]

    def test_differences_from_a_file_and_an_instance(self):
        """Of keys only numbers are told, from either source."""
        before, after, expected = self.changed()
        bed = Testbed()
        self.addCleanup(bed.close)
        url = "http://%s:%d" % (bed.instances[0].ip, bed.port + 2)
        # There is no config yet.
        code, output = self.run_check(self.write(after), "--against", url)
        self.assertEqual(code, UNREADABLE, output)
        bed.set_config(before)
        for against in (self.write(before, "before.json"), url, url + "/"):
            code, result = self.check_json(after, "--against", against)
            self.assertEqual(code, GOOD, result)
            self.assertEqual(
                [(d["change"], d["place"], d.get("name"), d["text"])
                 for d in result["differences"]], expected)
            code, output = self.run_check(
                self.write(after), "--against", against)
            self.assertIn("errors: 0, warnings: 0, differences: 7", output)
        # Control refuses the version that is an error, and takes the other.
        stale = dict(after, version=1)
        self.assertEqual(
            self.check_json(stale, "--against", url)[0], ERRORS)
        self.assertEqual(bed.put_config(stale, 1), 400)
        self.assertEqual(bed.put_config(after, 1), 200)

    def test_version_that_control_would_refuse(self):
        before, after, _ = self.changed()
        path = self.write(before, "before.json")
        after["version"] = 1
        self.assert_finding(after, ERRORS, "error", "document",
                            "version 1 is not above 1", "--against", path)
        self.assertEqual(
            self.check_json(before, "--against", path)[0], GOOD)

    def test_what_cannot_be_read(self):
        path = self.write(two_accounts())
        missing = os.path.join(self.folder, "missing")
        for arguments in ((missing,), (path, "--against", missing),
                          (path, "--against", "http://127.0.0.1:1"),
                          (path, "--against", self.write("{", "broken"))):
            self.assertEqual(self.run_check(*arguments)[0], UNREADABLE)
        for arguments in ((), (path, path), (path, "--capacity", "x"),
                          (path, "--retry-ratio", "-1"),
                          (path, "--unknown")):
            self.assertEqual(self.run_check(*arguments)[0], USAGE)

    def test_names_cannot_add_lines(self):
        config = no_accounts()
        config["services"].append({"name": "x\nerror: forged"})
        code, output = self.run_check(self.write(config))
        self.assertEqual(code, WARNINGS)
        self.assertIn("x?error: forged", output)
        self.assertEqual(output.count("\n"), 2)


if __name__ == "__main__":
    unittest.main()
