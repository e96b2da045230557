//! Reading and checking what operators write: setups (services, routes, aliases) and settings.

mod check;
mod settings;
mod setup;
mod sheet;

pub use check::{Complaint, Fields, complain};
pub use settings::{Setting, Settings, Shape, TIMES, check_times};
pub use setup::{Alias, MOST_SETUP_BYTES, Route, Service, Setup, Terms};
pub use sheet::Sheet;
