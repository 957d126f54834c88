//! What a document holds.

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Its answer is a stream of numbered events.
    Stream,
}

impl RouteKind {
    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream => "stream",
        }
    }
}

/// Where requests to a host and path prefix go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Longest pause between events that is still on time.
    pub gap_aim_ms: Option<u64>,
    /// The host that callers name.
    pub host: String,
    /// Whether callers need no API key.
    pub is_anonymous: bool,
    /// Whether a stream may go on at another endpoint.
    pub is_resumable: bool,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Endpoints that one attempt of a caller may be sent to, at most.
    pub max_attempts: u32,
    /// The route's name.
    pub name: String,
    /// Beginning of the paths; it begins and ends with a slash.
    pub path_prefix: String,
    /// Rank among routes; zero is the highest.
    pub priority: u32,
    /// Services and their shares of the requests.
    pub services: Vec<ServiceShare>,
    /// Time within which an answer is on time.
    pub target_latency_ms: u64,
    /// Longest that a caller is kept waiting.
    pub timeout_ms: u64,
}

impl Route {
    /// Whether a request may run again after it may have run.
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
    /// The service.
    pub service: String,
    /// Its weight against the route's other services.
    pub weight: u64,
}

/// A kind of endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceEntry {
    /// What its engines can do; none for a plain service.
    pub engine: Option<EngineTraits>,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: Option<u32>,
    /// The name by which endpoints register and routes refer to it.
    pub name: String,
}

/// What the engines of a service can do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineTraits {
    /// Whether a run's memory can be copied to another engine as it grows.
    pub has_backups: bool,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Requests that one engine runs at once.
    pub slots: u32,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Bytes of a head.
    pub header_bytes: u64,
    /// Time for a head.
    pub header_timeout_ms: u64,
    /// Time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

/// A secret that names its workspace. Never logged.
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
    /// Keys that callers of the workspace show.
    pub api_keys: Vec<ApiKey>,
    /// The name that endpoints are told.
    pub name: String,
    /// Rank that goes before the route's, if set.
    pub priority: Option<u32>,
}

/// A document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDocument {
    /// Bounds on requests.
    pub limits: RequestLimits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceEntry>,
    /// The operator's version.
    pub version: u64,
    /// The workspaces; none where routes need no key.
    pub workspaces: Option<Vec<WorkspaceEntry>>,
}
