//! The HTTP interface for callers.

mod body;
mod completions;
mod health;
mod models;
mod plain;
mod refusal;
mod server;
mod sse;

pub(crate) use server::{Gateway, start_http};
