import socket
import threading
import unittest

from dogwoodlever._operator_client import OperatorClient
from dogwoodlever.cli_errors import OutcomeUnknownError, UnreachableError

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}"


class Listener:
    """Accepts one connection, reads the request and sends `response`."""

    def __init__(self, response):
        self.requests = []
        self._response = response
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        try:
            connection, _ = self._socket.accept()
        except OSError:
            return
        with connection:
            self.requests.append(connection.recv(65536))
            connection.sendall(self._response)

    def close(self):
        self._socket.close()


def unused_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


class OperatorClientTest(unittest.TestCase):
    def listen(self, response):
        listener = Listener(response)
        self.addCleanup(listener.close)
        return listener

    def test_daemon_that_was_not_reached_is_passed_over(self):
        second = self.listen(ANSWER)
        client = OperatorClient([unused_address(), second.address], "key")
        self.assertEqual(client.post("jobs", {}), {})
        self.assertEqual(len(second.requests), 1)

    def test_command_without_an_answer_is_sent_to_no_other_daemon(self):
        # The first daemon may have carried the command out before its answer was lost.
        first, second = self.listen(b""), self.listen(ANSWER)
        client = OperatorClient([first.address, second.address], "key")
        with self.assertRaises(OutcomeUnknownError):
            client.post("jobs", {})
        self.assertEqual(second.requests, [])

    def test_read_without_an_answer_is_sent_to_the_next_daemon(self):
        first, second = self.listen(b""), self.listen(ANSWER)
        client = OperatorClient([first.address, second.address], "key")
        self.assertEqual(client.get("status"), {})

    def test_no_daemon_is_reached(self):
        with self.assertRaises(UnreachableError):
            OperatorClient([unused_address(), "127.0.0.1:x"], "key").get("status")


if __name__ == "__main__":
    unittest.main()
