"""Invalid settings are all reported at once, with exit code 78."""

import os
import subprocess
import unittest

import support

WRONG = {
    "gypsummill-entry": ["--listen", "nowhere", "--connections-max", "1",
                         "--log-level", "loud"],
    "gypsummill-target": ["--listen", "nowhere", "--slots", "0",
                          "--log-level", "loud"],
    "gypsummill-load": ["--entries", "nowhere", "--connections", "0",
                        "--quiet", "perhaps"],
}


class Settings(unittest.TestCase):
    def run_program(self, program, arguments):
        return subprocess.run([os.path.join(support.BIN, program)]
                              + arguments, capture_output=True, text=True,
                              timeout=30, check=False)

    def test_three_invalid_settings_are_all_reported(self):
        for program, arguments in WRONG.items():
            done = self.run_program(program, arguments)
            self.assertEqual(done.returncode, 78, done.stderr)
            for flag in arguments[::2]:
                self.assertIn("setting " + flag, done.stderr)

    def test_version_and_help(self):
        for program in WRONG:
            self.assertEqual(
                self.run_program(program, ["--version"]).returncode, 0)
            self.assertIn("--seed",
                          self.run_program(program, ["--help"]).stdout)


if __name__ == "__main__":
    unittest.main()
