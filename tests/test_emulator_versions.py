"""Versions and requests of the emulator: what is written is what is judged."""

import random
import unittest
from itertools import pairwise

from dogwoodlever._http_client import _format_request
from emulator.callers import _pad_headers
from emulator.store import _make_document
from standins.changing_queues import ChangingQueues
from standins.invalid_versions import (
    INVALID_VERSIONS,
    UNUSUAL_VALID_VERSIONS,
    encode_version,
)
from standins.queue_places import format_place, parse_place, queue_at


class EmulatedVersionsTest(unittest.TestCase):
    # Guards against a form that ends the store's process, or changes nothing.
    def test_each_form_can_be_written(self):
        queues = ChangingQueues(random.Random(1))
        queues.change()
        limits = {"max_body_bytes": 900}
        plain = _make_document(7, queues.current, queues.fields, limits)
        for form, make in (INVALID_VERSIONS | UNUSUAL_VALID_VERSIONS).items():
            with self.subTest(form):
                before = encode_version(plain)
                self.assertNotEqual(encode_version(make(plain)), before)
                self.assertEqual(encode_version(plain), before)

    def test_places(self):
        for host, prefix, place, queue in (
            ("desk.example", "/extra3/", "extra3", "extra3"),
            ("DESK.example", "/extra3.2/", "extra3.2", "extra3"),
            ("Other.example", "/extra3/", "extra3@other.example", "extra3"),
            ("desk.example", "/inner/most/", "inner/most", "inner/most"),
        ):
            with self.subTest(place):
                self.assertEqual(format_place(host, prefix), place)
                self.assertEqual(parse_place(place), (host.lower(), prefix))
                self.assertEqual(queue_at(place), queue)

    # Guards against a check whose versions leave queues where they are.
    def test_queues_are_moved(self):
        queues = ChangingQueues(random.Random(2))
        places, services = [], []
        for _ in range(40):
            queues.change_place()
            queues.change_service()
            document = _make_document(7, queues.current, queues.fields, {})
            route = document["routes"][-1]
            places.append(format_place(route["host"], route["prefix"]))
            services.append(route["service"])
        self.assertGreater(len(set(places)), 15)
        self.assertTrue(all(queue_at(place) == "extra0" for place in places))
        self.assertIn("extra0@other.example", places)
        self.assertIn("extra0", places)
        self.assertTrue(all(one != other for one, other in pairwise(services)))

    # Guards against a padded request that is on the wrong side of its limit.
    def test_size_of_padded_headers(self):
        for size in (3_488, 4_512, 11_488, 12_512):
            with self.subTest(size):
                headers = ((b"host", b"desk.example"), *_pad_headers(size))
                request = _format_request(
                    b"GET", "127.0.0.1:12345", "price/", b"", headers
                )
                self.assertLess(abs(len(request) - size), 200)


if __name__ == "__main__":
    unittest.main()
