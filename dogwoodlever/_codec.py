"""Codec of peer messages in Cap'n Proto."""

from importlib import resources

import capnp

from dogwoodlever._messages import (
    Heartbeat,
    Hello,
    LendSlots,
    Message,
    RecordRequest,
    RecordValue,
    ReturnSlots,
    RpcReply,
    RpcRequest,
    WantSlots,
)
from dogwoodlever._slot_pool import Loan
from dogwoodlever.peer_errors import FrameError

capnp.remove_import_hook()

MICROS_PER_S = 1_000_000
AGE_MAX_S = 1e9
TRAVERSAL_WORDS_MAX = 1 << 18

_schema = capnp.load(str(resources.files("dogwoodlever") / "peers.capnp"))


def _micros(seconds: float) -> int:
    return int(max(-AGE_MAX_S, min(seconds, AGE_MAX_S)) * MICROS_PER_S)


def _fill_hello(frame, message: Hello) -> None:
    body = frame.init("hello")
    body.key = message.key
    body.member = message.member


def _fill_heartbeat(frame, message: Heartbeat) -> None:
    body = frame.init("heartbeat")
    body.sentMicros = _micros(message.sent_s)
    body.echoMicros = _micros(message.echo_s)
    body.storeAgeMicros = _micros(message.store_age_s)
    body.freshRunMicros = _micros(message.contact_duration_s)
    body.membersVersion = message.members_version
    body.configurationVersion = message.configuration_version
    body.silent = list(message.silent)


def _fill_want(frame, message: WantSlots) -> None:
    body = frame.init("want")
    body.service = message.service
    body.count = message.count
    body.oldestAgeMicros = _micros(message.oldest_age_s)
    body.askedMicros = _micros(message.asked_s)


def _fill_lend(frame, message: LendSlots) -> None:
    body = frame.init("lend")
    body.service = message.service
    body.askedMicros = _micros(message.asked_s)
    body.termMicros = _micros(message.term_s)
    loans = body.init("loans", len(message.loans))
    for row, loan in zip(loans, message.loans, strict=True):
        row.loanId = loan.loan_id
        row.server = loan.server


def _fill_give_back(frame, message: ReturnSlots) -> None:
    body = frame.init("giveBack")
    body.service = message.service
    body.loanIds = list(message.loan_ids)


def _fill_fetch(frame, message: RecordRequest) -> None:
    frame.fetch = message.key


def _fill_value(frame, message: RecordValue) -> None:
    body = frame.init("value")
    body.key = message.key
    body.version = message.version
    body.value = message.value


def _fill_question(frame, message: RpcRequest) -> None:
    body = frame.init("question")
    body.number = message.number
    body.topic = message.method
    body.body = message.body


def _fill_reply(frame, message: RpcReply) -> None:
    body = frame.init("reply")
    body.number = message.number
    body.found = message.found
    body.body = message.body


_FILLERS = {
    Hello: _fill_hello,
    Heartbeat: _fill_heartbeat,
    WantSlots: _fill_want,
    LendSlots: _fill_lend,
    ReturnSlots: _fill_give_back,
    RecordRequest: _fill_fetch,
    RecordValue: _fill_value,
    RpcRequest: _fill_question,
    RpcReply: _fill_reply,
}


def _read_hello(body) -> Hello:
    return Hello(body.key, body.member)


def _read_heartbeat(body) -> Heartbeat:
    return Heartbeat(
        body.sentMicros / MICROS_PER_S,
        body.echoMicros / MICROS_PER_S,
        body.storeAgeMicros / MICROS_PER_S,
        body.freshRunMicros / MICROS_PER_S,
        body.membersVersion,
        body.configurationVersion,
        tuple(body.silent),
    )


def _read_want(body) -> WantSlots:
    return WantSlots(
        body.service,
        body.count,
        body.oldestAgeMicros / MICROS_PER_S,
        body.askedMicros / MICROS_PER_S,
    )


def _read_lend(body) -> LendSlots:
    loans = tuple(Loan(row.loanId, row.server) for row in body.loans)
    return LendSlots(
        body.service,
        body.askedMicros / MICROS_PER_S,
        loans,
        body.termMicros / MICROS_PER_S,
    )


def _read_give_back(body) -> ReturnSlots:
    return ReturnSlots(body.service, tuple(body.loanIds))


def _read_value(body) -> RecordValue:
    return RecordValue(body.key, body.version, bytes(body.value))


def _read_question(body) -> RpcRequest:
    return RpcRequest(body.number, body.topic, bytes(body.body))


def _read_reply(body) -> RpcReply:
    return RpcReply(body.number, body.found, bytes(body.body))


_READERS = {
    "hello": _read_hello,
    "heartbeat": _read_heartbeat,
    "want": _read_want,
    "lend": _read_lend,
    "giveBack": _read_give_back,
    "fetch": RecordRequest,
    "value": _read_value,
    "question": _read_question,
    "reply": _read_reply,
}


def encode(message: Message) -> bytes:
    """Encode a message as the bytes of one frame."""
    frame = _schema.Frame.new_message()
    _FILLERS[type(message)](frame, message)
    return frame.to_bytes()


def decode(data: bytes) -> Message:
    """Decode the bytes of one frame.

    Raises
    ------
    FrameError
        If the bytes are not a message of the peer protocol.
    """
    try:
        with _schema.Frame.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_WORDS_MAX
        ) as frame:
            kind = frame.which()
            return _READERS[str(kind)](getattr(frame, str(kind)))
    except Exception as error:
        # pycapnp's errors have no common base class below Exception.
        raise FrameError(f"not a peer frame: {error}") from error
