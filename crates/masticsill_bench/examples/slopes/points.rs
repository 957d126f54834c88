//! Points of a table, the fits over them, and what the measurements share.

use std::time::Duration;

use indexmap::IndexMap;
use masticsill_bench::{Fit, System, SystemSettings};
use serde_json::{Value, json};

pub(crate) const RAMP_MS: u64 = 1_000;
pub(crate) const SETTLE_MS: u64 = 1_500;
pub(crate) const WINDOW_MS: u64 = 4_000;

pub(crate) fn body(max_tokens: u64) -> Value {
    json!({"model": "draft", "prompt": "plan", "max_tokens": max_tokens, "seed": 7, "stream": true})
}

pub(crate) fn pause(duration_ms: u64) {
    std::thread::sleep(Duration::from_millis(duration_ms));
}

pub(crate) fn control_system(settings: SystemSettings) -> System {
    System::start(SystemSettings {
        control_count: 3,
        ..settings
    })
}

fn print_fit(what: &str, inputs: &[Vec<f64>], values: &[f64]) {
    match Fit::new(inputs, values) {
        Some(fit) => println!("fit: {what} = {fit}"),
        None => println!("fit: {what}: the points do not decide it"),
    }
}

/// Points of one table: the inputs of the fit and one column of values for each quantity.
#[derive(Default)]
pub(crate) struct Points {
    inputs: Vec<Vec<f64>>,
    values: IndexMap<&'static str, Vec<f64>>,
}

impl Points {
    pub(crate) fn add(&mut self, inputs: Vec<f64>, values: &[(&'static str, f64)]) {
        self.inputs.push(inputs);
        for (name, value) in values {
            self.values.entry(name).or_default().push(*value);
        }
    }

    pub(crate) fn print(&self, inputs: &str) {
        for (name, values) in &self.values {
            print_fit(&format!("{name} over {inputs}"), &self.inputs, values);
        }
    }
}
