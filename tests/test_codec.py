import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodlever.peer_errors import FrameError
from dogwoodlever.peers import (
    Heartbeat,
    Hello,
    LendSlots,
    RecordRequest,
    RecordValue,
    ReturnSlots,
    RpcReply,
    RpcRequest,
    WantSlots,
    decode,
    encode,
)
from dogwoodlever.routing import Loan

MESSAGES = (
    Hello("key", "d1#1"),
    Heartbeat(12.5, 11.25, 0.5, 100.0, 7, 8, ("d2#1",)),
    WantSlots("dispatch", 3, 0.25, 12.5),
    LendSlots("dispatch", 12.5, (Loan("d1#1/4", "s01"), Loan("d1#1/5", "s02")), 1.5),
    ReturnSlots("dispatch", ("d1#1/4",)),
    RecordRequest("live/members"),
    RecordValue("live/members", 12, b"{}"),
    RpcRequest(5, "burn", b""),
    RpcReply(5, True, b"[]"),
)


class CodecTest(unittest.TestCase):
    def test_round_trip(self):
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(decode(encode(message)), message)

    def test_infinite_ages_are_bounded(self):
        sent = Heartbeat(1.0, float("-inf"), float("inf"), 0.0, 0, 0)
        found = decode(encode(sent))
        self.assertEqual((found.echo_s, found.store_age_s), (-1e9, 1e9))


class FuzzTest(unittest.TestCase):
    def check(self, data):
        try:
            decode(data)
        except FrameError:
            return

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(st.binary(max_size=400))
    def test_any_bytes_are_a_message_or_refused(self, data):
        self.check(data)

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        st.sampled_from(MESSAGES),
        st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), max_size=6),
    )
    def test_a_changed_frame_is_a_message_or_refused(self, message, changes):
        data = bytearray(encode(message))
        for position, byte in changes:
            data[position % len(data)] = byte
        self.check(bytes(data))
