//! System tests: real processes that communicate through fault-injecting proxies.

mod bad_input;
mod balancer_grace;
mod calls_cut;
mod calls_once;
mod catalogue_force;
mod control_losses;
mod crossed_answers;
mod double_losses;
mod engine_orders;
mod load_system;
mod lost_entries;
mod operator_pages;
mod operators;
mod planned_stops;
mod restarted_agents;
mod routing_load;
mod single_losses;
mod support;
mod whole_path;
