import unittest

from dogwoodlever.platform_clients import RunOrder, SyncRequest
from examples.demo import finished_once
from standins.worker_machine import WorkerMachine


def record(outcome, end_lost=False):
    return {"outcome": outcome, "end_lost": end_lost}


FINISHED, END_LOST = record("finished"), record("finished", True)
STOPPED = record("stopped")


class FinishedOnceTest(unittest.TestCase):
    CASES = [
        ("once", [FINISHED], True),
        ("after an eviction", [STOPPED, FINISHED], True),
        ("again, its end was lost", [END_LOST, FINISHED], True),
        ("its end was lost but known", [END_LOST], True),
        ("twice", [FINISHED, FINISHED], False),
        ("twice after a lost end", [END_LOST, FINISHED, FINISHED], False),
        ("never", [STOPPED], False),
    ]

    def test_finished_once(self):
        for name, records, expected in self.CASES:
            with self.subTest(name):
                self.assertEqual(finished_once(records), expected)

    def test_power_loss_marks_unacknowledged_ends(self):
        for is_acknowledged in (False, True):
            with self.subTest(is_acknowledged=is_acknowledged):
                machine = WorkerMachine("w", 4.0)
                order = RunOrder("t", 1, "c", 1.0, 1.0, 1, 0, 1.0, 0.0)
                boot_id = machine.boot_id()
                machine.sync(
                    SyncRequest("c", 1, 1, boot_id, 9.0, 9.0, run=(order,)), 0.0
                )
                report = machine.sync(SyncRequest("c", 1, 2, boot_id, 9.0, 9.0), 2.0)
                self.assertEqual([end.outcome for end in report.ended], ["finished"])
                if is_acknowledged:
                    acknowledged = report.ended[0]
                    machine.sync(
                        SyncRequest(
                            "c", 1, 3, boot_id, 9.0, 9.0, forget=(acknowledged,)
                        ),
                        2.1,
                    )
                machine.power_off(3.0)
                lost = [run.end_lost for run in machine.records]
                self.assertEqual(lost, [not is_acknowledged])


if __name__ == "__main__":
    unittest.main()
