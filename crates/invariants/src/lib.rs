//! What was observed in a run, simulated or real, and the checkers of the rules that every run must keep.

pub mod history;
pub mod observations;
pub mod rules;
