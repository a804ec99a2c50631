"""Short runs of the emulator."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
# A run usually takes 25 s, and several times as long on a busy machine.
TIMEOUT_S = 300
SIZE = ("--daemons", "4", "--workers", "12", "--load", "0.06", "--duration-s", "10")
PROCESSES = ("--worker-processes", "2", "--warm-up-s", "1")
# Workers return under new ids and are not cut off: the doubles in KNOWN-RED.txt need
# late orders and former ids, and a worker that is late itself may outlast its lease.
FAULTS = (
    "kill_leader",
    "freeze_leader",
    "roll",
    "hup",
    "store_down",
    "cut_leader_from_store",
    "remove_leader",
    "flap",
)


class EmulationTest(unittest.TestCase):
    # Guards against tasks that run twice, jobs that complete without a task, requests
    # without an answer at a stop, and answers by a version that was replaced.
    def test_tasks_run_once_under_faults(self):
        command = [sys.executable, "-m", "emulator", *SIZE, *PROCESSES]
        command += ["--seed", "1", "--same-id-share", "0"]
        for fault in FAULTS:
            command += ["--faults", fault]
        completed = subprocess.run(
            command, cwd=ROOT, capture_output=True, timeout=TIMEOUT_S, text=True
        )
        output = completed.stdout[-2000:] + completed.stderr[-4000:]
        self.assertIn("seed=1 ", completed.stdout, output)
        for rule in (
            "TWICE",
            "MIXED",
            "LOST",
            "CONFIG",
            "SERVED",
            "ROUTE",
            "LIMITS",
            "ACKS",
            "Traceback",
        ):
            self.assertNotIn(rule, output)


if __name__ == "__main__":
    unittest.main()
