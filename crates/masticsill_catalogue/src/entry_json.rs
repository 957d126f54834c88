//! The JSON form of an entry, in files and in the administration API.
//!
//! Numbers and names are deserialized unchecked and validated on conversion, so that one answer
//! lists every invalid field. Unknown fields are refused.

use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;

use indexmap::IndexMap;
use masticsill_types::{Class, EntryId, ModelId, ModelTarget};
use serde::{Deserialize, Serialize};

use crate::entry::{BackEnd, CatalogueEntry, EngineRole, Limits, Placement, RoleReplicas};
use crate::validation::FieldError;

/// An entry as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryJson {
    /// The entry's name.
    pub id: String,
    /// The workspace that owns it.
    pub owner: String,
    /// `instant_lookup` or `patient_draft`.
    pub class: String,
    /// What serves the entry.
    pub back_end: BackEndJson,
    /// What the entry's callers may consume.
    #[serde(default)]
    pub limits: LimitsJson,
    /// In which availability zones the entry runs, and with how many replicas.
    pub placement: PlacementJson,
}

/// A back end as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum BackEndJson {
    /// Model engines.
    Engine {
        /// The model's name.
        model: String,
        /// The model's version.
        version: String,
        /// The adapter applied to the model, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
    },
    /// A plain service.
    PlainService {
        /// The service's name.
        service: String,
        /// Whether calls are idempotent, so that a call may be sent again. There is no default,
        /// because a wrong one could run a call twice, for example placing an order twice.
        is_repeatable: bool,
    },
}

/// Limits as JSON; an absent number means no limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsJson {
    /// Generations or calls running concurrently.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_generations: Option<i64>,
    /// Requests queued for a free slot.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_length: Option<i64>,
    /// Requests admitted per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<i64>,
    /// Tokens generated per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<i64>,
}

/// Placement as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementJson {
    /// Total number of replicas wanted.
    pub replicas: i64,
    /// Number of replicas wanted in each role: `decode`, `mixed`, `prefill`.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub roles: IndexMap<String, i64>,
    /// Availability zones that may hold replicas; empty means any zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
}

/// Converts JSON values to the types of an entry and collects the errors.
#[derive(Debug, Default)]
struct FieldConverter {
    errors: Vec<FieldError>,
}

impl FieldConverter {
    fn parse<T>(&mut self, field: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let to_field_error = |error: T::Err| FieldError::new(field, text, error.to_string());
        text.parse()
            .map_err(|error| self.errors.push(to_field_error(error)))
            .ok()
    }

    fn limit(&mut self, name: &str, value: Option<i64>) -> Option<NonZeroU32> {
        let value = value?;
        let number = u32::try_from(value).ok().and_then(NonZeroU32::new);
        if number.is_none() {
            let remedy = format!("use 1 to {}, or leave it out for no limit", u32::MAX);
            let field = format!("limits.{name}");
            self.errors.push(FieldError::new(field, value, remedy));
        }
        number
    }

    fn count(&mut self, field: impl Into<String>, value: i64) -> u32 {
        u32::try_from(value).unwrap_or_else(|_| {
            let remedy = format!("use a whole number from 1 to {}", u32::MAX);
            self.errors.push(FieldError::new(field, value, remedy));
            0
        })
    }

    fn limits(&mut self, json: LimitsJson) -> Limits {
        Limits {
            concurrent_generations: self
                .limit("concurrent_generations", json.concurrent_generations),
            queue_length: self.limit("queue_length", json.queue_length),
            requests_per_s: self.limit("requests_per_s", json.requests_per_s),
            tokens_per_s: self.limit("tokens_per_s", json.tokens_per_s),
        }
    }

    fn back_end(&mut self, json: &BackEndJson) -> Option<BackEnd> {
        match json {
            BackEndJson::Engine {
                model,
                version,
                adapter,
            } => {
                let model = self.parse("back_end.model", model);
                let version = self.parse("back_end.version", version);
                let adapter = match adapter {
                    Some(adapter) => Some(self.parse("back_end.adapter", adapter)?),
                    None => None,
                };
                let target = ModelTarget {
                    adapter,
                    model: model?,
                    version: version?,
                };
                Some(BackEnd::Engine { target })
            }
            BackEndJson::PlainService {
                service,
                is_repeatable,
            } => {
                let service: ModelId = self.parse("back_end.service", service)?;
                Some(BackEnd::PlainService {
                    service,
                    is_repeatable: *is_repeatable,
                })
            }
        }
    }

    fn role(&mut self, name: &str, replicas: i64) -> Option<RoleReplicas> {
        let field = format!("placement.roles.{name}");
        let Some(role) = EngineRole::ALL
            .into_iter()
            .find(|role| role.as_str() == name)
        else {
            let remedy = "use the roles `decode`, `mixed` or `prefill`";
            self.errors.push(FieldError::new(field, name, remedy));
            return None;
        };
        let replicas = self.count(field, replicas);
        Some(RoleReplicas { replicas, role })
    }

    fn placement(&mut self, json: &PlacementJson) -> Placement {
        let roles = json.roles.iter();
        let zones = json.zones.iter();
        Placement {
            replicas: self.count("placement.replicas", json.replicas),
            roles: roles
                .filter_map(|(name, replicas)| self.role(name, *replicas))
                .collect(),
            zones: zones
                .filter_map(|zone| self.parse("placement.zones", zone))
                .collect(),
        }
    }
}

impl TryFrom<EntryJson> for CatalogueEntry {
    type Error = Vec<FieldError>;

    fn try_from(json: EntryJson) -> Result<Self, Self::Error> {
        let mut fields = FieldConverter::default();
        let id: Option<EntryId> = fields.parse("id", &json.id);
        let owner = fields.parse("owner", &json.owner);
        let class: Option<Class> = fields.parse("class", &json.class);
        let back_end = fields.back_end(&json.back_end);
        let limits = fields.limits(json.limits);
        let placement = fields.placement(&json.placement);
        let (Some(id), Some(owner), Some(class), Some(back_end)) = (id, owner, class, back_end)
        else {
            return Err(fields.errors);
        };
        if !fields.errors.is_empty() {
            return Err(fields.errors);
        }
        let entry = Self {
            back_end,
            class,
            id,
            limits,
            owner,
            placement,
        };
        entry.validate()?;
        Ok(entry)
    }
}

impl From<&BackEnd> for BackEndJson {
    fn from(back_end: &BackEnd) -> Self {
        match back_end {
            BackEnd::Engine { target } => Self::Engine {
                model: target.model.to_string(),
                version: target.version.to_string(),
                adapter: target.adapter.as_ref().map(ToString::to_string),
            },
            BackEnd::PlainService {
                service,
                is_repeatable,
            } => Self::PlainService {
                service: service.to_string(),
                is_repeatable: *is_repeatable,
            },
        }
    }
}

impl From<Limits> for LimitsJson {
    fn from(limits: Limits) -> Self {
        let number = |limit: Option<NonZeroU32>| limit.map(|limit| i64::from(limit.get()));
        Self {
            concurrent_generations: number(limits.concurrent_generations),
            queue_length: number(limits.queue_length),
            requests_per_s: number(limits.requests_per_s),
            tokens_per_s: number(limits.tokens_per_s),
        }
    }
}

impl From<&Placement> for PlacementJson {
    fn from(placement: &Placement) -> Self {
        let named = |wanted: &RoleReplicas| (wanted.role.to_string(), i64::from(wanted.replicas));
        Self {
            replicas: i64::from(placement.replicas),
            roles: placement.roles.iter().map(named).collect(),
            zones: placement.zones.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<&CatalogueEntry> for EntryJson {
    fn from(entry: &CatalogueEntry) -> Self {
        Self {
            id: entry.id.to_string(),
            owner: entry.owner.to_string(),
            class: entry.class.to_string(),
            back_end: BackEndJson::from(&entry.back_end),
            limits: LimitsJson::from(entry.limits),
            placement: PlacementJson::from(&entry.placement),
        }
    }
}
