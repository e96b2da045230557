"""What a run showed, read from its journal entry, and the table of many runs."""

import collections
import dataclasses
import json

# How the bench says that it gave a day up, or that a run was ended from outside: nothing was measured.
GIVEN_UP = ("given up", "too busy", "too slow", "did not finish")

PASSED = "passed"
BROKEN = "broken"
NOT_PLAYED = "not played"


@dataclasses.dataclass(frozen=True)
class Result:
    """One run of one day on one seed."""

    site: str
    day: str
    seed: int
    outcome: str
    rules: dict
    notes: list
    served: float | None
    entry: str
    # How often a kind of the day's troubles did not strike.
    missing: dict = dataclasses.field(default_factory=dict)

    def to_json(self):
        """One line for a file of results."""
        return json.dumps(dataclasses.asdict(self))

    @staticmethod
    def from_json(line):
        """The result that `to_json` wrote."""
        return Result(**json.loads(line))


def of_entry(entry, name):
    """The results in a journal entry, one for each day that it holds; `name` is the entry's file."""
    error = entry.get("error")
    if not entry["days"]:
        return [Result(entry.get("site") or "", "", 0, NOT_PLAYED, {}, [error or "no day in the entry"], None, name)]
    return [_of_day(entry, day, name) for day in entry["days"]]


def not_played(site, day, seed, why):
    """A run that left no entry."""
    return Result(site, day, seed, NOT_PLAYED, {}, [why], None, "")


def _of_day(entry, day, name):
    fault = day.get("fault") or entry.get("error")
    notes = list(day.get("short") or [])
    if fault and fault not in " ".join(notes):
        notes.append(f"fault: {fault}")
    outcome = _outcome(day, fault)
    return Result(entry["site"], day["name"], day["seed"], outcome, day["rules"], notes, day.get("served"), name)


def _outcome(day, fault):
    if fault and any(words in fault for words in GIVEN_UP):
        return NOT_PLAYED
    if fault or day["rules"] or not day["gate"]:
        return BROKEN
    return PASSED


def table(results, whole=False):
    """Days with their runs, how many broke, which rules on which seeds, and what did not strike.

    Days without anything to report stand only in the last line, unless the whole table is asked for.
    """
    by_day = collections.defaultdict(list)
    for result in results:
        by_day[(result.site, result.day)].append(result)
    shown = {key: runs for key, runs in sorted(by_day.items()) if whole or any(map(_is_worth_a_row, runs))}
    lines = [
        "| site | day | runs | broken | rules broken, by seed | gate | did not strike |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [_row(site, day, runs) for (site, day), runs in shown.items()]
    counts = collections.Counter(result.outcome for result in results)
    summary = f"{len(results)} runs of {len(by_day)} days: "
    summary += f"{counts[PASSED]} passed, {counts[BROKEN]} broken, {counts[NOT_PLAYED]} not played"
    return "\n".join(lines + ["", summary])


def _is_worth_a_row(result):
    return result.outcome != PASSED or bool(result.missing)


def _row(site, day, runs):
    broken = sorted((run for run in runs if run.outcome == BROKEN), key=lambda run: run.seed)
    played = [run for run in runs if run.outcome != NOT_PLAYED]
    rules = "; ".join(f"{run.seed}: {_rules(run)}" for run in broken)
    gate = _cell("; ".join(dict.fromkeys(note for run in broken for note in run.notes[:1])))
    left = len(runs) - len(played)
    missed = f" (+{left} not played)" if left else ""
    absent = "; ".join(f"{run.seed}: {_counts(run.missing)}" for run in played if run.missing)
    return f"| {site} | {day} | {len(played)}{missed} | {len(broken)} | {rules} | {gate} | {absent} |"


def _rules(run):
    return _counts(run.rules) or "gate only"


def _counts(counts):
    return " ".join(f"{name} {count}" for name, count in counts.items())


def _cell(text, longest=200):
    text = " ".join(text.split()).replace("|", "/")
    return text if len(text) <= longest else text[: longest - 1] + "…"
