import os
import unittest

from twisted.internet.task import Clock

from dogwoodlever._log_stream import FLUSH_INTERVAL_S, PENDING_BYTES_MAX, LogStream


class LogStreamTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.clock = Clock()
        self.stream = LogStream(writer, self.clock)

    def read(self):
        data = b""
        while True:
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data
            data += part

    def test_lines_are_written_together(self):
        for number in range(3):
            self.stream.write(f"line {number}\n")
            self.stream.flush()
        self.assertEqual(self.read(), b"")
        self.clock.advance(FLUSH_INTERVAL_S)
        self.assertEqual(self.read(), b"line 0\nline 1\nline 2\n")
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_reader_that_stops_reading_blocks_nothing(self):
        line = "x" * 99 + "\n"
        lines = 2 * PENDING_BYTES_MAX // len(line)
        for _ in range(lines):
            self.stream.write(line)
        dropped = self.stream.dropped_lines
        self.assertGreater(dropped, 0)
        data = b""
        for _ in range(100):
            self.clock.advance(FLUSH_INTERVAL_S)
            data += self.read()
        kept, _, last = data.rstrip().rpartition(b"\n")
        self.assertEqual(kept.count(b"\n") + 1, lines - dropped)
        self.assertEqual(last, f"event=log.dropped lines={dropped}".encode())

    def test_reader_that_is_gone_affects_nothing(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.close(reader)
        stream = LogStream(writer, self.clock)
        stream.write("nobody reads this\n")
        self.clock.advance(FLUSH_INTERVAL_S)
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_pending_lines_are_written_at_the_end(self):
        self.stream.write("last words\n")
        self.stream.write_pending()
        self.assertEqual(self.read(), b"last words\n")


if __name__ == "__main__":
    unittest.main()
