"""Makes the days for one site out of the templates in `deploy/days.toml`."""

import itertools
import pathlib
import re
import tomllib

from . import toml_text

TEMPLATES = pathlib.Path(__file__).resolve().parent.parent / "days.toml"
LISTS = ("plan", "faults")
SLOT = "trouble"

# A line of the bench's list of kinds: the kind, a colon, what it does.
KIND_LINE = re.compile(r"^([a-z]+(?:_[a-z]+)*): ", re.MULTILINE)


class TemplateError(Exception):
    """The templates don't fit the site or the bench."""


def read_templates(path=TEMPLATES):
    """The templates as tables."""
    return tomllib.loads(pathlib.Path(path).read_text())


def listed_kinds(text):
    """The kinds in what `fleetbench kinds SITE` prints, also those that may come too."""
    start = text.find("\n\n")
    kinds = KIND_LINE.findall(text[start:] if start >= 0 else "")
    if not kinds:
        raise TemplateError("the bench lists no kinds for this site")
    return kinds


def make(templates, site, kinds):
    """All days for a site, by name: those of the points, each kind alone, and all pairs of kinds."""
    missing = sorted(set(kinds) - {entry["kind"] for entry in templates["kind"]})
    if missing:
        raise TemplateError(f"no template for {', '.join(missing)}: add them to {TEMPLATES.name}")
    usable = [entry for entry in templates["kind"] if entry["kind"] in kinds]
    traffic = _traffic(site, templates["traffic_of"])
    days = _points(templates) + _alone(templates, usable) + _pairs(templates, usable)
    return {day["name"]: _finished(day, traffic) for day in days}


def write(days, folder):
    """Writes a file for each day, and tells how many."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    for name, day in days.items():
        (folder / f"{name}.toml").write_text(toml_text.document(day))
    return len(days)


def _traffic(site, name):
    for day in site["day"]:
        if day["name"] == name:
            return day["traffic"]
    raise TemplateError(f"the site has no day {name}")


def _finished(day, traffic):
    """The day in the order that the bench's own files have, with its traffic."""
    head = {"name": day["name"], "slot": SLOT, "seed": 1}
    closing = {"closing": day["closing"]} if day.get("closing") else {}
    entries = {name: sorted(day.get(name, []), key=lambda entry: entry["at"]) for name in LISTS}
    return {**head, **closing, **entries, "traffic": traffic}


def _points(templates):
    return [dict(day) for day in templates["day"]]


def _alone(templates, kinds):
    """Each variant of each kind, once and again, under the operator's orders."""
    days = []
    for entry in kinds:
        for number, variant in enumerate(entry["variants"], start=1):
            for label, moments in (("once", templates["once_at"]), ("again", templates["again_at"])):
                name = f"k-{_name(entry)}-{number}-{label}"
                strikes = [(entry, variant, at) for at in moments]
                days.append(_struck(templates, name, strikes, turn=len(days)))
    return days


def _pairs(templates, kinds):
    """Every two kinds, one shortly after the other, then the other way round."""
    days = []
    first_at, second_at = templates["pair_at"]
    gap = templates["pair_gap_s"]
    for one, other in itertools.combinations(kinds, 2):
        strikes = [
            (one, one["variants"][0], first_at),
            (other, other["variants"][0], first_at + gap),
            (other, _turn(other["variants"], len(days)), second_at),
            (one, _turn(one["variants"], len(days)), second_at + gap),
        ]
        days.append(_struck(templates, f"p-{_name(one)}+{_name(other)}", strikes, turn=len(days)))
    return days


def _name(entry):
    return entry.get("name", entry["kind"])


def _turn(choices, turn):
    return choices[turn % len(choices)]


def _struck(templates, name, strikes, turn):
    """A day of given strikes, with the orders that all have and the closing whose turn it is."""
    day = {"name": name, "plan": [dict(order) for order in templates["orders"]], "faults": []}
    for entry, variant, at in strikes:
        day[entry["list"]].append({"at": round(at, 3), "kind": entry["kind"], **variant})
    day["closing"] = _turn(templates["closings"], turn)
    return day
