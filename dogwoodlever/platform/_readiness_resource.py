"""Answers the platform's question whether the process takes connections."""

from collections.abc import Callable

from twisted.web.resource import Resource


class ReadinessResource(Resource):
    """Root of the readiness port.

    Parameters
    ----------
    is_ready : callable
        Tells whether new connections are wanted.
    """

    isLeaf = True

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request):  # noqa: N802
        """Answer 200 while ready, otherwise 503."""
        request.setResponseCode(200 if self._is_ready() else 503)
        return b""
