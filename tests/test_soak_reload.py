"""Reloads by the soak, also of daemons that have just started."""

import signal
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace
from unittest import mock

from twisted.internet.task import Clock

from standins.daemon_process import ROOT, DaemonProcess
from tests import soak_faults
from tests.soak_faults import SIGNAL_POLL_S, SoakFaults

PROGRAMS = (
    # Statement of a process, and whether it survives SIGHUP.
    ("pass", False),
    ("signal.signal(signal.SIGHUP, signal.SIG_IGN)", True),
    ("signal.signal(signal.SIGHUP, print)", True),
    ("signal.signal(signal.SIGUSR1, print)", False),
)


class ReloadTest(unittest.TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.daemon = DaemonProcess("vm0", "127.0.0.1", 1, Path(folder.name))
        self.addCleanup(self.daemon.close)

    def test_processes_that_survive(self):
        for statement, survives in PROGRAMS:
            with self.subTest(statement):
                program = f"import signal; {statement}; print(1, flush=True); input()"
                with subprocess.Popen(
                    [sys.executable, "-c", program],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                ) as process:
                    process.stdout.readline()
                    self.daemon.process = process
                    self.assertEqual(self.daemon.survives(signal.SIGHUP), survives)
                    process.communicate(b"\n")
                self.assertFalse(self.daemon.survives(signal.SIGHUP))

    # Guards against a soak that ends a process whose interpreter is starting, which no
    # program can prevent (seeds 107 and 37102).
    def test_reload_of_a_process_that_starts(self):
        for is_running in (True, False):
            with self.subTest(is_running=is_running):
                clock, sent = Clock(), []
                daemon = mock.Mock(is_running=True)
                daemon.survives.return_value = False
                daemon.signal = sent.append
                site = SimpleNamespace(daemons={"vm0": daemon})
                with mock.patch.object(soak_faults, "reactor", clock):
                    SoakFaults(site, 1, ())._reload()
                    clock.advance(SIGNAL_POLL_S)
                    self.assertEqual(sent, [])
                    daemon.is_running = is_running
                    daemon.survives.return_value = is_running
                    clock.advance(SIGNAL_POLL_S)
                self.assertEqual(sent, [signal.SIGHUP])

    # Guards against a daemon that a reload ends as it loads its libraries (seed 109).
    def test_reload_is_ignored_before_libraries_load(self):
        program = (
            "import signal, sys; from dogwoodlever.fleet_daemon import main; "
            "signal.signal = lambda number, handler: sys.exit("
            "number != signal.SIGHUP or handler != signal.SIG_IGN "
            "or 'twisted' in sys.modules); main(); sys.exit(1)"
        )
        command = [sys.executable, "-c", program]
        self.assertEqual(subprocess.run(command, cwd=ROOT).returncode, 0)


if __name__ == "__main__":
    unittest.main()
