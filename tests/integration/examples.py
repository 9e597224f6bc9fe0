"""The examples of both deployments are complete: the commands find nothing wrong with them."""

import glob
import os
import subprocess
import unittest

import harness

EXAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "examples")


class Examples(unittest.TestCase):
    def check(self, command, pattern):
        files = glob.glob(os.path.join(EXAMPLES, pattern))
        self.assertEqual(len(files), 2, pattern)
        for path in files:
            done = subprocess.run([f"{harness.ClusterTest.build}/vanilladyke", command, "check", path],
                                  capture_output=True, text=True, timeout=harness.WAIT_SECONDS, check=False)
            self.assertEqual(done.returncode, 0, done.stderr)

    def test_bundles(self):
        self.check("bundle", "*/bundle.jsonc")

    def test_host_settings(self):
        self.check("settings", "*/host.jsonc")


if __name__ == "__main__":
    harness.main()
