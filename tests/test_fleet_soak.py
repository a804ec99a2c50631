import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
# As a rule a run takes half a minute; a busy machine several times that.
TIMEOUT_S = 300
# A short one, and each seed that ever failed, with a line on its cause.
CASES = (
    (1, 8),
    # A start under way reached the next life of its worker.
    (107, 20),
    # SIGHUP while a daemon's libraries loaded.
    (109, 6),
)


class FleetSoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        for seed, duration_s in CASES:
            with self.subTest(seed=seed):
                command = [sys.executable, "-m", "tests.fleet_soak"]
                command += ["--seed", str(seed), "--duration-s", str(duration_s)]
                ran = subprocess.run(
                    command, cwd=ROOT, capture_output=True, timeout=TIMEOUT_S, text=True
                )
                self.assertEqual(ran.returncode, 0, ran.stdout[-2000:] + ran.stderr)


if __name__ == "__main__":
    unittest.main()
