//! A local fleet of real processes with stand-in upstreams and clients, faults injected into them, and peers that follow
//! a script.
//!
//! [`runs`] lays a site out on this machine, loads it, injects the faults of a plan and checks what was seen.
//! [`soak`] lets signals, restarts and changes of real processes overlap, drawn from a seed.
//! [`scripted`] has peers, proxies and clients whose every step a test decides.

pub mod fleet;
pub mod link_proxies;
pub mod plans;
pub mod runs;
pub mod scripted;
pub mod soak;
pub mod stand_in_clients;
pub mod stand_in_upstreams;
