"""Which troubles of a day came about."""

import unittest

from hunting import strikes

DAY = {
    "plan": [{"at": 1.0, "kind": "change", "how": "route"}],
    "faults": [{"at": 3.0, "kind": "wipe", "how": "taken"}, {"at": 5.0, "kind": "wipe"}],
    "closing": {"kind": "kill_all"},
}


class Missing(unittest.TestCase):
    """Counts by kind."""

    def test_a_kind_that_struck_seldomer_than_asked_is_reported_with_its_count(self):
        events = [{"kind": "change (route)"}, {"kind": "wipe"}]
        self.assertEqual(strikes.missing(DAY, events), {"wipe": 1, "closing": 1})

    def test_nothing_is_missing_where_all_struck_and_more_came_of_it(self):
        events = [{"kind": name} for name in ("change (route)", "wipe (taken)", "wipe", "change", "closing (kill_all)", "drain")]
        self.assertEqual(strikes.missing(DAY, events), {})


if __name__ == "__main__":
    unittest.main()
