"""Settings of every program: all errors are reported at once, flags override
the environment, help has groups and units, exit codes follow sysexits(3)."""

import os
import subprocess
import unittest

BIN = os.environ.get("GYPSUMMILL_BIN", "../../build/bin")

# Three invalid settings per program: two by flag, one by environment.
WRONG = {
    "gypsummill-control": (
        {"election": "nine", "link-listen": "localhost:1"},
        {"GYPSUMMILL_LOG_LEVEL": "loud"}),
    "gypsummill-entry": (
        {"heartbeat": "soon", "listen": "nowhere"},
        {"GYPSUMMILL_LOG_LEVEL": "loud"}),
    "gypsummill-target": (
        {"slots": "none", "listen": "127.0.0.1:99999"},
        {"GYPSUMMILL_LOG_LEVEL": "loud"}),
    "gypsummill-load": (
        {"connections": "many", "entries": "localhost:1"},
        {"GYPSUMMILL_SEED": "x"}),
    "gypsummillctl": (
        {"controls": "localhost:1", "output": "xml"},
        {"GYPSUMMILL_TIMEOUT": "x"}),
}


def run(program, *arguments, environment=None):
    return subprocess.run(
        [os.path.join(BIN, program), *arguments], text=True,
        env={"PATH": "/usr/bin", **(environment or {})},
        capture_output=True, check=False)


class Settings(unittest.TestCase):
    def test_all_errors_are_printed_at_once(self):
        for program, (flags, environment) in WRONG.items():
            arguments = ["--%s=%s" % item for item in flags.items()]
            result = run(program, *arguments, environment=environment)
            with self.subTest(program=program):
                self.assertEqual(result.returncode, 78, result.stderr)
                for name, value in flags.items():
                    line = [one for one in result.stderr.splitlines()
                            if "--%s " % name in one]
                    self.assertEqual(len(line), 1, result.stderr)
                    self.assertIn('from the flag): "%s" is not' % value,
                                  line[0])
                for name, value in environment.items():
                    self.assertIn('%s, from the environment): "%s" is not'
                                  % (name, value), result.stderr)

    def test_flag_overrides_environment(self):
        result = run("gypsummill-load", "--seed=7", "--check-settings",
                     "--entries=127.0.0.1:1", "--mix=x", "--phases=1:1",
                     environment={"GYPSUMMILL_SEED": "x"})
        self.assertEqual(result.returncode, 0, result.stderr)

    def test_dependent_settings_are_checked(self):
        result = run(
            "gypsummill-control", "--instance=c", "--failure-domain=d",
            "--replica-id=1", "--link-listen=127.0.0.1:1",
            "--operator-listen=127.0.0.1:2", "--data=/tmp",
            "--election=300", "--heartbeat=200", "--check-settings")
        self.assertEqual(result.returncode, 78)
        self.assertIn("--heartbeat", result.stderr)

    def test_help_and_version(self):
        for program in WRONG:
            with self.subTest(program=program):
                result = run(program, "--help")
                self.assertEqual(result.returncode, 0)
                self.assertIn("GYPSUMMILL_SOME_NAME", result.stdout)
                result = run(program, "--version")
                self.assertEqual(result.returncode, 0)
                self.assertTrue(result.stdout.startswith(program + " "))

    def test_unknown_flag_is_usage_error(self):
        for program in WRONG:
            with self.subTest(program=program):
                self.assertEqual(run(program, "--nonsense").returncode, 64)


if __name__ == "__main__":
    unittest.main()
