//! Hollow nodes: the daemons' own cores by the hundred in one process, in virtual time, to count what they say and
//! what they cost at sizes that no machine here could run.

mod calls;
pub mod changes;
mod count;
mod figures;
mod fit;
mod flags;
mod fleet;
mod queue;
mod request;
mod sights;
mod size;
mod steps;
mod trials;
mod units;
mod ways;

pub use count::{Flow, Ledger, Reach, Role, Steps, Stopwatch, kind};
pub use figures::Figures;
pub use fit::{Fit, Growth, fit};
pub use flags::command;
pub use fleet::{Fleet, Load};
pub use request::request_path;
pub use size::{Size, TARGET, TODAY};
pub use trials::{Run, SETTLE, TRIALS, run};
pub use ways::ways;
