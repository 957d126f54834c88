//! Settings of a relay.

use std::net::SocketAddr;
use std::sync::Arc;

use masticsill_catalogue::RouteDocument;
use masticsill_dispatch::BudgetSettings;
use masticsill_http1::RequestHead;
use masticsill_types::{NodeId, ZoneId};

/// Parses the document as the operator submitted it; the error text says what is wrong with the
/// document.
pub type DocumentReader = fn(&[u8]) -> Result<RouteDocument, String>;

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Memory for bodies of requests, in bytes; requests beyond it are refused.
    pub body_buffer_bytes: usize,
    /// Memory for responses of endpoints that are read or written, in bytes; responses beyond it fail.
    pub buffer_bytes: usize,
    /// Retry budget: how many extra attempts may be made per service.
    pub retry_budget: BudgetSettings,
    /// Addresses of the control replicas contacted first.
    pub control_seeds: Vec<SocketAddr>,
    /// Paths and JSON fields of the calls that ask engines for copies of a run's KV cache.
    pub engine_calls: Arc<EngineCalls>,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub grace_ms: u64,
    /// Names of the header fields.
    pub headers: Arc<HeaderNames>,
    /// Address on which callers connect.
    pub listen_address: SocketAddr,
    /// Node id of this process.
    pub node: NodeId,
    /// Parser of documents.
    pub read_document: DocumentReader,
    /// Roll-outs of versions; none if requests are sent to endpoints of any version.
    pub rollouts: Option<RelayRolloutConfig>,
    /// Availability zone of this process.
    pub zone: ZoneId,
}

/// Settings of roll-outs of versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayRolloutConfig {
    /// How long a version that appears beside another one is held back while no order for it is
    /// known, in milliseconds.
    pub hold_ms: u64,
}

/// Calls to engines about copies of a run's KV cache and about themselves: paths and JSON field names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCalls {
    /// Path of the call that copies a run's KV cache to another engine.
    pub copy_path: String,
    /// Response field with the copy's handle.
    pub handle_field: String,
    /// Request field with the request's id.
    pub id_field: String,
    /// Response field with an engine's start time, in milliseconds, in what it reports of itself.
    pub incarnation_field: String,
    /// Request field that says whether the run is to stop after the copy.
    pub is_last_field: String,
    /// Path prefix of the call that drops a copy; the copy's handle is appended.
    pub release_path: String,
    /// Path of the call for what an engine reports of itself.
    pub report_path: String,
    /// Request field with the address of the engine that is to hold the copy.
    pub target_field: String,
}

impl Default for EngineCalls {
    fn default() -> Self {
        Self {
            copy_path: "/v1/copies".to_owned(),
            handle_field: "handle".to_owned(),
            id_field: "request".to_owned(),
            incarnation_field: "started_ms".to_owned(),
            is_last_field: "is_last".to_owned(),
            release_path: "/v1/copies/".to_owned(),
            report_path: "/v1/report".to_owned(),
            target_field: "target".to_owned(),
        }
    }
}

/// Names of the header fields that callers, endpoints and the relay exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// The caller's API key; never forwarded.
    pub api_key: String,
    /// Address of the engine that is to hold a copy of the run's KV cache.
    pub backup_at: String,
    /// Time left to answer, in milliseconds.
    pub deadline_ms: String,
    /// The endpoint incarnation that a request is meant for.
    pub expected_endpoint: String,
    /// Says that the endpoint of a response leaves; the value is 1.
    pub leaving: String,
    /// Number of the last event that the caller has received.
    pub last_event: String,
    /// Priority of a stream at the engine; zero is the most urgent, and nine the least.
    pub priority: String,
    /// Further fields that only the system sets; dropped when a caller sends them.
    pub reserved: Vec<String>,
    /// The parts of a prompt in order, each as `id:tokens`, separated by commas.
    pub prompt_parts: String,
    /// Id of one attempt of a caller; endpoints repeat it in their responses.
    pub request_id: String,
    /// Requests per second that an endpoint accepts from all entries together.
    pub request_limit: String,
    /// Location of the KV cache copy that a run resumes from.
    pub resume_from: String,
    /// Id of the attempt that brought the first event of a stream, sent by a caller that continues
    /// the stream with another attempt.
    pub resumes: String,
    /// An endpoint's signature of its response.
    pub signature: String,
    /// The number of prompt tokens and the maximum number of output tokens, separated by a comma.
    pub token_count: String,
    /// Says that an endpoint did not run a request.
    pub not_run: String,
    /// The caller's workspace.
    pub workspace: String,
}

impl HeaderNames {
    /// The id that the caller gave its attempt; empty if there is none.
    pub(crate) fn request_id_of<'a>(&self, head: &'a RequestHead) -> &'a str {
        head.headers.text(&self.request_id).unwrap_or_default()
    }
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            api_key: "X-Api-Key".to_owned(),
            backup_at: "X-Backup-At".to_owned(),
            deadline_ms: "X-Time-Left-Ms".to_owned(),
            expected_endpoint: "X-Expected-Endpoint".to_owned(),
            leaving: "X-Leaving".to_owned(),
            last_event: "Last-Event-ID".to_owned(),
            priority: "X-Priority".to_owned(),
            prompt_parts: "X-Prompt-Parts".to_owned(),
            reserved: Vec::new(),
            request_id: "X-Request-Id".to_owned(),
            request_limit: "X-Request-Limit".to_owned(),
            resume_from: "X-Resume-From".to_owned(),
            resumes: "X-Resumes".to_owned(),
            signature: "X-Signature".to_owned(),
            token_count: "X-Tokens".to_owned(),
            not_run: "X-Not-Run".to_owned(),
            workspace: "X-Workspace".to_owned(),
        }
    }
}
