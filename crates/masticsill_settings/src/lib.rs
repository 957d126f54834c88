//! Settings of a process, read from a JSON file and checked.
//!
//! One file describes one process. [`Settings::read`] refuses unknown fields and checks every
//! value. Each error message names the field, the value and the remedy.

mod check;
mod error;
mod file;
mod settings;

pub use error::SettingsError;
pub use settings::{
    AgentSettings, ControlSettings, EndpointSettings, EntrySettings, OperatorSettings,
    RoleSettings, Settings, VoterSettings,
};
