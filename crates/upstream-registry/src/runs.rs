//! Neighbouring keys of one kind, told as one run.

/// Keys from a first to a last one, both counted, and what is true of all of them.
pub(crate) type Run<Kind> = (u32, u32, Kind);

/// Joins runs that follow one another without a gap and are of one kind; they come in the order of their keys.
pub(crate) fn join_runs<Kind: PartialEq>(runs: impl Iterator<Item = Run<Kind>>) -> Vec<Run<Kind>> {
    runs.fold(
        Vec::new(),
        |mut joined: Vec<Run<Kind>>, (from, to, kind)| {
            match joined.last_mut() {
                Some((_, last, same)) if *last + 1 == from && *same == kind => *last = to,
                _ => joined.push((from, to, kind)),
            }
            joined
        },
    )
}
