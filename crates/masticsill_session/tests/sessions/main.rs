//! Sessions under failure, with fake engines and callers.

mod admission;
mod caller_return;
mod exact_resume;
mod support;
mod true_refusals;
