import time
import unittest

from twisted.internet.selectreactor import SelectReactor

from dogwoodlever._clock import BootClock, use_boot_time


class ClockTest(unittest.TestCase):
    def test_delayed_calls_are_independent_of_the_wall_clock(self):
        # The wall clock may step by seconds, and back again.
        reactor = SelectReactor()
        use_boot_time(reactor)
        call = BootClock(reactor).callLater(50, lambda: None)
        booted_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertAlmostEqual(call.getTime(), booted_s + 50, delta=10)
        call.cancel()


if __name__ == "__main__":
    unittest.main()
