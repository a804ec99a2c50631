"""HTTP readiness probe of the process."""

from collections.abc import Callable

from twisted.web.resource import Resource


class ReadinessResource(Resource):
    """Root resource of the readiness port.

    Parameters
    ----------
    is_ready : callable
        Returns whether new connections are accepted.
    """

    isLeaf = True

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request):  # noqa: N802
        """Respond with 200 while ready, otherwise with 503."""
        request.setResponseCode(200 if self._is_ready() else 503)
        return b""
