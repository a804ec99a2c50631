import unittest

from standins.acks_check import AcksCheck, Scope

END_S = 100.0


class AcksCheckTest(unittest.TestCase):
    """Tests of the judge of acknowledgements: which records break the rule."""

    def setUp(self):
        self.check = AcksCheck()
        self.listed = 0

    def add_ends(self, *rows, worker="w1", pool="desk"):
        """Add ends of a worker: when each was listed and acknowledged, None if not."""
        for listed_s, acknowledged_s in rows:
            self.listed += 1
            self.check.list_end(worker, self.listed, 1, listed_s, pool)
            if acknowledged_s is not None:
                self.check.acknowledge(worker, self.listed, 1, acknowledged_s)

    def add_cancels(self, *rows):
        """Add cancels: when each was first sent and answered, None if not."""
        for number, (sent_s, answered_s) in enumerate(rows):
            self.check.send_cancel(f"{number}", "price", sent_s)
            if answered_s is not None:
                self.check.answer_cancel(f"{number}", answered_s)

    def disturb(self, scope, begun_s, ended_s, name=""):
        self.check.begin_disturbance(scope, "cause", begun_s, name)
        if ended_s is not None:
            self.check.end_disturbance(scope, "cause", ended_s, name)

    def count(self, name):
        """Return a count of the summary."""
        pairs = (text.split("=") for text in self.check.summary(END_S).split())
        return float(dict(pairs)[name])

    # Guards against ends that stay unacknowledged in calm without a finding.
    def test_shares_of_late_ends(self):
        prompt, late, open_end = (10.0, 10.5), (10.0, 14.5), (10.0, None)
        cases = (
            ("all in time", [prompt] * 5, 0, 0),
            ("just in time", [(10.0, 14.0)], 0, 0),
            ("a fifth is late", [prompt] * 4 + [late], 0, 1),
            ("more than a fifth, too few for a window", [prompt] * 3 + [late], 1, 1),
            ("more than a fifth, of the run and of a window", [late] * 3, 2, 3),
            ("never acknowledged", [open_end] * 3, 2, 3),
            ("not judged yet as the run ends", [(97.0, None)] * 3, 0, 0),
            ("a window among others", [late] * 3 + [(50.0, 50.1)] * 50, 1, 3),
            ("late ones in several windows", [
                (10.0 + 11.0 * n, 15.0 + 11.0 * n) for n in range(3)
            ] + [(50.0, 50.1)] * 50, 0, 3),
        )  # fmt: skip
        for name, rows, findings, late_count in cases:
            with self.subTest(name):
                self.setUp()
                self.add_ends(*rows)
                self.assertEqual(len(self.check.check(END_S)), findings)
                self.assertEqual(self.count("ends_late"), late_count)

    # Guards against a disturbance that excuses too much, or too little.
    def test_disturbances(self):
        # Ends are listed from 10 s to 16 s. Findings: of the run, and of a window.
        cases = (
            ("the store, stable for 3 s before", Scope.STORE, (5.0, 6.0), 2, 3),
            ("the store, stable for 4 s of them", Scope.STORE, (8.0, 8.9), 2, 3),
            ("the store, stable for less", Scope.STORE, (8.0, 9.1), 0, 3),
            ("the store, still disturbed", Scope.STORE, (9.0, None), 0, 0),
            ("a link, until 4 s before", Scope.LINK, (9.0, 11.9), 2, 3),
            ("a link, until later", Scope.LINK, (9.0, 12.1), 0, 3),
            ("a link in the midst", Scope.LINK, (13.0, 13.1), 0, 3),
            ("a process", Scope.PROCESS, (12.0, 12.1), 1, 3),
            ("a process, long before", Scope.PROCESS, (5.0, 6.0), 2, 3),
            ("the worker", Scope.WORKER, (9.0, 12.1), 0, 3),
            ("the worker, still disturbed", Scope.WORKER, (9.0, None), 0, 0),
            ("callers", Scope.CALLERS, (9.0, None), 2, 3),
        )
        for name, scope, span, findings, judged in cases:
            with self.subTest(name):
                self.setUp()
                self.disturb(scope, *span, "w1" if scope is Scope.WORKER else "")
                self.add_ends(*[(10.0, 16.0)] * 3)
                self.assertEqual(len(self.check.check(END_S)), findings)
                self.assertEqual(self.count("ends_judged"), judged)

    # Guards against pools that are late and outweighed by others.
    def test_pools_and_workers_by_themselves(self):
        self.add_ends(*[(10.0, 10.1)] * 50)
        self.add_ends(*[(10.0, 15.0)] * 3, worker="w2", pool="floor")
        self.assertEqual(
            [text.partition(" not ")[0] for text in self.check.check(END_S)],
            [
                "ACKS: the run: 3 of 3 ends of pool floor",
                "ACKS: 10 s of calm from 10.000: 3 of 3 ends of pool floor",
            ],
        )
        self.disturb(Scope.WORKER, 9.0, None, "w1")
        self.assertEqual(len(self.check.check(END_S)), 2)
        self.disturb(Scope.WORKER, 9.0, None, "w2")
        self.assertEqual(self.check.check(END_S), [])

    # Guards against a short disturbance whose ends are outweighed by later ones.
    def test_ends_that_wait_as_a_stretch_begins(self):
        self.disturb(Scope.STORE, 4.0, 9.0)
        self.add_ends(*[(5.0, 17.0)] * 30, *[(40.0, 40.1)] * 1_000)
        (finding,) = self.check.check(END_S)
        self.assertIn("10 s of calm from 12.000: 30 of 30 ends", finding)

    def test_lost_ends(self):
        for name, lost_s, findings in (
            ("lost before they are late", 13.9, 0),
            ("lost after they are late", 14.1, 2),
        ):
            with self.subTest(name):
                self.setUp()
                for number in (1, 2, 3):
                    self.check.list_end("w1", 1, number, 10.0)
                self.check.lose("w1", 1, lost_s)
                self.check.acknowledge("w1", 1, 3, 20.0)
                self.assertEqual(len(self.check.check(END_S)), findings)

    def test_one_acknowledgement_of_several_ends(self):
        for number in (1, 2, 3):
            self.check.list_end("w1", 1, number, 10.0 + number)
        self.check.acknowledge("w1", 1, 2, 13.5)
        self.check.acknowledge("w1", 2, 3, 13.6)
        self.assertEqual(self.count("ends_judged"), 3)
        self.assertEqual(self.count("ends_late"), 1)
        self.assertEqual(self.count("ends_p90"), 87.0)

    # Guards against cancels that stay unanswered in calm without a finding.
    def test_shares_of_late_cancels(self):
        prompt, late = (10.0, 10.5), (10.0, 14.5)
        cases = (
            ("two are late", [late] * 2, (), 0),
            ("three are late", [late] * 3, (), 2),
            ("never answered", [(10.0, None)] * 3, (), 2),
            ("a tenth is late", [late] * 3 + [prompt] * 27, (), 0),
            ("a tenth of the run", [late] * 3 + [(30.0, 30.1)] * 27, (), 1),
            ("more than a tenth", [late] * 3 + [prompt] * 26, (), 2),
            ("no such queue", [late] * 3, (Scope.QUEUE, 9.0, 11.0, "price"), 0),
            ("no other queue", [late] * 3, (Scope.QUEUE, 9.0, 11.0, "month"), 2),
            ("late callers", [late] * 3, (Scope.CALLERS, 12.0, 12.5), 0),
        )
        for name, rows, disturbance, findings in cases:
            with self.subTest(name):
                self.setUp()
                if disturbance:
                    self.disturb(*disturbance)
                self.add_cancels(*rows)
                self.assertEqual(len(self.check.check(END_S)), findings)

    def test_cancels_that_are_given_up(self):
        self.add_cancels(*[(10.0, None)] * 3)
        for number in range(3):
            self.check.give_up_cancel(f"{number}", 13.0)
        self.assertEqual(self.check.check(END_S), [])

    def test_summary(self):
        self.disturb(Scope.PROCESS, 8.0, 8.5)
        self.add_ends(*[(10.0, 10.2)] * 8, (20.0, 26.0), (10.0, 17.0))
        self.add_cancels((10.0, 10.3))
        self.assertEqual(
            self.check.summary(END_S),
            "ends_judged=10 ends_late=2 ends_late_untroubled=1 ends_p90=6.000 "
            "ends_latest=7.000 cancels_judged=1 cancels_late=0 "
            "cancels_late_untroubled=0 cancels_p90=0.300 cancels_latest=0.300",
        )


if __name__ == "__main__":
    unittest.main()
