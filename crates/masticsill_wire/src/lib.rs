//! Wire types and services between masticsill processes, and the engines' HTTP types.
//!
//! Between processes: `tarpc` services over TCP, length-delimited frames, `postcard` bodies.
//! Towards engines: JSON over HTTP, streams by server-sent events.

pub mod admin;
pub mod agent;
mod codec;
pub mod control;
pub mod engine;
pub mod entry;
pub mod node;
mod service;

pub use codec::{CodecError, MAX_FRAME_BYTES, PostcardCodec};
pub use service::{ServiceKind, UnknownService};
