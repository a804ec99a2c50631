import unittest
from dataclasses import replace
from functools import partial

import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.selectreactor import SelectReactor
from twisted.python.failure import Failure

from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import PollResult, RunId, StartOrder, TaskId
from dogwoodlever._http_client import HttpClient
from dogwoodlever._run_evidence import (
    OrderVerdict,
    PollVerdict,
    WorkerEvidence,
)
from dogwoodlever.platform import HttpFleetWorkerClient
from dogwoodlever.platform_errors import (
    CallNotSentError,
    ConnectionRefusedByWorkerError,
    OrderRefusedError,
    OtherIncarnationError,
    WorkerUnreachableError,
    WrongIncarnationError,
)
from tests.fleet_simulation import worker_entry

HOST = "127.0.0.1"
TOKEN = 7
BORN = 1
NEXT_BORN = 2
RUN = RunId(TaskId("5c0e7a21d94b36f8", 0, 1, 17), 2)
ORDER = StartOrder(RUN, "text")
BARE = ("/-/hold", {"fencing_token": TOKEN, "last_seen": 0})
OK = 200

# name, call, path, whether it changes something
CALLS = [
    ("start", lambda c, w: c.start(w, ORDER, 5, TOKEN), "/-/run-start", True),
    ("stop", lambda c, w: c.stop(w, RUN, TOKEN), "/-/run-stop", True),
    ("pace", lambda c, w: c.throttle(w, RUN, 50, TOKEN), "/-/pace", True),
    ("lease", lambda c, w: c.poll(w, TOKEN, 0, 5, 100), "/-/hold", True),
    ("acknowledgement", lambda c, w: c.poll(w, TOKEN, 57, 0, 0), "/-/hold", True),
    ("probe", lambda c, w: c.poll(w, TOKEN, 0, 0, 0), "/-/hold", False),
    ("probe that waits", lambda c, w: c.poll(w, TOKEN, 0, 0, 100), "/-/hold", False),
]
EFFECTS = [row[:3] for row in CALLS if row[3]]
ORDERS = EFFECTS[:3]


class WorkerConnection(Protocol):
    """Connection of a worker process that answers one request at a time."""

    def __init__(self, process):
        self._process = process
        self._data = b""

    def dataReceived(self, data):
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        if not end or len(body) < int(headers["content-length"]):
            return
        self._data = b""
        path = lines[0].split(" ")[1]
        self._process.answer(self, path, msgspec.json.decode(body))

    def reply(self, status, document, closes=False):
        content = msgspec.json.encode(document)
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(content)}\r\n"
        head += "connection: close\r\n" if closes else ""
        self.transport.write(head.encode() + b"\r\n" + content)


class WorkerProcess(Factory):
    """One incarnation of a worker, which records what reaches it.

    Attributes
    ----------
    script : list of callable
        Answers to the next requests, each called with the connection; once it is empty,
        each request is answered well.
    """

    noisy = False

    def __init__(self, reactor, born, port=0):
        self.born = born
        self.requests = []
        self.connections = []
        self.script = []
        self._port = reactor.listenTCP(port, self, interface=HOST)
        self.port = self._port.getHost().port

    def buildProtocol(self, _address):
        connection = WorkerConnection(self)
        self.connections.append(connection)
        return connection

    def answer(self, connection, path, document):
        self.requests.append((path, document))
        if self.script:
            self.script.pop(0)(connection)
        else:
            connection.reply(OK, self.document())

    def document(self, **fields):
        return {"clock_ms": 9, "born": self.born, "running": [], "ended": []} | fields

    def end(self):
        """End the process: its port and its connections close."""
        self._port.stopListening()
        for connection in self.connections:
            if connection.transport.connected:
                connection.transport.abortConnection()

    @property
    def paths(self):
        return [path for path, _ in self.requests]


class ProvenConnectionsTest(unittest.TestCase):
    """Calls of a worker that returns at its address, on loopback."""

    def setUp(self):
        self.now_s = 100.0
        self.reactor = SelectReactor()
        self.reactor.seconds = lambda: self.now_s
        self.processes = []
        self.addCleanup(self.close)
        self.begin()

    def begin(self, connections=6):
        """Start over with a worker in its first incarnation and a new client."""
        self.client = HttpFleetWorkerClient(HttpClient(self.reactor, 5.0, connections))
        self.process = self.listen(BORN)
        return self.process

    def listen(self, born, port=0):
        process = WorkerProcess(self.reactor, born, port)
        self.processes.append(process)
        return process

    def restart(self, born=NEXT_BORN):
        """Let the worker return at its address in its next incarnation."""
        self.process.end()
        self.run_events()
        former, self.process = self.process, self.listen(born, self.process.port)
        return former, self.process

    def close(self):
        for process in self.processes:
            process.end()
        self.reactor.disconnectAll()
        self.run_events(3)
        for reader in self.reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))

    def run_events(self, rounds=12):
        for _ in range(rounds):
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.002)

    def entry(self, born=BORN):
        return replace(worker_entry(0, started_at_ms=born), port=self.process.port)

    def send(self, call, born=BORN):
        results = []
        call(self.client, self.entry(born)).addBoth(results.append)
        return results

    def call(self, call, born=BORN):
        """Return the result of a call, or its error."""
        results = self.send(call, born)
        self.run_events()
        self.assertEqual(len(results), 1)
        result = results[0]
        return result.value if isinstance(result, Failure) else result

    # Guards against a call for a former incarnation that the next one carries out, as a
    # new connection leads to whichever process listens.
    def test_call_for_former_incarnation_does_not_reach_the_next(self):
        for is_known in (False, True):
            for name, call, _ in EFFECTS:
                with self.subTest(name, has_answered=is_known):
                    self.begin()
                    if is_known:
                        self.call(call)
                    _, process = self.restart()
                    for _ in range(3):
                        result = self.call(call)
                        if (name, call) in [row[:2] for row in ORDERS]:
                            self.assertIsInstance(result, OtherIncarnationError)
                            result = result.result
                        self.assertEqual(result.started_at_ms, NEXT_BORN)
                    self.assertLessEqual(
                        {str(r) for r in process.requests}, {str(BARE)}
                    )

    # Guards against bare polls on connections on which the incarnation has answered,
    # and against none on new ones.
    def test_one_bare_poll_for_each_new_connection(self):
        for name, call, path, has_effect in CALLS:
            with self.subTest(name):
                process = self.begin()
                for _ in range(3):
                    self.call(call)
                polls = [BARE] if has_effect else []
                self.assertEqual(process.requests[: len(polls)], polls)
                self.assertEqual(process.paths[len(polls) :], [path] * 3)
                self.assertEqual(len(process.connections), 1)

    # Guards against an answered probe that does not prove its connection.
    def test_answered_probe_proves_its_connection(self):
        for name, call, path in EFFECTS:
            with self.subTest(name):
                process = self.begin()
                self.call(CALLS[-1][1])
                self.call(call)
                self.assertEqual(process.paths, ["/-/hold", path])
                self.assertNotEqual(process.requests[1], BARE)

    # Guards against calls at once that share a proof across connections, or that are
    # lost as more connections than are kept become idle.
    def test_calls_at_once(self):
        for count, kept in ((2, 6), (6, 6), (9, 6), (5, 1)):
            with self.subTest(count=count, kept=kept):
                process = self.begin(kept)
                waiting = [self.send(ORDERS[0][1]) for _ in range(count)]
                self.run_events(40)
                self.assertEqual([len(results) for results in waiting], [1] * count)
                self.assertEqual([results[0] for results in waiting], [9] * count)
                self.assertEqual(process.paths.count("/-/run-start"), count)
                self.assertEqual(process.requests.count(BARE), len(process.connections))

    # Guards against calls that are never sent as a start is not known.
    def test_unknown_start_needs_no_proof(self):
        for entry_born, answer_born in ((0, BORN), (0, 0), (BORN, 0)):
            for name, call, path in EFFECTS:
                with self.subTest(name, entry=entry_born, answer=answer_born):
                    process = self.begin()
                    process.born = answer_born
                    self.call(call, entry_born)
                    self.assertEqual(process.paths[-1], path)
                    self.assertNotEqual(process.requests[-1], BARE)

    # name, answer to the bare poll, error of the call
    BARE_ANSWERS = [
        ("another worker", (421, {}), WrongIncarnationError),
        ("later leader", (409, {"reason": "fence"}), OrderRefusedError),
        ("unhealthy", (503, {}), OrderRefusedError),
        ("invalid", (400, {}), CallNotSentError),
        ("superseded", (409, {"reason": "old"}), CallNotSentError),
        ("no room", (409, {"reason": "room"}), CallNotSentError),
        ("unknown status", (500, {}), CallNotSentError),
        ("no list of runs", (200, {"born": BORN}), CallNotSentError),
        ("nothing", None, CallNotSentError),
    ]

    # Guards against a call that is sent after a failed bare poll, or whose failure says
    # more than that it was not sent: a stop that is refused as invalid would count.
    def test_failed_bare_poll(self):
        for name, answer, error in self.BARE_ANSWERS:
            for call_name, call, _ in EFFECTS:
                with self.subTest(name, call=call_name):
                    process = self.begin()
                    process.script = [
                        lambda connection, answer=answer: (
                            connection.reply(*answer)
                            if answer
                            else connection.transport.abortConnection()
                        )
                    ]
                    result = self.call(call)
                    self.assertIs(type(result), error)
                    self.assertEqual(process.requests, [BARE])
                    if error is OrderRefusedError:
                        self.assertIn(
                            result.reason,
                            (RefusalReason.FENCED, RefusalReason.UNHEALTHY),
                        )

    # Guards against a call on another connection than the one of the bare poll.
    def test_connection_closed_with_the_answer(self):
        for name, call, _ in EFFECTS:
            with self.subTest(name):
                process = self.begin()
                document = process.document()
                process.script = [lambda c, d=document: c.reply(OK, d, closes=True)]
                self.assertIs(type(self.call(call)), CallNotSentError)
                self.assertEqual(process.requests, [BARE])

    # Guards against a call that is sent again, to the next incarnation, as the process
    # ends between the bare poll and the answer to the call.
    def test_process_returns_after_the_bare_poll(self):
        for is_received in (False, True):
            for name, call, _ in EFFECTS:
                with self.subTest(name, is_received=is_received):
                    former = self.begin()
                    restarted = []

                    def end(_, former=former, restarted=restarted):
                        restarted.append(self.listen_after(former))

                    def answer_and_end(connection, former=former, end=end):
                        connection.reply(OK, former.document())
                        connection.transport.loseConnection()
                        end(connection)

                    former.script = (
                        [lambda c, f=former: c.reply(OK, f.document()), end]
                        if is_received
                        else [answer_and_end]
                    )
                    results = self.send(call)
                    self.run_events(40)
                    self.assertEqual(len(results), 1)
                    self.assertIsInstance(results[0].value, WorkerUnreachableError)
                    self.assertNotIsInstance(results[0].value, CallNotSentError)
                    self.assertEqual(restarted[0].requests, [])

    def listen_after(self, former):
        """Return the next incarnation, as the former one ends with its connections."""
        former._port.stopListening()
        for connection in former.connections:
            if connection.transport.connected:
                connection.transport.loseConnection()
        self.reactor.runUntilCurrent()
        self.process = self.listen(NEXT_BORN, former.port)
        return self.process

    # Guards against a call that is sent although the bare poll has got no answer in its
    # time, and against one that waits for longer than its own.
    def test_bare_poll_and_call_have_the_timeout_each(self):
        for name, call, path in EFFECTS:
            timeout_s = {"lease": 1.0, "acknowledgement": 0.9}.get(name, 0.6)
            for share, is_sent in ((0.3, True), (0.9, True), (1.01, False), (5, False)):
                with self.subTest(name, share=share):
                    process = self.begin()
                    process.script = [
                        partial(self.pause_and_reply, share * timeout_s),
                        lambda c: None,
                    ]
                    results = self.send(call)
                    self.run_events()
                    self.assertEqual(path in process.paths[1:], is_sent)
                    self.assertEqual(bool(results), not is_sent)
                    if is_sent:
                        self.now_s += 0.99 * timeout_s
                        self.run_events()
                        self.assertEqual(results, [])
                        self.now_s += 0.02 * timeout_s
                        self.run_events()
                    self.assertEqual(len(results), 1)
                    error = WorkerUnreachableError if is_sent else CallNotSentError
                    self.assertIs(type(results[0].value), error)

    def pause_and_reply(self, pause_s, connection):
        self.now_s += pause_s
        connection.reply(OK, self.process.document())

    # Guards against idle connections of former incarnations that are kept beside those
    # of the next, although their process does not close them.
    def test_connections_of_former_incarnations_are_closed(self):
        for count in (1, 3, 6):
            with self.subTest(count=count):
                process = self.begin()
                for _ in range(count):
                    self.send(ORDERS[0][1])
                self.run_events(40)
                self.assertEqual(self.count_open(process), count)
                # The next process answers at the address of the former, which is cut.
                process.born = NEXT_BORN
                self.call(EFFECTS[3][1], NEXT_BORN)
                self.run_events()
                self.assertEqual(self.count_open(process), 1)

    def count_open(self, process):
        return sum(c.transport.connected for c in process.connections)

    # Guards against a refused connection that does not show as such to the leader.
    def test_refused_connection(self):
        for name, call, _ in EFFECTS:
            with self.subTest(name):
                self.begin().end()
                self.run_events()
                error = self.call(call)
                self.assertIs(type(error), ConnectionRefusedByWorkerError)


class EvidenceOfUnsentCallsTest(unittest.TestCase):
    # name, error, whether the call may still be carried out
    ERRORS = [
        ("not sent", CallNotSentError(), False),
        ("other incarnation", OtherIncarnationError("", None), False),
        ("refused connection", ConnectionRefusedByWorkerError(), False),
        ("no answer", WorkerUnreachableError(), True),
    ]

    # Guards against a start that counts for seconds at the next incarnation although it
    # was not sent, and against one that is forgotten although it was.
    def test_start(self):
        for name, error, may_be_in_flight in self.ERRORS:
            with self.subTest(name):
                evidence = WorkerEvidence(5.0, 10.0, 0.2)
                evidence.begin_incarnation(0.0)
                attempts = evidence.begin_start(RUN)
                evidence.begin_attempt(attempts, 100.0, 1000.0)
                verdict = evidence.judge_failed_start(attempts, error, 100.1)
                self.assertIs(verdict, OrderVerdict.RETRY)
                self.assertEqual(attempts.may_be_carried_out, may_be_in_flight)
                evidence.abandon_start(attempts, 100.2)
                starts = evidence.starts_in_flight(100.3)
                self.assertEqual(RUN in starts, may_be_in_flight)
                self.assertIs(evidence.judge_failed_stop(error), OrderVerdict.RETRY)

    # Guards against a lease that counts at the next incarnation although no poll that
    # grants it was sent.
    def test_poll(self):
        for name, error, may_be_in_flight in self.ERRORS:
            with self.subTest(name):
                evidence = WorkerEvidence(5.0, 10.0, 0.2)
                evidence.begin_incarnation(0.0)
                evidence.begin_poll(100.0, 1000.0)
                evidence.judge_poll(PollResult(9, BORN, (), ()), BORN, 100.0)
                self.assertGreater(evidence.begin_poll(100.0, 1000.0)[1], 0)
                verdict = evidence.judge_failed_poll(error, 100.0, 0.0, 100.1)
                self.assertIs(verdict, PollVerdict.UNKNOWN)
                # Calls in flight have an effect for 12.5 s, the lease for 10.5 s.
                carried = evidence.carry_over(100.2)
                self.assertEqual(carried.is_spent(112.0), not may_be_in_flight)


if __name__ == "__main__":
    unittest.main()
