//! JSON types of the administration API.
//!
//! - `GET /v1/catalogue` answers a [`CatalogueJson`]; with `?watch=VERSION&wait_ms=W` it waits
//!   until the catalogue is past that version and answers a [`WatchJson`].
//! - `GET /v1/catalogue/{id}` answers an [`EntryInForceJson`].
//! - `PUT /v1/catalogue/{id}` takes a [`PutJson`], `DELETE /v1/catalogue/{id}` a [`DeleteJson`];
//!   both answer an [`AcceptedJson`], or an [`ErrorJson`] with the reason.
//! - `GET /v1/audit?after=SEQUENCE&limit=N` answers an [`AuditJson`].
//! - `GET /v1/replicas` answers a [`ReplicasJson`], `POST /v1/replicas` takes a [`JoinJson`].
//! - `GET /v1/document` answers a [`DocumentJson`], `GET /v1/endpoints` an [`EndpointsJson`].
//! - Every refusal answers an [`ErrorJson`].

use masticsill_catalogue::{
    AuditAction, AuditRecord, CatalogueEntry, ChangeAnswer, ChangeRefusal, EntryJson, FieldError,
    VersionedEntry,
};
use masticsill_registry::EndpointRecord;
use serde::{Deserialize, Serialize};

use crate::control::{AuditPage, ReplicaStanding, ReplicaView, ReplicasView};

/// Body of a put.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PutJson {
    /// Made once by the client; sending it again gets the first answer.
    pub change_id: String,
    /// The entry.
    pub entry: EntryJson,
    /// The entry's version that the change replaces; zero when it must not exist.
    pub expected_version: u64,
}

/// Body of a delete.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeleteJson {
    /// Made once by the client; sending it again gets the first answer.
    pub change_id: String,
    /// The entry's version that the change deletes.
    pub expected_version: u64,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedJson {
    /// The version of the catalogue, and of the entry, since the change.
    pub version: u64,
}

/// A refusal of any call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ErrorJson {
    /// Fields that are wrong.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<FieldJson>,
    /// The entry's version in force, in a version conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<u64>,
    /// What is wrong and what to do, for a person.
    pub message: String,
    /// What is wrong, for a script.
    pub reason: String,
}

/// A wrong field.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FieldJson {
    /// Its path in the entry.
    pub field: String,
    /// What to write instead.
    pub remedy: String,
    /// The value found.
    pub value: String,
}

/// An entry in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryInForceJson {
    /// The entry.
    pub entry: EntryJson,
    /// The catalogue version that last changed it.
    pub version: u64,
}

/// Every entry in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogueJson {
    /// The entries, by id.
    pub entries: Vec<EntryInForceJson>,
    /// The catalogue's version.
    pub version: u64,
}

/// What changed since the version watched from.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WatchJson {
    /// Entries deleted since; empty when `is_whole`.
    pub deleted: Vec<DeletedJson>,
    /// Entries put in force since, or all when `is_whole`.
    pub entries: Vec<EntryInForceJson>,
    /// Whether this is the whole catalogue: what is not listed is not in force.
    pub is_whole: bool,
    /// The catalogue's version; the next watch starts from here.
    pub version: u64,
}

/// A deletion.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DeletedJson {
    /// The entry.
    pub id: String,
    /// The catalogue version that deleted it.
    pub version: u64,
}

/// The catalogue as one document, as it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DocumentJson {
    /// The operator's bytes; what is no text in them is replaced.
    pub text: String,
    /// The operator's version.
    pub version: u64,
}

/// The endpoints that registered themselves, as one control replica knows them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointsJson {
    /// Every incarnation that is remembered.
    pub endpoints: Vec<EndpointJson>,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointJson {
    /// Where it serves.
    pub address: String,
    /// The incarnation.
    pub id: String,
    /// Whether it has not been heard for long.
    pub is_silent: bool,
    /// The number of its newest heartbeat.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// `ready`, `draining` or `gone`.
    pub state: String,
    /// Its availability zone.
    pub zone: String,
}

/// A part of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditJson {
    /// The trail's last sequence.
    pub last_sequence: u64,
    /// Records, oldest first.
    pub records: Vec<AuditRecordJson>,
}

/// One record of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecordJson {
    /// `put`, `delete`, `add_replica`, `remove_replica` or `document`.
    pub action: String,
    /// When, in milliseconds since 1970.
    pub at_wall_ms: u64,
    /// The change's id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
    /// The version expected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_version: Option<u64>,
    /// Why it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Who.
    pub operator: String,
    /// `accepted`, or the reason of the refusal.
    pub outcome: String,
    /// The entry's owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
    /// Place in the trail.
    pub sequence: u64,
    /// The entry or replica.
    pub subject: String,
    /// The version that the change made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

/// The control replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicasJson {
    /// The leader.
    pub leader: String,
    /// The members.
    pub replicas: Vec<ReplicaJson>,
    /// The leader's term.
    pub term: u64,
}

/// One control replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaJson {
    /// Its RPC address, if known.
    pub address: Option<String>,
    /// Its data folder's number, as hexadecimal digits.
    pub folder: String,
    /// The node.
    pub node: String,
    /// What it does in the quorum.
    pub standing: ReplicaStanding,
}

/// Body of `POST /v1/replicas`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JoinJson {
    /// RPC address of the new replica; the one in the settings if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// The new replica's node.
    pub node: String,
    /// The replica that leaves once the new one votes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<String>,
}

impl ErrorJson {
    /// A refusal with a reason and a message that names the remedy.
    #[must_use]
    pub fn new(reason: &str, message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            reason: reason.to_owned(),
            ..Self::default()
        }
    }

    /// A refusal of wrong fields.
    #[must_use]
    pub fn of_fields(errors: Vec<FieldError>) -> Self {
        Self::from(&ChangeRefusal::Invalid(errors))
    }
}

impl From<&FieldError> for FieldJson {
    fn from(error: &FieldError) -> Self {
        Self {
            field: error.field.clone(),
            remedy: error.remedy.clone(),
            value: error.value.clone(),
        }
    }
}

impl From<&ChangeRefusal> for ErrorJson {
    fn from(refusal: &ChangeRefusal) -> Self {
        let mut error = Self::new(refusal.as_str(), refusal.to_string());
        match refusal {
            ChangeRefusal::Invalid(errors) => {
                error.fields = errors.iter().map(FieldJson::from).collect();
            }
            ChangeRefusal::VersionConflict { in_force, .. } => error.in_force = Some(in_force.0),
            ChangeRefusal::CatalogueFull
            | ChangeRefusal::ChangeIdReused
            | ChangeRefusal::Forbidden { .. } => {}
        }
        error
    }
}

impl From<&VersionedEntry> for EntryInForceJson {
    fn from(held: &VersionedEntry) -> Self {
        Self {
            entry: EntryJson::from(&held.entry),
            version: held.version.0,
        }
    }
}

impl TryFrom<EntryInForceJson> for CatalogueEntry {
    type Error = Vec<FieldError>;

    fn try_from(json: EntryInForceJson) -> Result<Self, Self::Error> {
        json.entry.try_into()
    }
}

impl From<&AuditRecord> for AuditRecordJson {
    fn from(record: &AuditRecord) -> Self {
        let mut json = Self {
            action: String::new(),
            at_wall_ms: record.at_wall_ms,
            change_id: None,
            expected_version: None,
            message: None,
            operator: record.operator.to_string(),
            outcome: "accepted".to_owned(),
            owner: None,
            sequence: record.sequence,
            subject: String::new(),
            version: None,
        };
        match &record.action {
            AuditAction::Change(change) => {
                let action = if change.is_delete { "delete" } else { "put" };
                action.clone_into(&mut json.action);
                json.change_id = Some(change.id.to_string());
                json.expected_version = Some(change.expected_version.0);
                json.owner = change.owner.as_ref().map(ToString::to_string);
                json.subject = change.entry.to_string();
                json.take_answer(&change.answer);
            }
            AuditAction::Replicas { is_added, replica } => {
                let action = if *is_added {
                    "add_replica"
                } else {
                    "remove_replica"
                };
                action.clone_into(&mut json.action);
                json.subject = replica.to_string();
            }
            AuditAction::Document {
                is_accepted,
                version,
            } => {
                "document".clone_into(&mut json.action);
                json.version = Some(*version);
                if !is_accepted {
                    "superseded".clone_into(&mut json.outcome);
                }
            }
        }
        json
    }
}

impl AuditRecordJson {
    fn take_answer(&mut self, answer: &ChangeAnswer) {
        match answer {
            ChangeAnswer::Accepted { version } => self.version = Some(version.0),
            ChangeAnswer::Refused(refusal) => {
                refusal.as_str().clone_into(&mut self.outcome);
                self.message = Some(refusal.to_string());
            }
        }
    }
}

impl From<&EndpointRecord> for EndpointJson {
    fn from(record: &EndpointRecord) -> Self {
        let said = &record.announcement;
        Self {
            address: said.address.to_string(),
            id: said.id.to_string(),
            is_silent: record.is_silent,
            sequence: said.sequence,
            service: said.service.clone(),
            slots: said.slots,
            state: said.state.name().to_owned(),
            zone: said.zone.to_string(),
        }
    }
}

impl From<&AuditPage> for AuditJson {
    fn from(page: &AuditPage) -> Self {
        Self {
            last_sequence: page.last_sequence,
            records: page.records.iter().map(AuditRecordJson::from).collect(),
        }
    }
}

impl From<&ReplicaView> for ReplicaJson {
    fn from(replica: &ReplicaView) -> Self {
        Self {
            address: replica.address.map(|address| address.to_string()),
            folder: format!("{:016x}", replica.folder),
            node: replica.node.to_string(),
            standing: replica.standing,
        }
    }
}

impl From<&ReplicasView> for ReplicasJson {
    fn from(view: &ReplicasView) -> Self {
        Self {
            leader: view.leader.to_string(),
            replicas: view.replicas.iter().map(ReplicaJson::from).collect(),
            term: view.term.0,
        }
    }
}
