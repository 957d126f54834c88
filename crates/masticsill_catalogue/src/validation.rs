//! Validation of a complete catalogue entry.

use std::fmt;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::entry::{BackEnd, CatalogueEntry, EngineRole};

/// Maximum number of replicas of one entry.
pub const MAX_REPLICAS: u32 = 10_000;
/// Maximum number of availability zones that one entry may name.
pub const MAX_ZONES: usize = 64;

const MAX_ERROR_VALUE_CHARS: usize = 64;

/// An invalid field, its value and how to correct it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldError {
    /// Path of the field in the JSON.
    pub field: String,
    /// How to correct the value.
    pub remedy: String,
    /// The invalid value, truncated for display.
    pub value: String,
}

impl FieldError {
    /// Creates an error for a field; the value is truncated for display.
    pub fn new(
        field: impl Into<String>,
        value: impl fmt::Display,
        remedy: impl Into<String>,
    ) -> Self {
        let value = value.to_string();
        Self {
            field: field.into(),
            remedy: remedy.into(),
            value: value.chars().take(MAX_ERROR_VALUE_CHARS).collect(),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "`{}` is `{}`: {}",
            self.field, self.value, self.remedy
        )
    }
}

impl std::error::Error for FieldError {}

impl CatalogueEntry {
    /// Checks the complete entry.
    ///
    /// # Errors
    ///
    /// A [`FieldError`] for each problem: first those of the limits, then of the zones, the
    /// replicas and the roles.
    pub fn validate(&self) -> Result<(), Vec<FieldError>> {
        let mut errors = Vec::new();
        self.check_limits(&mut errors);
        self.check_zones(&mut errors);
        self.check_replicas(&mut errors);
        self.check_roles(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_limits(&self, errors: &mut Vec<FieldError>) {
        let Some(tokens_per_s) = self.limits.tokens_per_s else {
            return;
        };
        if let BackEnd::PlainService { service, .. } = &self.back_end {
            let remedy = format!(
                "leave it out: the plain service `{service}` generates no tokens; use `limits.requests_per_s`"
            );
            errors.push(FieldError::new("limits.tokens_per_s", tokens_per_s, remedy));
        }
        if let Some(requests_per_s) = self.limits.requests_per_s
            && tokens_per_s < requests_per_s
        {
            let remedy = format!(
                "use at least {requests_per_s}, one token for each of `limits.requests_per_s`"
            );
            errors.push(FieldError::new("limits.tokens_per_s", tokens_per_s, remedy));
        }
    }

    fn check_zones(&self, errors: &mut Vec<FieldError>) {
        let zones = &self.placement.zones;
        if zones.len() > MAX_ZONES {
            let count = format!("{} availability zones", zones.len());
            let remedy = format!(
                "name at most {MAX_ZONES}, or leave the list empty for any availability zone"
            );
            errors.push(FieldError::new("placement.zones", count, remedy));
        }
        let mut seen = IndexSet::new();
        for zone in zones {
            if !seen.insert(zone) {
                let remedy = "name each availability zone once";
                errors.push(FieldError::new("placement.zones", zone, remedy));
            }
        }
    }

    fn check_replicas(&self, errors: &mut Vec<FieldError>) {
        let replicas = self.placement.replicas;
        let zone_count = self.placement.zones.len();
        let field = "placement.replicas";
        if !(1..=MAX_REPLICAS).contains(&replicas) {
            let remedy = format!("use 1 to {MAX_REPLICAS}; to stop serving, delete the entry");
            errors.push(FieldError::new(field, replicas, remedy));
        } else if (replicas as usize) < zone_count {
            let remedy = format!(
                "use at least {zone_count}, one for each of `placement.zones`, or name fewer availability zones"
            );
            errors.push(FieldError::new(field, replicas, remedy));
        }
    }

    fn check_roles(&self, errors: &mut Vec<FieldError>) {
        let roles = &self.placement.roles;
        if roles.is_empty() {
            return;
        }
        if let BackEnd::PlainService { .. } = self.back_end {
            let count = format!("{} roles", roles.len());
            let remedy = "leave it out: only engines have roles";
            errors.push(FieldError::new("placement.roles", count, remedy));
            return;
        }
        let mut seen = IndexSet::new();
        for wanted in roles {
            let field = format!("placement.roles.{}", wanted.role);
            if !seen.insert(wanted.role) {
                let remedy = "name each role once";
                errors.push(FieldError::new(field, wanted.replicas, remedy));
            } else if wanted.replicas == 0 {
                let remedy = "use at least 1, or leave the role out";
                errors.push(FieldError::new(field, wanted.replicas, remedy));
            }
        }
        self.check_role_sum(errors);
        check_role_pair(&seen, errors);
    }

    fn check_role_sum(&self, errors: &mut Vec<FieldError>) {
        let replicas = self.placement.replicas;
        let wanted = self.placement.roles.iter();
        let sum: u64 = wanted.map(|role| u64::from(role.replicas)).sum();
        if sum != u64::from(replicas) {
            let value = format!("{sum} replicas in all");
            let remedy = format!("make the roles add up to `placement.replicas`, {replicas}");
            errors.push(FieldError::new("placement.roles", value, remedy));
        }
    }
}

/// Checks that prefill and decode replicas are both wanted or both not: each role needs the other.
fn check_role_pair(roles: &IndexSet<EngineRole>, errors: &mut Vec<FieldError>) {
    let pair = [
        (EngineRole::Prefill, EngineRole::Decode),
        (EngineRole::Decode, EngineRole::Prefill),
    ];
    for (present, partner) in pair {
        if roles.contains(&present) && !roles.contains(&partner) {
            let remedy = format!(
                "add replicas with role `{partner}`, which `{present}` needs, or use `mixed`"
            );
            errors.push(FieldError::new("placement.roles", present, remedy));
        }
    }
}
