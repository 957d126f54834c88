//! Sessions under failures, with fake agents and callers.

mod admission;
mod caller_return;
mod exact_resume;
mod holder_search;
mod support;
mod true_refusals;
