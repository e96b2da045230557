"""The generator: what it writes for a site, and what it refuses to pass over."""

import pathlib
import tempfile
import tomllib
import unittest

from hunting import days

SITE = {"day": [{"name": "calm", "traffic": [{"zone": "a", "mix": {"read": 1.5}, "per_s": 3}]}]}

LIST = """Each entry has 'at' and 'kind'. gap_s: time between steps (1).
zone, region: where; left out, the day's seed picks.

cut: one is cut off; how: one_way
change: how: route idle

these may come too:
full_disk: count (1) disks take no more bytes
"""


def templates(**changed):
    """Small templates for the three kinds of the list above."""
    whole = {
        "traffic_of": "calm",
        "once_at": [9.0],
        "again_at": [3.0, 11.0],
        "pair_at": [5.0, 15.0],
        "pair_gap_s": 0.5,
        "closings": [{"kind": "kill_all"}, {}],
        "orders": [{"at": 2.0, "kind": "change"}],
        "day": [{"name": "1-point", "faults": [{"at": 4.0, "kind": "cut", "for_s": 20.0}]}],
        "kind": [
            {"kind": "cut", "list": "faults", "variants": [{"count": 1}, {"how": "one_way"}]},
            {"kind": "change", "list": "plan", "variants": [{}]},
            {"kind": "full_disk", "list": "faults", "variants": [{}]},
        ],
    }
    return {**whole, **changed}


def strikes(day, name):
    """The moments and kinds of one of a day's lists."""
    return [(entry["at"], entry["kind"]) for entry in day[name]]


class ListedKinds(unittest.TestCase):
    """The bench's list of kinds."""

    def test_both_parts_are_read_and_the_words_about_fields_are_not(self):
        self.assertEqual(days.listed_kinds(LIST), ["cut", "change", "full_disk"])

    def test_a_text_without_kinds_is_an_error(self):
        with self.assertRaises(days.TemplateError):
            days.listed_kinds("no such site")


class Make(unittest.TestCase):
    """The days of one site."""

    def test_every_variant_comes_once_and_again_and_every_pair_of_kinds_once(self):
        made = days.make(templates(), SITE, days.listed_kinds(LIST))
        alone = [f"k-{name}-{how}" for name in ("cut-1", "cut-2", "change-1", "full_disk-1") for how in ("once", "again")]
        pairs = ["p-cut+change", "p-cut+full_disk", "p-change+full_disk"]
        self.assertEqual(sorted(made), sorted(["1-point", *alone, *pairs]))

    def test_kinds_are_struck_at_the_moments_under_the_operators_orders(self):
        made = days.make(templates(), SITE, days.listed_kinds(LIST))
        again = made["k-cut-2-again"]
        self.assertEqual(strikes(again, "faults"), [(3.0, "cut"), (11.0, "cut")])
        self.assertEqual({entry["how"] for entry in again["faults"]}, {"one_way"})
        self.assertEqual(strikes(again, "plan"), [(2.0, "change")])

    def test_a_pair_comes_in_both_orders(self):
        pair = days.make(templates(), SITE, days.listed_kinds(LIST))["p-cut+full_disk"]
        self.assertEqual(strikes(pair, "faults"), [(5.0, "cut"), (5.5, "full_disk"), (15.0, "full_disk"), (15.5, "cut")])

    def test_closings_take_turns_and_an_empty_one_is_left_out(self):
        made = days.make(templates(), SITE, days.listed_kinds(LIST))
        self.assertEqual(made["k-cut-1-once"]["closing"], {"kind": "kill_all"})
        self.assertNotIn("closing", made["k-cut-1-again"])

    def test_a_kind_that_the_site_lacks_is_left_out_of_kinds_and_pairs(self):
        made = days.make(templates(), SITE, ["cut", "change"])
        self.assertFalse([name for name in made if "full_disk" in name])

    def test_a_listed_kind_without_a_template_is_an_error(self):
        with self.assertRaisesRegex(days.TemplateError, "flood"):
            days.make(templates(), SITE, ["cut", "flood"])

    def test_traffic_comes_from_the_named_day_or_is_an_error(self):
        made = days.make(templates(), SITE, ["cut"])
        self.assertEqual(made["1-point"]["traffic"], SITE["day"][0]["traffic"])
        with self.assertRaises(days.TemplateError):
            days.make(templates(traffic_of="storm"), SITE, ["cut"])


class Write(unittest.TestCase):
    """The day files."""

    def test_a_file_reads_as_the_day_that_was_made(self):
        made = days.make(templates(), SITE, days.listed_kinds(LIST))
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(days.write(made, folder), len(made))
            for name, day in made.items():
                read = tomllib.loads((pathlib.Path(folder) / f"{name}.toml").read_text())
                self.assertEqual(read, day)


class Templates(unittest.TestCase):
    """`deploy/days.toml` itself."""

    def setUp(self):
        self.templates = days.read_templates()

    def test_names_of_days_are_unique_and_each_point_has_days(self):
        names = [day["name"] for day in self.templates["day"]]
        self.assertEqual(len(names), len(set(names)))
        self.assertLessEqual(set("12345"), {name[0] for name in names})

    def test_every_entry_has_a_moment_a_kind_and_a_known_list(self):
        for day in self.templates["day"]:
            for entry in day.get("plan", []) + day.get("faults", []):
                self.assertIn("at", entry, day["name"])
                self.assertIn("kind", entry, day["name"])
        for kind in self.templates["kind"]:
            self.assertIn(kind["list"], days.LISTS)
            self.assertTrue(kind["variants"])


if __name__ == "__main__":
    unittest.main()
