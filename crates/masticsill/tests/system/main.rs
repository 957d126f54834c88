//! The whole system as real processes, behind fault proxies.

mod calls_once;
mod control_losses;
mod double_losses;
mod load_system;
mod lost_entries;
mod operator_pages;
mod planned_stops;
mod routing_load;
mod single_losses;
mod support;
mod whole_path;
