//! JSON settings of a process, checked as a whole.
//!
//! One file describes one process. [`Settings::read`] refuses unknown fields and checks every
//! value; each message names the field, the value and the remedy.

mod check;
mod error;
mod file;
mod settings;

pub use error::SettingsError;
pub use settings::{
    AgentSettings, ControlSettings, EndpointSettings, EntrySettings, OperatorSettings,
    RoleSettings, Settings, VoterSettings,
};
