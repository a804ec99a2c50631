"""Peers: messages between daemons, membership and tenure."""

from dogwoodlever._codec import decode, encode
from dogwoodlever._members import (
    Member,
    MembershipKeeper,
    MembersRecord,
    MemberState,
)
from dogwoodlever._messages import (
    Fetch,
    Heartbeat,
    Hello,
    LendSlots,
    Message,
    Question,
    Reply,
    ReturnSlots,
    Value,
    WantSlots,
)
from dogwoodlever._peer_mesh import PeerTransport, TcpMesh
from dogwoodlever._rendezvous import first, rank
from dogwoodlever._tenure import Basis, PeerEvidence, StoreContact, Tenure

__all__ = [
    "Basis",
    "Fetch",
    "Heartbeat",
    "Hello",
    "LendSlots",
    "Member",
    "MemberState",
    "MembersRecord",
    "MembershipKeeper",
    "Message",
    "PeerEvidence",
    "PeerTransport",
    "Question",
    "Reply",
    "ReturnSlots",
    "StoreContact",
    "TcpMesh",
    "Tenure",
    "Value",
    "WantSlots",
    "decode",
    "encode",
    "first",
    "rank",
]
