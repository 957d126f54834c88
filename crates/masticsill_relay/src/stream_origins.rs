//! The versions that began streams: recorded here, reported to control replicas, and looked up when
//! a caller continues a stream.
//!
//! A caller continues its stream at any relay, mostly because the one that began it has ended. A
//! relay that can't learn which version began the stream refuses it, since another version would not
//! continue what the caller has.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_catalogue::Route;
use masticsill_registry::{
    AttemptKey, LookupStep, OriginEvidence, OriginLookup, OriginReply, QuorumShare, ReportProgress,
    ReportedVoters, StreamOrigin, StreamRecord, origin_keepers,
};
use masticsill_rollout::VersionFilter;
use masticsill_types::log_event;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::admission::authorize;
use crate::continuation::{Continuation, ContinuationEnd};
use crate::events;
use crate::relay::{Relay, discovery_wait_ms};
use crate::request::RelayRequest;
use crate::response::Refusal;
use crate::suspects::complete_report;

/// Maximum time for which a first event waits until a control replica has stored the stream's origin:
/// many times the round trip and a sync, and less than callers notice.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(50);
/// Pause before a report is repeated to a replica that did not answer.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one query to a control replica, in milliseconds: many times the round trip to another
/// zone, and well below the gap between events that callers notice.
const QUERY_TIMEOUT_MS: u64 = 200;
/// Pause in milliseconds before the control replicas are asked again. A report that was on its way
/// has arrived, and a replica that was restarting may answer.
const QUERY_PAUSE_MS: u64 = 100;
/// When a caller should retry at another relay, because this one can't reach a majority of the
/// control replicas, or lacks the newest document.
const ELSEWHERE_RETRY_AFTER_MS: u64 = 250;
/// Time in milliseconds in which a relay learns that there is a newer document: several round trips to
/// another zone. One that was frozen knows nothing of it at first.
const DOCUMENT_NOTICE_MS: u64 = 200;

impl Relay {
    /// Records where the stream of a request began, unless its first attempt has no id.
    pub(crate) fn record_stream_origin(&self, request: &RelayRequest, origin: StreamOrigin) {
        let Some(attempt) = request.first_attempt(&self.config.headers) else {
            return;
        };
        let now = self.now();
        let record = StreamRecord {
            attempt,
            expires_in_ms: request.caller_leaves_at.since(now),
            origin,
        };
        self.stream_origins.borrow_mut().record(now, &record);
        self.notify_stream_reporters();
    }

    /// Waits until a control replica has stored the origins recorded so far, so that the stream can be
    /// continued even if this relay and all replicas end with its first event.
    ///
    /// It waits also while the service has one version only: when all of them end, another one may have
    /// come.
    pub(crate) async fn await_origin_stored(&self) {
        if self.control_reached.borrow().is_empty() {
            return;
        }
        let revision = self.stream_origins.borrow().revision();
        let mut stored = self.stream_origins_stored.subscribe();
        // Without a reply in time the report goes on, and so does the stream.
        let _ = timeout(MAX_REPORT_WAIT, stored.wait_for(|it| *it >= revision)).await;
    }

    /// Wakes the tasks that report streams to control replicas.
    pub(crate) fn notify_stream_reporters(&self) {
        self.stream_origin_changes.send_modify(|count| *count += 1);
    }

    /// Whether a control replica keeps the origins of this relay's streams.
    fn is_origin_keeper(&self, address: SocketAddr) -> bool {
        let voters = self.known_voters();
        let reached = self.control_reached.borrow();
        if voters.is_empty() {
            // Replicas that have just restarted don't know each other yet.
            return origin_keepers(&self.config.zone, reached.iter(), reached.len())
                .contains(&address);
        }
        let reached = reached
            .iter()
            .filter(|(replica, _)| voters.contains(*replica));
        origin_keepers(&self.config.zone, reached, voters.len()).contains(&address)
    }

    fn known_origin(&self, attempt: Option<&AttemptKey>) -> Option<StreamOrigin> {
        let origins = self.stream_origins.borrow();
        origins.find(self.now(), attempt?).cloned()
    }

    /// The versions of a service's endpoints that this relay knows, including ended ones.
    fn known_versions(&self, service: &str) -> IndexSet<String> {
        let endpoints = self.endpoints.borrow();
        let announcements = endpoints.iter().map(|it| &it.announcement);
        let of_service = announcements.filter(|it| it.service == service);
        of_service.map(|it| it.version.clone()).collect()
    }
}

/// Reports the streams begun here to a control replica while it is to keep them, until the relay
/// ends. Streams that begin during a report share the next one.
pub(crate) async fn report_stream_origins(
    relay: Rc<Relay>,
    address: SocketAddr,
    reported: Rc<Cell<ReportProgress>>,
) {
    let mut changes = relay.stream_origin_changes.subscribe();
    while changes.changed().await.is_ok() {
        loop {
            let begun = reported.get();
            let (revision, records) = {
                let origins = relay.stream_origins.borrow();
                if origins.revision() <= begun.revision() || !relay.is_origin_keeper(address) {
                    break;
                }
                (
                    origins.revision(),
                    origins.since(relay.now(), begun.revision()),
                )
            };
            if let Some(is_stored) = relay.control.tell_stream_origins(address, &records).await {
                complete_report(&reported, begun, revision);
                if is_stored {
                    relay
                        .stream_origins_stored
                        .send_modify(|stored| *stored = revision.max(*stored));
                }
                continue;
            }
            sleep(REPORT_RETRY_PAUSE).await;
            if !relay.control_reached.borrow().contains_key(&address) {
                // The report is repeated once the replica is reached again.
                break;
            }
        }
    }
}

/// Finds where a stream began that a caller continues, and routes the request there.
///
/// # Errors
///
/// The refusal to answer with, if the version is unknown, or the document has moved the route to other
/// services.
pub(crate) async fn find_origin(
    relay: &Rc<Relay>,
    request: &mut RelayRequest,
    continuation: &mut Continuation,
) -> Result<StreamOrigin, Refusal> {
    let names = &relay.config.headers;
    let attempt = request.first_attempt(names);
    let recorded = relay.known_origin(attempt.as_ref());
    let is_local = recorded.is_some();
    let mut lookup = OriginLookup::new(relay.now(), request.left_ms(relay.now()));
    let found = match recorded {
        Some(origin) => Ok(origin),
        None => ask_replicas(relay, request, attempt, &mut lookup).await,
    };
    relay.metrics.streams_continued.inc();
    let origin = found.as_ref().ok();
    log_event!(
        info,
        events::STREAM_CONTINUED,
        request = request.id,
        first_attempt = request.continued_attempt(names).unwrap_or_default(),
        after_event = request.last_event(names).unwrap_or_default(),
        service = origin.map_or("", |it| &it.service),
        version = origin.map_or("", |it| &it.version),
        is_known = origin.is_some(),
        is_local = is_local,
        queries = lookup.queries(),
        replied = lookup.replies().len(),
        replicas = relay.known_voters().len(),
        left_ms = request.left_ms(relay.now()),
        looked_up_ms = relay.now().since(request.received_at)
    );
    let origin = match found {
        Ok(origin) => origin,
        Err(refusal) => {
            let replied = {
                let voters = relay.control_voters.borrow();
                evidence(relay, request, &voters, lookup.replies()).replied()
            };
            continuation.fail(ContinuationEnd::UnknownOrigin { replied }, &[]);
            return Err(refusal);
        }
    };
    continuation.note_origin(&origin);
    relay.record_stream_origin(request, origin.clone());
    if let Err(refusal) = route_to_service(relay, request, &origin.service).await {
        continuation.fail(ContinuationEnd::Refused(refusal), &[]);
        return Err(refusal);
    }
    if !relay.reaches_all_voters() {
        await_endpoint(relay, request, &origin).await;
    }
    Ok(origin)
}

/// Routes a request to the service that began its stream, as the active document or one that is on its
/// way to this relay allows it.
///
/// Another service would not continue what the caller has. The stream may have begun by a newer
/// document than this relay's.
async fn route_to_service(
    relay: &Relay,
    request: &mut RelayRequest,
    service: &str,
) -> Result<(), Refusal> {
    let bound_ms = discovery_wait_ms(request.left_ms(relay.now()));
    let find = || find_route(relay, request, service);
    let mut found = relay
        .wait_for_discovery(bound_ms.min(DOCUMENT_NOTICE_MS), find)
        .await;
    if found.is_none() && relay.is_behind_document() {
        found = relay.wait_for_discovery(bound_ms, find).await;
    }
    let Some(route) = found else {
        let may_be_outdated =
            relay.is_behind_document() || relay.reached_share() < QuorumShare::Majority;
        let retry_after_ms = if may_be_outdated {
            ELSEWHERE_RETRY_AFTER_MS
        } else {
            request.left_ms(relay.now())
        };
        return Err(Refusal::RouteMoved { retry_after_ms });
    };
    request.route = route;
    service.clone_into(&mut request.service);
    Ok(())
}

/// The route of a request in the active document, if it leads to a service.
fn find_route(relay: &Relay, request: &RelayRequest, service: &str) -> Option<Arc<Route>> {
    let index = relay.index()?;
    let authorized = authorize(&index, &relay.config.headers, &request.head).ok()?;
    let route = authorized.route();
    let mut shares = route.services.iter();
    let is_served = shares.any(|share| share.service == service && share.weight > 0);
    is_served.then(|| Arc::clone(route))
}

/// Waits for an endpoint that can continue a stream: a relay that has just started may not have
/// heard of it yet.
async fn await_endpoint(relay: &Relay, request: &RelayRequest, origin: &StreamOrigin) {
    let versions = VersionFilter::only(&origin.version);
    let find = || {
        let endpoints = relay.endpoints.borrow();
        let is_known = endpoints.has_ready(&origin.service, &versions, &[]);
        (is_known || relay.reaches_all_voters()).then_some(())
    };
    // Without an endpoint the stream is refused next.
    let _ = relay
        .wait_for_discovery(discovery_wait_ms(request.left_ms(relay.now())), find)
        .await;
}

/// Asks the control replicas where a stream began, until that is certain.
async fn ask_replicas(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    attempt: Option<AttemptKey>,
    lookup: &mut OriginLookup,
) -> Result<StreamOrigin, Refusal> {
    loop {
        lookup.begin_query();
        let mut answers = query_replicas(relay, request, attempt, lookup);
        while let Some((replica, reply)) = answers.recv().await {
            lookup.record(replica, reply);
            let voters = relay.control_voters.borrow();
            if let Some(origin) = evidence(relay, request, &voters, lookup.replies()).origin() {
                return Ok(origin);
            }
        }
        let voters = relay.control_voters.borrow().clone();
        let evidence = evidence(relay, request, &voters, lookup.replies());
        let may_be_known_elsewhere = match lookup.step(relay.now(), &evidence, QUERY_PAUSE_MS) {
            LookupStep::Found(origin) => return Ok(origin),
            LookupStep::AskAgain => {
                sleep(Duration::from_millis(QUERY_PAUSE_MS)).await;
                continue;
            }
            LookupStep::Unknown {
                may_be_known_elsewhere,
            } => may_be_known_elsewhere,
        };
        let retry_after_ms = if may_be_known_elsewhere {
            ELSEWHERE_RETRY_AFTER_MS
        } else {
            request.left_ms(relay.now())
        };
        return Err(Refusal::UnknownOrigin { retry_after_ms });
    }
}

fn evidence<'a>(
    relay: &Relay,
    request: &'a RelayRequest,
    voters: &'a ReportedVoters,
    replies: &'a [(SocketAddr, OriginReply)],
) -> OriginEvidence<'a> {
    OriginEvidence {
        is_named: request.first_attempt(&relay.config.headers).is_some(),
        max_age_ms: request.route.timeout_ms,
        replies,
        service: &request.service,
        versions: relay.known_versions(&request.service),
        voters,
    }
}

/// Asks all control replicas at once that are reached and whose reply is needed.
fn query_replicas(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    attempt: Option<AttemptKey>,
    lookup: &OriginLookup,
) -> mpsc::Receiver<(SocketAddr, OriginReply)> {
    let replicas: Vec<SocketAddr> = {
        let reached = relay.control_reached.borrow();
        let needed = reached.keys().filter(|it| lookup.needs_reply(it));
        needed.copied().collect()
    };
    let (found, answers) = mpsc::channel(replicas.len().max(1));
    for address in replicas {
        let (relay, found) = (Rc::clone(relay), found.clone());
        let service = request.service.clone();
        spawn_local(async move {
            let control = &relay.control;
            let reply = control.find_stream_origin(address, &service, attempt, QUERY_TIMEOUT_MS);
            if let Some(reply) = reply.await {
                // The send fails only if other replies were enough.
                let _ = found.send((address, reply)).await;
            }
        });
    }
    answers
}
