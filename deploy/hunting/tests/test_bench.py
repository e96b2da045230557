"""The runner, with a script in the place of the bench."""

import argparse
import json
import pathlib
import stat
import subprocess
import tempfile
import threading
import unittest

from hunting import bench, command, results

# Writes the entry that a run of the bench would leave. A day named 'busy' is given up the first time that anything is
# played, as on a machine that is too busy; one named 'odd' leaves no entry, and one named 'slow' waits for the file 'go'.
# As the bench does, it writes an entry also when it starts.
SCRIPT = """#!/bin/sh
[ "$1" = build ] && exit 0
day=$(basename "$3" .toml); seed=$5
[ "$day" = odd ] && { echo "the day can't be read" >&2; exit 1; }
error=null
[ "$day" = busy ] && [ ! -e played ] && error='"too busy: the day was given up"'
touch played
mkdir -p journal
entry="journal/1-$seed$(printf %s "$day" | od -An -tx1 | tr -d ' \\n').json"
echo '{"error": "the run did not finish", "days": []}' > "$entry"
while [ "$day" = slow ] && [ ! -e go ]; do :; done
printf '{"site": "north", "error": %s, "days": [{"name": "%s", "seed": %s, "rules": {}, "gate": true, "served": 1.0}]}' \
    "$error" "$day" "$seed" > "$entry"
echo "snapshot $seed$(printf %s "$day" | od -An -tx1 | tr -d ' \\n')"
"""


class Plays(unittest.TestCase):
    """Runs of a script that stands for the bench."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        program = self.folder / "bench"
        program.write_text(SCRIPT)
        program.chmod(program.stat().st_mode | stat.S_IXUSR)
        self.worktree = self.folder / "tree"
        self.worktree.mkdir()
        self.player = bench.Bench(str(program), self.worktree, self.folder)

    def play(self, days, jobs=2):
        """The last results of days on seed 7."""
        found = []
        self.reported = []

        def tell(result, is_again):
            self.reported.append((result.outcome, is_again))
            if not is_again:
                found.append(result)

        plays = [(pathlib.Path("north.toml"), pathlib.Path(f"{day}.toml"), 7, "why") for day in days]
        bench.play_all(self.player, plays, jobs, tell)
        return found

    def test_a_run_is_read_from_its_journal_entry(self):
        (result,) = self.play(["calm"])
        self.assertEqual((result.day, result.seed, result.outcome), ("calm", 7, results.PASSED))

    def test_troubles_that_did_not_strike_are_read_from_the_report(self):
        day = self.folder / "calm.toml"
        day.write_text('faults = [{ at = 1.0, kind = "cut" }, { at = 2.0, kind = "wipe" }]')
        (self.folder / "north.calm.7.report.json").write_text('{"events": [{"kind": "cut (leader)"}]}')
        result = self.player.play(pathlib.Path("north.toml"), day, 7, "why")
        self.assertEqual(result.missing, {"wipe": 1})

    def test_a_day_that_was_given_up_is_played_again(self):
        (result,) = self.play(["busy"])
        self.assertEqual(result.outcome, results.PASSED)
        self.assertEqual(self.reported, [(results.NOT_PLAYED, True), (results.PASSED, False)])

    def test_a_day_that_is_given_up_played_is_reported_as_not_played(self):
        (result,) = self.play(["busy"], jobs=1)
        self.assertEqual(result.outcome, results.NOT_PLAYED)

    def test_a_run_without_an_entry_is_reported_with_the_benchs_words(self):
        (result,) = self.play(["odd"])
        self.assertEqual((result.outcome, result.notes), (results.NOT_PLAYED, ["the day can't be read"]))

    def test_an_entry_is_copied_as_it_is_with_its_sources_and_one_that_is_there_stays(self):
        self.play(["calm"])
        (name,) = self.player.entries()
        path = self.worktree / "journal" / name
        entry = json.loads(path.read_text()) | {"tree": {"files": [{"path": "a", "sha256": "0123456789abcdef0123"}]}}
        path.write_text(json.dumps(entry))
        (path.parent / "blobs").mkdir()
        (path.parent / "blobs" / "0123456789abcdef.txt").write_text("a source")
        target = self.folder / "journal"
        self.player.copy_entries([name], target)
        self.assertEqual((target / name).read_text(), path.read_text())
        self.assertEqual((target / "blobs" / "0123456789abcdef.txt").read_text(), "a source")
        (target / name).write_text("mine")
        self.player.copy_entries([name], target)
        self.assertEqual((target / name).read_text(), "mine")

    def test_entries_that_the_bench_took_over_from_other_worktrees_are_not_ours(self):
        journal = self.worktree / "journal"
        journal.mkdir()
        (journal / "1-ours.json").write_text('{"why": "why", "error": "the run did not finish", "days": []}')
        (journal / "1-theirs.json").write_text('{"why": "another", "error": "the run did not finish", "days": []}')
        self.assertEqual(self.player.own_entries("why"), {"1-ours.json"})

    def test_an_entry_is_copied_when_its_run_has_ended_and_not_as_it_stands_meanwhile(self):
        flags = argparse.Namespace(jobs=2, why="why", journal=self.folder / "copies")
        plays = [(pathlib.Path("north.toml"), pathlib.Path(f"{day}.toml"), 7, "why") for day in ("slow", "calm")]
        kept = self.folder / "results.jsonl"
        run = threading.Thread(target=command.play_and_keep, args=(self.player, plays, flags, kept))
        run.start()
        while not (kept.exists() and kept.read_text().endswith("\n")):
            pass
        (self.worktree / "go").touch()
        run.join()
        for entry in (self.worktree / "journal").iterdir():
            self.assertEqual((flags.journal / entry.name).read_text(), entry.read_text())
            self.assertNotIn("did not finish", entry.read_text())


class CleanWorktree(unittest.TestCase):
    """The worktree that is measured."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.repository = pathlib.Path(folder.name) / "repository"
        self.repository.mkdir()
        self.tree = pathlib.Path(folder.name) / "tree"
        self.git("init", "--quiet")
        (self.repository / "file").write_text("one")
        self.commit()

    def git(self, *words):
        """Runs git in the repository."""
        who = ["-c", "user.name=test", "-c", "user.email=test@localhost"]
        subprocess.run(["git", "-C", str(self.repository), *who, *words], check=True, capture_output=True)

    def commit(self):
        """Commits everything."""
        self.git("add", "--all")
        self.git("commit", "--quiet", "--message", "a change")

    def test_it_is_made_once_and_then_taken_as_it_is(self):
        made = bench.clean_worktree(self.repository, "HEAD", self.tree)
        self.assertEqual((self.tree / "file").read_text(), "one")
        self.assertEqual(bench.clean_worktree(self.repository, "HEAD", self.tree), made)

    def test_entries_of_the_journal_are_no_change_but_all_else_is(self):
        bench.clean_worktree(self.repository, "HEAD", self.tree)
        (self.tree / "journal").mkdir()
        (self.tree / "journal" / "entry.json").write_text(json.dumps({}))
        bench.clean_worktree(self.repository, "HEAD", self.tree)
        (self.tree / "file").write_text("two")
        with self.assertRaisesRegex(bench.BenchError, "has changes"):
            bench.clean_worktree(self.repository, "HEAD", self.tree)

    def test_one_at_another_commit_is_refused(self):
        bench.clean_worktree(self.repository, "HEAD", self.tree)
        (self.repository / "file").write_text("two")
        self.commit()
        with self.assertRaisesRegex(bench.BenchError, "isn't at"):
            bench.clean_worktree(self.repository, "HEAD", self.tree)


class Choice(unittest.TestCase):
    """Seeds and days as the command line names them."""

    def test_seeds_are_numbers_and_spans_with_both_ends(self):
        self.assertEqual(command.seeds("3,1..4,9"), [3, 1, 2, 4, 9])
        with self.assertRaises(ValueError):
            command.seeds("4..1")

    def test_days_come_in_the_order_of_the_patterns_each_once(self):
        files = [pathlib.Path(f"{name}.toml") for name in ("k-cut-1", "k-disk-1", "p-cut+disk")]
        found = command.chosen(files, ["k-disk-*", "k-*"])
        self.assertEqual([path.stem for path in found], ["k-disk-1", "k-cut-1"])
        self.assertEqual(command.chosen(files, []), files)


if __name__ == "__main__":
    unittest.main()
