//! Reading and checking what operators write: setups (services, routes, aliases) and settings.

mod check;
mod configuration;
mod json_value;
mod settings;

pub use check::{ObjectReader, ValidationError, add_validation_error};
pub use configuration::{
    Alias, Configuration, MAX_CONFIGURATION_BYTES, Route, RoutePolicy, Service,
};
pub use json_value::JsonValue;
pub use settings::{Setting, SettingType, Settings, TIME_SETTINGS, validate_times};
