//! Parsing and validation of what operators write: configurations (services, routes, aliases) and settings.
//!
//! * [`Configuration`] is parsed from JSON and validated as a whole; every error names the path of the value that is
//!   wrong. Lookups find the route and the services of a request.
//! * [`Settings`] are a process's own options, from a settings file and command-line flags, checked against tables of
//!   [`Setting`]s.
//! * [`JsonValue`] and [`ObjectReader`] read other JSON inputs with the same kind of errors ([`ValidationError`]).

mod configuration;
mod json_codec;
mod json_value;
mod model;
mod object_reader;
mod parser;
mod settings;
mod time_settings;
mod validation;

pub use configuration::Configuration;
pub use json_value::{JsonError, JsonValue};
pub use model::{Alias, Route, RoutePolicy, Service, WeightedService};
pub use object_reader::ObjectReader;
pub use parser::MAX_CONFIGURATION_BYTES;
pub use settings::{Setting, SettingType, Settings};
pub use time_settings::{TIME_SETTINGS, validate_times};
pub use validation::{ValidationError, add_validation_error};
