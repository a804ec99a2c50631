import unittest

from dogwoodlever._logs import format_event


class FormatEventTest(unittest.TestCase):
    def test_one_line_of_pairs(self):
        table = (
            ({"request": "d1-a-1"}, "event=e request=d1-a-1"),
            ({"took_s": 0.1234567}, "event=e took_s=0.123457"),
            ({"reason": "would be late"}, 'event=e reason="would be late"'),
            ({"reason": 'a "b"\nc'}, 'event=e reason="a \\"b\\"\\nc"'),
            ({"by": ""}, 'event=e by=""'),
            ({"pair": "a=b"}, 'event=e pair="a=b"'),
        )
        for fields, expected in table:
            with self.subTest(str(fields)):
                self.assertEqual(format_event("e", **fields), expected)
