//! Upstreams that turn cold, and what they get meanwhile.

mod floods;
mod harness;
mod warm_up_checks;
