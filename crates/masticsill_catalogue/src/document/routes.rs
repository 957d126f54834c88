//! The content of a route document.

/// Whether and how a request of a route may be repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of the caller.
    NonIdempotent,
    /// The answer is a stream of numbered events.
    Stream,
}

impl RouteKind {
    /// The kind's name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream => "stream",
        }
    }
}

/// A route: how requests to a host and path prefix are handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Longest gap between two events of a stream that counts as on time, in milliseconds.
    pub target_event_gap_ms: Option<u64>,
    /// The host that callers send; compared without regard to case.
    pub host: String,
    /// Whether callers need no API key.
    pub is_anonymous: bool,
    /// Whether a stream may be resumed at another endpoint.
    pub is_resumable: bool,
    /// Whether and how requests may be repeated.
    pub kind: RouteKind,
    /// Maximum number of endpoints to which one attempt of a caller may be sent.
    pub max_attempts: u32,
    /// The route's name.
    pub name: String,
    /// Prefix of the paths; starts and ends with a slash.
    pub path_prefix: String,
    /// Priority among routes; zero is the highest.
    pub priority: u32,
    /// The services that handle the requests, with their weights.
    pub services: Vec<ServiceShare>,
    /// Longest time to an answer that counts as on time, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
}

impl Route {
    /// Whether a request that may already have run may be run again.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.is_resumable,
        }
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service's name.
    pub service: String,
    /// The service's weight relative to the route's other services.
    pub weight: u64,
}

/// A service, which is offered by endpoints of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceEntry {
    /// Properties of the service's engines; `None` for a plain service.
    pub engine: Option<EngineTraits>,
    /// HTTP path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one endpoint accepts, from all callers together.
    pub max_connections: Option<u32>,
    /// The name under which endpoints register and by which routes refer to the service.
    pub name: String,
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineTraits {
    /// Whether a run's KV cache can be copied to another engine as it grows.
    pub supports_kv_backup: bool,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Maximum number of requests that one engine runs concurrently.
    pub slots: u32,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A secret that identifies a caller's workspace. It must not be logged; `Debug` hides it.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(pub String);

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// A workspace and its API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceEntry {
    /// Keys that authenticate callers of the workspace.
    pub api_keys: Vec<ApiKey>,
    /// The workspace's name, which is sent to endpoints.
    pub name: String,
    /// Priority that goes before the route's, if set.
    pub priority: Option<u32>,
}

/// A route document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDocument {
    /// Limits on requests and connections.
    pub limits: RequestLimits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceEntry>,
    /// The document's version, chosen by the operator.
    pub version: u64,
    /// The workspaces; `None` if no route needs an API key.
    pub workspaces: Option<Vec<WorkspaceEntry>>,
}
