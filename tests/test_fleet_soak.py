import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
# As a rule a run takes half a minute; a busy machine several times that.
TIMEOUT_S = 300
# A short one, and each seed that ever failed, with a line on its cause.
SEEDS = (1,)


class FleetSoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                command = [sys.executable, "-m", "tests.fleet_soak"]
                command += ["--seed", str(seed), "--duration-s", "8"]
                ran = subprocess.run(
                    command, cwd=ROOT, capture_output=True, timeout=TIMEOUT_S, text=True
                )
                self.assertEqual(ran.returncode, 0, ran.stdout[-2000:] + ran.stderr)


if __name__ == "__main__":
    unittest.main()
