"""Runs the users' bench in a clean worktree, one day and seed at a time, several side by side."""

import concurrent.futures
import dataclasses
import json
import pathlib
import re
import shutil
import subprocess
import tomllib

from . import results, strikes

SNAPSHOT = re.compile(r"^snapshot ([0-9a-f]+)$", re.MULTILINE)
JOURNAL = "journal"
# The journal's folder of sources, whose files are named by the first digits of what they hold.
SOURCES = "blobs"
DIGEST_IN_NAME = 16


class BenchError(Exception):
    """The bench or the worktree can't be used."""


@dataclasses.dataclass(frozen=True)
class Bench:
    """The bench's program, the worktree that it measures, and where its output goes."""

    program: str
    worktree: pathlib.Path
    output: pathlib.Path

    def kinds(self, site):
        """What the bench lists as kinds of trouble for a site."""
        return self._call(["kinds", str(site)]).stdout

    def build(self):
        """Builds the worktree, so that runs side by side find it built."""
        done = self._call(["build"])
        if done.returncode != 0:
            raise BenchError(f"the build failed: {done.stdout}{done.stderr}")

    def play(self, site, day, seed, why, log=None):
        """Plays one day file on one seed; the output and the report stay in the output folder."""
        stem = self.output / f"{site.stem}.{day.stem}.{seed}"
        words = ["run", str(site), str(day), "--seed", str(seed), "--jobs", "1", "--why", why]
        words += ["--report", f"{stem}.report.json"]
        words += ["--log", log] if log else []
        done = self._call(words)
        pathlib.Path(f"{stem}.txt").write_text(done.stdout + done.stderr)
        snapshot = SNAPSHOT.search(done.stdout)
        if not snapshot:
            last_line = (done.stderr or done.stdout).strip().splitlines()[-1:]
            return results.not_played(site.stem, day.stem, seed, " ".join(last_line) or f"ended with {done.returncode}")
        result = self._result(snapshot.group(1), seed)
        report = pathlib.Path(f"{stem}.report.json")
        if result.outcome == results.NOT_PLAYED or not report.exists():
            return result
        events = json.loads(report.read_text())["events"]
        return dataclasses.replace(result, missing=strikes.missing(tomllib.loads(day.read_text()), events))

    def entries(self):
        """The names of the worktree's journal entries, also of those that the bench took over from other worktrees."""
        return {path.name for path in (self.worktree / JOURNAL).glob("*.json")}

    def own_entries(self, why):
        """The entries of runs that were started for this reason."""
        journal = self.worktree / JOURNAL
        return {name for name in self.entries() if json.loads((journal / name).read_text()).get("why") == why}

    def copy_entries(self, names, journal):
        """Copies entries as they are into another journal, with the sources they name; an entry that is there stays.

        The bench writes an entry when a run starts and again when it ends, so name those of ended runs only.
        """
        for name in sorted(names):
            entry = json.loads((self.worktree / JOURNAL / name).read_text())
            for path in [name, *_sources(entry)]:
                self._copy(path, pathlib.Path(journal))

    def _copy(self, path, journal):
        source = self.worktree / JOURNAL / path
        target = journal / path
        if source.exists() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(source, target)

    def _result(self, snapshot, seed):
        found = list((self.worktree / JOURNAL).glob(f"*-{snapshot}.json"))
        if len(found) != 1:
            raise BenchError(f"{len(found)} journal entries for snapshot {snapshot}")
        result = results.of_entry(json.loads(found[0].read_text()), found[0].name)[0]
        return result if result.day else dataclasses.replace(result, seed=seed)

    def _call(self, words):
        return subprocess.run([self.program, *words], cwd=self.worktree, capture_output=True, text=True, check=False)


def clean_worktree(repository, revision, folder):
    """A worktree without changes at a revision: made, or taken as it is if it is there already."""
    commit = _git(repository, "rev-parse", "--verify", f"{revision}^{{commit}}")
    folder = pathlib.Path(folder)
    if not folder.exists():
        _git(repository, "worktree", "add", "--detach", str(folder), commit)
    if _git(folder, "rev-parse", "HEAD") != commit:
        raise BenchError(f"{folder} isn't at {commit}: name another folder, or remove that worktree")
    changed = [line for line in _git(folder, "status", "--porcelain").splitlines() if not _is_journal(line)]
    if changed:
        raise BenchError(f"{folder} has changes: {'; '.join(changed[:3])}")
    return folder, commit


def play_all(bench, plays, jobs, tell):
    """Plays all; those that were given up again, with half as many side by side, at last one by one.

    `plays` are the arguments of `Bench.play`; `tell` is called with each result, in the order in which they end, and
    with whether the same day is to be played again.
    """
    while plays:
        again = []
        with concurrent.futures.ThreadPoolExecutor(max_workers=jobs) as pool:
            running = {pool.submit(bench.play, *play): play for play in plays}
            for done in concurrent.futures.as_completed(running):
                result = done.result()
                is_again = result.outcome == results.NOT_PLAYED and jobs > 1
                if is_again:
                    again.append(running[done])
                tell(result, is_again)
        plays, jobs = again, max(1, jobs // 2)


def _sources(entry):
    """Where the journal keeps the files that an entry's sources have changed since its base."""
    files = (entry.get("tree") or {}).get("files", [])
    return [f"{SOURCES}/{file['sha256'][:DIGEST_IN_NAME]}.txt" for file in files]


def _is_journal(line):
    return line[3:].startswith(f"{JOURNAL}/")


def _git(folder, *words):
    done = subprocess.run(["git", "-C", str(folder), *words], capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise BenchError(f"git {' '.join(words)}: {done.stderr.strip()}")
    return done.stdout.rstrip("\n")
