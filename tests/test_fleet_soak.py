import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
# A run usually takes 30 s, and several times as long on a busy machine.
TIMEOUT_S = 300
# Seed, duration and options of short runs, and of each run that once failed, with its
# cause.
SEEDS = (
    (1, 8),
    # Runs on workers that refused connections were started elsewhere.
    (2, 20, "--refuses"),
    # A start order in flight reached the next incarnation of its worker.
    (107, 20),
    # SIGHUP arrived while a daemon was still importing modules.
    (109, 6),
    # Faults so rare that most answers are judged.
    (5602, 24, "--fault-interval-s", "10"),
    # A lost answer to the end of a job held back all acknowledgements in calm.
    (6201, 20, "--fault-interval-s", "10", "--faults", "lose_many_answers"),
)


class FleetSoakTest(unittest.TestCase):
    def test_guarantees_hold_under_faults(self):
        for seed, duration_s, *options in SEEDS:
            with self.subTest(seed=seed):
                command = [sys.executable, "-m", "tests.fleet_soak", *options]
                command += ["--seed", str(seed), "--duration-s", str(duration_s)]
                completed = subprocess.run(
                    command, cwd=ROOT, capture_output=True, timeout=TIMEOUT_S, text=True
                )
                self.assertEqual(
                    completed.returncode, 0, completed.stdout[-2000:] + completed.stderr
                )


if __name__ == "__main__":
    unittest.main()
