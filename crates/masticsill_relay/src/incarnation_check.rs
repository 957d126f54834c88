//! Asks an endpoint which incarnation it is, where this relay would not know that it has restarted.
//!
//! An endpoint may restart under its name with another version. Control replicas learn that from its
//! first heartbeat. A relay that they don't reach would take the new process for the former one, and
//! join what two versions generate in one stream.

use masticsill_dispatch::Failure;
use masticsill_registry::{Announcement, EndpointIncarnation};
use masticsill_types::log_event;

use crate::attempt::{SendFailure, log_failure};
use crate::copies::call;
use crate::events;
use crate::failover::INCARNATION_REPLACED;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::retry_state::{Obstacle, RetryState};

/// Timeout of the call: several round trips to another zone.
const REPORT_TIMEOUT_MS: u64 = 150;

/// What an endpoint's report of itself shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Confirmation {
    /// The process is the incarnation that this relay knows.
    Confirmed,
    /// The process is another incarnation.
    Replaced,
    /// It did not answer, and may be another one.
    Unconfirmed,
}

impl Confirmation {
    fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Replaced => "replaced",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Checks that an endpoint, with which a connection stands, is the incarnation that this relay knows.
///
/// # Errors
///
/// The endpoint is another incarnation, or may be; `retry_state` excludes it.
pub(crate) async fn confirm(
    relay: &Relay,
    request: &RelayRequest,
    endpoint: &Announcement,
    retry_state: &mut RetryState,
) -> Result<(), Obstacle> {
    let (confirmation, cause) = ask(relay, endpoint).await;
    log_event!(
        info,
        events::INCARNATION_CHECKED,
        request = request.id,
        endpoint = endpoint.id,
        life = endpoint.id.incarnation,
        outcome = confirmation.name(),
        cause = cause
    );
    match confirmation {
        Confirmation::Confirmed => Ok(()),
        Confirmation::Replaced => {
            relay.note_failure(endpoint, Failure::Replaced);
            let failure = Failure::Replaced.name();
            log_failure(relay, request, endpoint, failure, INCARNATION_REPLACED);
            retry_state.exclude(endpoint.id.clone());
            Err(Obstacle::Withdrawn)
        }
        Confirmation::Unconfirmed => {
            retry_state.note(endpoint.id.clone(), &SendFailure::NotSent);
            Err(Obstacle::Unreachable)
        }
    }
}

async fn ask(relay: &Relay, endpoint: &Announcement) -> (Confirmation, String) {
    let calls = &relay.config.engine_calls;
    let path = &calls.report_path;
    let known = endpoint.id.incarnation;
    match call(relay, endpoint, "GET", path, "", REPORT_TIMEOUT_MS).await {
        Ok(report) => match reported_incarnation(&report, &calls.incarnation_field) {
            Ok(reported) if reported == known => (Confirmation::Confirmed, String::new()),
            Ok(reported) => (Confirmation::Replaced, format!("it is {reported}")),
            Err(error) => (Confirmation::Unconfirmed, error.to_string()),
        },
        // An endpoint that states no start time has a new name after each start.
        Err(cause) if !known.is_known() => (Confirmation::Confirmed, cause),
        Err(cause) => (Confirmation::Unconfirmed, cause),
    }
}

fn reported_incarnation(report: &[u8], field: &str) -> serde_json::Result<EndpointIncarnation> {
    let report: serde_json::Value = serde_json::from_slice(report)?;
    let started_at_ms = report.get(field).and_then(serde_json::Value::as_u64);
    Ok(started_at_ms.map_or(
        EndpointIncarnation::UNKNOWN,
        EndpointIncarnation::started_at,
    ))
}
