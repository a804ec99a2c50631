"""Peer layer: messages between daemons, membership and membership leases."""

from dogwoodlever._codec import decode, encode
from dogwoodlever._members import (
    Member,
    MembershipPolicy,
    MembersRecord,
    MemberState,
)
from dogwoodlever._membership_lease import (
    MembershipLease,
    PeerEvidence,
    RecordVersions,
    StoreContact,
)
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
from dogwoodlever._peer_mesh import PeerTransport, TcpMesh
from dogwoodlever._rendezvous import highest_ranked, rank

__all__ = [
    "RecordVersions",
    "RecordRequest",
    "Heartbeat",
    "Hello",
    "LendSlots",
    "Member",
    "MemberState",
    "MembersRecord",
    "MembershipPolicy",
    "Message",
    "PeerEvidence",
    "PeerTransport",
    "RpcRequest",
    "RpcReply",
    "ReturnSlots",
    "StoreContact",
    "TcpMesh",
    "MembershipLease",
    "RecordValue",
    "WantSlots",
    "decode",
    "encode",
    "highest_ranked",
    "rank",
]
