"""The command line of `deploy/hunt`."""

import argparse
import fnmatch
import json
import os
import pathlib
import sys
import tomllib

from . import bench, days, results

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

NOTHING_BROKEN = 0
BROKEN = 1
BAD_USAGE = 2
NOT_ALL_PLAYED = 3


def main(words):
    """Runs one verb and gives the exit code."""
    flags = _parser().parse_args(words)
    try:
        return flags.verb(flags)
    except (bench.BenchError, days.TemplateError, OSError, tomllib.TOMLDecodeError, ValueError) as error:
        print(f"hunt: {error}", file=sys.stderr)
        return BAD_USAGE


def seeds(text):
    """The seeds of `3`, `1,2,5` or `1..20` (both ends taken), or of several of these with commas."""
    found = []
    for part in text.split(","):
        first, _, last = part.partition("..")
        found += range(int(first), int(last or first) + 1)
    if not found:
        raise ValueError(f"no seed in {text}")
    return list(dict.fromkeys(found))


def chosen(files, patterns):
    """The files whose name without its ending fits a pattern, in the order of the patterns; all where there is none."""
    if not patterns:
        return files
    fitting = [path for pattern in patterns for path in files if fnmatch.fnmatch(path.stem, pattern)]
    return list(dict.fromkeys(fitting))


def day_files(names):
    """The day files that are named, and those in folders that are named."""
    files = []
    for name in map(pathlib.Path, names):
        files += sorted(name.glob("*.toml")) if name.is_dir() else [name]
    return [path.resolve() for path in files]


def _days(flags):
    site = tomllib.loads(flags.site.read_text())
    listed = bench.Bench(_program(flags), REPOSITORY, flags.out).kinds(flags.site.resolve())
    made = days.make(days.read_templates(flags.templates), site, days.listed_kinds(listed))
    print(f"{days.write(made, flags.out)} days in {flags.out}")
    return NOTHING_BROKEN


def _play(flags):
    worktree, commit = bench.clean_worktree(REPOSITORY, flags.commit, flags.tree)
    flags.keep.mkdir(parents=True, exist_ok=True)
    player = bench.Bench(_program(flags), worktree, flags.keep.resolve())
    site = flags.site.resolve()
    files = chosen(day_files(flags.days), flags.only)
    if not files:
        raise ValueError("no day file fits")
    kept = flags.keep / f"results-{site.stem}-{commit[:12]}.jsonl"
    before = [] if flags.anew else _read_results(kept)
    known = {(result.day, result.seed) for result in before if result.outcome != results.NOT_PLAYED}
    plays = [(site, path, seed, flags.why, flags.log) for path in files for seed in seeds(flags.seeds)]
    plays = [play for play in plays if (play[1].stem, play[2]) not in known]
    print(f"{len(plays)} runs on {site.stem} at {commit[:12]}, {flags.jobs} side by side; {len(known)} are known")
    player.build()
    found = play_and_keep(player, plays, flags, kept)
    asked = {(path.stem, seed) for path in files for seed in seeds(flags.seeds)}
    earlier = [result for result in before if (result.day, result.seed) in asked & known]
    return _tell(earlier + found, flags.whole)


def play_and_keep(player, plays, flags, kept):
    """Plays; keeps each result and its journal entry as it comes, and at the end those of runs that broke off."""
    found = []
    there_before = player.entries()

    def tell(result, is_again):
        if result.entry:
            player.copy_entries([result.entry], flags.journal)
        print(_line(result) + (", to be played again" if is_again else ""), flush=True)
        if not is_again:
            found.append(result)
            with kept.open("a") as file:
                file.write(result.to_json() + "\n")

    try:
        bench.play_all(player, plays, flags.jobs, tell)
    finally:
        player.copy_entries(player.own_entries(flags.why) - there_before, flags.journal)
    return found


def _line(result):
    rules = " ".join(f"{rule} {count}" for rule, count in result.rules.items())
    return " ".join(filter(None, [result.outcome, result.day, str(result.seed), rules, "; ".join(result.notes[:1])]))


def _read_results(path):
    return [results.Result.from_json(line) for line in path.read_text().splitlines()] if path.exists() else []


def _table(flags):
    found = []
    for path in flags.entries:
        if path.suffix == ".jsonl":
            found += _read_results(path)
        else:
            found += results.of_entry(json.loads(path.read_text()), path.name)
    return _tell(found, flags.whole)


def _tell(found, whole):
    print(results.table(found, whole))
    outcomes = {result.outcome for result in found}
    if results.BROKEN in outcomes:
        return BROKEN
    return NOT_ALL_PLAYED if results.NOT_PLAYED in outcomes else NOTHING_BROKEN


def _program(flags):
    program = flags.bench or os.environ.get("FLEETBENCH")
    if not program:
        raise ValueError("name the bench's program with --bench or in FLEETBENCH")
    return program


def _parser():
    parser = argparse.ArgumentParser(
        prog="deploy/hunt",
        description=__doc__,
        epilog="exit codes: 0 nothing broken, 1 a rule or the gate broken, 2 bad usage, 3 some runs could not be played",
    )
    verbs = parser.add_subparsers(required=True)
    _add_days(verbs)
    _add_play(verbs)
    table = verbs.add_parser("table", help="the table of results kept before, or of journal entries")
    table.add_argument("entries", nargs="+", type=pathlib.Path, help="results-*.jsonl, or journal/*.json")
    table.add_argument("--whole", action="store_true", help="also rows of days of which there is nothing to say")
    table.set_defaults(verb=_table)
    return parser


def _add_days(verbs):
    write = verbs.add_parser("days", help="write the days for a site")
    write.add_argument("site", type=pathlib.Path, help="the site file; nothing of it is kept but in --out")
    write.add_argument("--out", type=pathlib.Path, required=True, help="the folder for the day files, outside the repository")
    write.add_argument("--templates", type=pathlib.Path, default=days.TEMPLATES)
    write.add_argument("--bench", help="the bench's program; else FLEETBENCH names it")
    write.set_defaults(verb=_days)


def _add_play(verbs):
    play = verbs.add_parser("play", help="play days on seeds and print what broke")
    play.add_argument("site", type=pathlib.Path)
    play.add_argument("days", nargs="+", help="day files, or folders of them")
    play.add_argument("--only", action="append", default=[], metavar="PATTERN", help="only days named so; may be repeated")
    play.add_argument("--seeds", default="1..2", help="such as 1..20 or 3,7 (default 1..2)")
    play.add_argument("--commit", default="HEAD", help="what to measure (default HEAD)")
    play.add_argument("--tree", type=pathlib.Path, required=True, help="the clean worktree: made if it isn't there")
    play.add_argument("--keep", type=pathlib.Path, required=True, help="the folder for outputs, reports and results")
    play.add_argument("--jobs", type=int, default=3, help="runs side by side (default 3)")
    play.add_argument("--why", required=True, help="for the journal")
    play.add_argument("--log", help="machines whose output is kept with the run's, or all")
    play.add_argument("--anew", action="store_true", help="also play what --keep has a result of")
    play.add_argument("--journal", type=pathlib.Path, default=REPOSITORY / bench.JOURNAL, help="where new entries are copied")
    play.add_argument("--bench", help="the bench's program; else FLEETBENCH names it")
    play.add_argument("--whole", action="store_true", help="also rows of days of which there is nothing to say")
    play.set_defaults(verb=_play)
