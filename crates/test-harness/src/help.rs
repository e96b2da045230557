//! The text of `--help`.

use testbed::plans::PLANS;

const HELP: &str = "test-harness proves mothspindle on this one machine.

usage: test-harness fleet [--shape roadwise|kalam|counters] [--seconds N] [--rate N] [--plan PLAN] [--keep FOLDER] [--untimed]

  --shape    the site to lay out (default roadwise)
  --seconds  how long to load it (default 20)
  --rate     requests a second (default: the site's own)
  --plan     what to break while it is loaded (default quiet); one of those below
  --untimed  report rules that hold within a time limit, but don't fail by them: for machines that others share
  --keep     lay data and logs out here and leave them; otherwise in a folder that is removed

       test-harness soak [--shape roadwise|kalam|ledger|counters] [--seeds FROM..UNTIL] [--seconds N] [--processes N] [--rate N]
                         [--keep FOLDER]

  real processes under signals, restarts, changes and lost upstreams that overlap, all drawn from the seed; then everything is
  killed at once
  --shape      the site (default: by seed in turn)
  --seeds      both ends are played (default 1..3), one after the other
  --seconds    how long trouble lasts (default 30); a seed takes about a minute more
  --processes  how many processes at least, up to 240
  --rate       requests a second beside those on held connections (default 60)
  --keep       leave data and logs below this folder; a seed with findings leaves them in any case

       test-harness measure     what the path costs: latency, updates, messages

       test-harness changes [--count N] [--routes R] [--nodes M]
                         what N changes (default 10000) of a configuration with R routes (default 400) leave on a disk,
                         and how a node catches up over a slow link

       test-harness overload    a site asked for more than its upstreams can bear, simulated

       test-harness hollow      hollow nodes by the hundred: what they send and cost; has a --help of its own

       test-harness explore [--scenario NAME] [--voters N] [--depth N] [--states N] [--seconds N] [--strays N]
                     [--crashes N] [--wipes N] [--replay CHOICES]

  visits every order of deliveries, syncs, crashes and replacements over the register's and the lease's own steps,
  in every scenario or in the one named, and prints what was visited and the first trace that breaks an invariant;
  a number changes the scenario's own budget (--strays: messages and disks that are delayed), --replay takes a trace's
  choices (of one scenario) again

       test-harness sim [--shape roadwise|kalam|ledger|counters] [--seeds FROM..UNTIL] [--plan PLAN] [--show WHAT]

  --seeds    which seeds to run (default 1..50)
  --plan     one fault, or two with a + between; without it each seed draws its own; 'each' runs every
             fault alone, 'pairs' every pair
  --show     also print what was seen of attempts, works or instances whose name holds this

  --help, --version

exit codes: 0 no rule broken, 1 a rule broken or the fleet not ready, 2 arguments rejected";

/// Prints the help with the plans and faults that can be named; false where it could not be written.
pub fn print() -> bool {
    let mut text = format!("{HELP}\n\nplans for a fleet:\n");
    for (name, description) in PLANS {
        text += &format!("  {name:<9} {description}\n");
    }
    let faults: Vec<&str> = simulator::fault_names().collect();
    text += &format!("\nfaults for sim: {}", faults.join(", "));
    transport::print_line(&text)
}
