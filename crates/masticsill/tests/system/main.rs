//! The whole system as real processes, behind fault proxies.

mod bad_input;
mod balancer_grace;
mod calls_once;
mod catalogue_force;
mod control_losses;
mod double_losses;
mod lost_entries;
mod operators;
mod planned_stops;
mod single_losses;
mod support;
mod whole_path;
