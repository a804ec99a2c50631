"""Remote procedure calls between daemons."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks

from dogwoodlever._logs import log_event
from dogwoodlever._messages import Message, RpcReply, RpcRequest
from dogwoodlever._peer_mesh import PeerTransport

REPLY_TIMEOUT_S = 1.0

RpcHandler = Callable[[bytes], bytes | None]
DeferredRpcHandler = Callable[[bytes], Deferred]


class PeerRpc:
    """Call methods of peers, and serve the calls of peers.

    Parameters
    ----------
    peers : PeerTransport
        Connections to the peers.
    clock : IReactorTime
        Reactor clock.
    """

    def __init__(self, peers: PeerTransport, clock) -> None:
        self._peers = peers
        self._clock = clock
        self._count = 0
        self._pending_calls: dict[int, Deferred] = {}
        self._handlers: dict[str, RpcHandler] = {}
        self._deferred_handlers: dict[str, DeferredRpcHandler] = {}

    def register(self, method: str, handler: RpcHandler) -> None:
        """Register the handler of `method`; it returns None if nothing is found."""
        self._handlers[method] = handler

    def register_deferred(self, method: str, handler: DeferredRpcHandler) -> None:
        """Register a handler of `method` whose Deferred fires with the reply body."""
        self._deferred_handlers[method] = handler

    def handle_message(self, sender: str, message: Message) -> None:
        """Handle a request or a reply."""
        if isinstance(message, RpcRequest):
            self._serve(sender, message)
        elif isinstance(message, RpcReply):
            pending = self._pending_calls.pop(message.number, None)
            if pending is not None:
                pending.callback(message.body if message.found else None)

    @inlineCallbacks
    def _serve(self, sender: str, request: RpcRequest):
        """Handle a request; the caller gets a reply even if the handler fails."""
        handler = self._deferred_handlers.get(request.method)
        if handler is None:
            handler = self._handlers.get(request.method)
        body = None
        try:
            if handler is not None:
                body = yield handler(request.body)
        except Exception as error:
            # One malformed or unexpected request must not affect the others.
            log_event(
                "rpc.failed", method=request.method, sender=sender, why=repr(error)
            )
        reply = RpcReply(request.number, body is not None, body or b"")
        self._peers.send(sender, reply)

    def call(
        self,
        member: str,
        method: str,
        body: bytes,
        timeout_s: float = REPLY_TIMEOUT_S,
    ) -> Deferred:
        """Call a method of one member.

        Returns
        -------
        Deferred
            Fires with the reply body, or with None if the member found nothing
            or sent no reply within `timeout_s`.
        """
        self._count += 1
        number = self._count
        pending: Deferred = Deferred()
        self._pending_calls[number] = pending
        timer = self._clock.callLater(timeout_s, self._time_out, number)
        pending.addBoth(self._cancel_timer, timer)
        self._peers.send(member, RpcRequest(number, method, body))
        return pending

    def _time_out(self, number: int) -> None:
        pending = self._pending_calls.pop(number, None)
        if pending is not None:
            pending.callback(None)

    def _cancel_timer(self, result, timer):
        if timer.active():
            timer.cancel()
        return result

    @inlineCallbacks
    def call_all(self, members: list[str], method: str, body: bytes):
        """Call a method of this daemon and of `members`.

        Returns
        -------
        Deferred
            Fires with the list of reply bodies that are not None.
        """
        calls = [self.call(member, method, body) for member in members]
        own = self._handlers[method](body)
        bodies = [] if own is None else [own]
        for pending_call in calls:
            reply = yield pending_call
            if reply is not None:
                bodies.append(reply)
        return bodies
