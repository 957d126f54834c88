//! Wire types and RPC services between masticsill processes, and HTTP types of the engines.
//!
//! - Between processes: `tarpc` services over TCP, length-delimited frames, `postcard` bodies.
//! - Between agents and engines: JSON over HTTP, with server-sent events for streams.

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
