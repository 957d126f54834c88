//! The queue of requests that wait for one service, and the rate at which its requests start.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_registry::{CachedTokens, EndpointId};
use masticsill_rollout::RequestVersions;
use masticsill_types::{ClockMs, Priority};

use crate::capacity::Contention;

/// Period over which starts are counted: the time in which every engine reads about two prompts.
const RATE_WINDOW_MS: u64 = 2_500;
/// Age from which an overload counts as sustained, and requests that can't meet their target
/// latency any more give way. A shorter overload ends before its callers time out; they are served
/// then.
const SUSTAINED_OVERLOAD_MS: u64 = 1_500;
/// Minimum share of requests without capacity on arrival in a sustained overload. Below this share
/// there is capacity left for all requests.
const SUSTAINED_QUEUED_SHARE: f64 = 0.3;
/// Weight of the newest request in the moving average of that share.
const QUEUED_SHARE_WEIGHT: f64 = 0.1;
/// Time without a request that finds no capacity after which an overload has ended.
const OVERLOAD_OVER_MS: u64 = 1_000;
/// How long a workspace counts among those that share the queue after its last request.
const ACTIVE_WORKSPACE_MS: u64 = 2_000;
/// How long the refusal of a request costs a less urgent one its place in the queue. Less urgent
/// requests often have a longer target latency, so that they would be queued where the more urgent
/// one was refused, and take the capacity that the next urgent request needs.
const URGENT_REFUSAL_MS: u64 = 4_000;
/// Maximum number of refusals remembered for that.
const MAX_URGENT_REFUSALS: usize = 256;
/// Weight of the newest prompt in the moving average of the prompt length.
const NEWEST_WEIGHT: f64 = 0.1;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(pub(crate) u64);

/// The work that a request causes at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// An engine reads a prompt and streams events.
    Stream {
        /// Capacity of each engine's KV cache, in tokens, if the document gives it.
        kv_cache_tokens: Option<u64>,
        /// Length of the prompt, in tokens.
        prompt_tokens: u64,
        /// Largest number of tokens that the run holds in the KV cache: the prompt and the longest
        /// output.
        tokens: u64,
    },
    /// A plain service returns one complete answer.
    Whole,
}

/// What a request requires of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Requirements {
    /// Endpoints that the request has already been sent to.
    pub excluded: Vec<EndpointId>,
    /// Engines that have a prefix of the prompt cached.
    pub cached: Vec<CachedTokens>,
    /// The engine at which a control replica has just reserved capacity for the request.
    pub reserved_endpoint: Option<EndpointId>,
    /// The name of the service.
    pub service: String,
    /// The versions that the endpoint may have.
    pub versions: RequestVersions,
    /// The work that the request causes.
    pub work: Work,
}

impl Requirements {
    /// Number of prompt tokens that the endpoint has cached.
    pub(crate) fn cached_at(&self, endpoint: &EndpointId) -> u64 {
        let cached = self
            .cached
            .iter()
            .find(|cached| cached.endpoint == *endpoint);
        cached.map_or(0, |cached| cached.tokens)
    }
}

/// The time limits of a request, and what decides its order in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Target latency of the route, in milliseconds: the time until the answer or, for a stream,
    /// its first event.
    pub target_latency_ms: u64,
    /// When the answer or its first event is due by the target latency.
    pub answer_due_at: ClockMs,
    /// When the caller gives up, including any further attempts that it may make.
    pub caller_leaves_at: ClockMs,
    /// Deadline of this attempt.
    pub deadline_at: ClockMs,
    /// Whether the caller was refused before and retries.
    pub is_returning: bool,
    /// Whether the caller has already received a part of the answer.
    pub is_resume: bool,
    /// Priority of the request.
    pub priority: Priority,
    /// The workspace of the caller; none for an anonymous caller.
    pub workspace: Option<String>,
}

/// Rank of queued requests. Resumed answers go before new ones, so that started work is finished
/// first. Retries of refused callers go next, so that they are not refused again in favor of new
/// requests. Requests that can't meet their target latency any more get what capacity is left.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Rank {
    Resume,
    Returning,
    New,
    Late,
}

/// Place of a request in the order of a queue, before its time of arrival is considered.
///
/// Among requests that can still be answered in time, and among those that can't, the more urgent
/// ones go first. A resumed answer keeps its place whatever its priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum QueuePlace {
    Resume,
    InTime { priority: Priority, rank: Rank },
    Late { priority: Priority },
}

impl QueuePlace {
    pub(crate) fn of(rank: Rank, terms: &Terms) -> Self {
        let priority = terms.priority;
        match rank {
            Rank::Resume => Self::Resume,
            Rank::Returning | Rank::New => Self::InTime { priority, rank },
            Rank::Late => Self::Late { priority },
        }
    }
}

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) requirements: Requirements,
    pub(crate) rank: Rank,
    /// Whether the request has waited too long to be refused; it then waits until its deadline.
    pub(crate) is_committed: bool,
    pub(crate) since: ClockMs,
    pub(crate) terms: Terms,
    pub(crate) ticket: Ticket,
}

impl QueuedRequest {
    pub(crate) fn place(&self) -> QueuePlace {
        QueuePlace::of(self.rank, &self.terms)
    }
}

/// The queue of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceQueue {
    /// Start of the current overload, and when a request last found no capacity.
    overloaded: Option<(ClockMs, ClockMs)>,
    /// Time of each workspace's last request.
    active_workspaces: IndexMap<String, ClockMs>,
    /// Priorities and times of refused requests, each of which may take the place of one less
    /// urgent request.
    refusals: VecDeque<(Priority, ClockMs)>,
    /// The latest retry time that has been assigned to a refused request.
    pub(crate) retries_scheduled_until: ClockMs,
    starts: VecDeque<ClockMs>,
    /// Moving average of the share of requests that found no capacity on arrival.
    queued_share: f64,
    average_prompt_tokens: Option<f64>,
    waiting: Vec<QueuedRequest>,
}

impl ServiceQueue {
    /// Age of the current overload, in milliseconds; zero if there is none.
    pub(crate) fn overloaded_ms(&self, now: ClockMs) -> u64 {
        let overloaded = self
            .overloaded
            .filter(|(_, last)| now.since(*last) < OVERLOAD_OVER_MS);
        overloaded.map_or(0, |(since, _)| now.since(since))
    }

    /// Whether a request found no capacity lately.
    pub(crate) fn is_overloaded(&self, now: ClockMs) -> bool {
        let overloaded = self.overloaded;
        overloaded.is_some_and(|(_, last)| now.since(last) < OVERLOAD_OVER_MS)
    }

    /// Whether an overload has lasted so long, and exceeds the capacity by so much, that free
    /// capacity is needed for requests that can still be answered in time.
    pub(crate) fn is_overload_sustained(&self, now: ClockMs) -> bool {
        self.overloaded_ms(now) >= SUSTAINED_OVERLOAD_MS
            && self.queued_share > SUSTAINED_QUEUED_SHARE
    }

    /// Records whether a new request found capacity on arrival.
    pub(crate) fn note_placement(&mut self, has_capacity: bool) {
        let newest = if has_capacity { 0.0 } else { 1.0 };
        self.queued_share += (newest - self.queued_share) * QUEUED_SHARE_WEIGHT;
    }

    /// Records that a request found no capacity.
    pub(crate) fn note_overloaded(&mut self, now: ClockMs) {
        let since = now.before(self.overloaded_ms(now));
        self.overloaded = Some((since, now));
    }

    /// The contention that a request which arrived at `since` faces.
    pub(crate) fn contention(&self, now: ClockMs, since: ClockMs) -> Contention {
        if self.is_overloaded(now) {
            Contention::Contended(now.since(since))
        } else {
            Contention::Uncontended
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Number of queued requests among which one of the given rank is counted: the resumed answers,
    /// or all others.
    pub(crate) fn len_beside(&self, rank: Rank) -> usize {
        let resumes = self.resumes().count();
        if rank == Rank::Resume {
            resumes
        } else {
            self.waiting.len() - resumes
        }
    }

    /// The queued resumed answers.
    pub(crate) fn resumes(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter().filter(|it| it.rank == Rank::Resume)
    }

    /// Number of queued requests that go before a new one at the given place.
    pub(crate) fn ahead_of(&self, place: QueuePlace) -> usize {
        let before = self.waiting.iter().filter(|it| it.place() <= place);
        before.count()
    }

    pub(crate) fn push(&mut self, waiting: QueuedRequest) {
        self.waiting.push(waiting);
    }

    /// Marks requests as committed: they are not refused any more unless their deadlines pass.
    pub(crate) fn commit(&mut self, tickets: &[Ticket]) {
        for waiting in &mut self.waiting {
            waiting.is_committed |= tickets.contains(&waiting.ticket);
        }
    }

    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let position = self.waiting.iter().position(|it| it.ticket == ticket)?;
        Some(self.waiting.remove(position))
    }

    /// The queued requests in the order in which they start: by place, then by arrival.
    ///
    /// Among requests of the same priority the order is not changed in favor of newer ones: a
    /// request that could be overtaken would wait longer than estimated at its admission. Fairness
    /// between workspaces is enforced at admission.
    pub(crate) fn in_order(&self) -> Vec<&QueuedRequest> {
        let mut order: Vec<&QueuedRequest> = self.waiting.iter().collect();
        order.sort_by_key(|it| (it.place(), it.since));
        order
    }

    /// Records that a request of a priority was refused because it would have waited too long.
    pub(crate) fn note_refusal(&mut self, now: ClockMs, priority: Priority) {
        if self.refusals.len() >= MAX_URGENT_REFUSALS {
            self.refusals.pop_front();
        }
        self.refusals.push_back((priority, now));
    }

    /// Whether a request of a priority gives up its place in the queue because a more urgent one was
    /// refused lately. Each refusal costs one place only, so that a few urgent requests can't keep
    /// all others out.
    pub(crate) fn yields_to_urgent(&mut self, now: ClockMs, priority: Priority) -> bool {
        self.refusals
            .retain(|(_, at)| now.since(*at) < URGENT_REFUSAL_MS);
        let refusal = self.refusals.iter().position(|(it, _)| *it < priority);
        refusal.and_then(|it| self.refusals.remove(it)).is_some()
    }

    /// Records that a workspace sent a request.
    pub(crate) fn note_workspace(&mut self, now: ClockMs, terms: &Terms) {
        self.active_workspaces
            .retain(|_, last| now.since(*last) < ACTIVE_WORKSPACE_MS);
        let workspace = terms.workspace.clone().unwrap_or_default();
        self.active_workspaces.insert(workspace, now);
    }

    /// Whether a workspace has used up its share of a queue of `places` requests.
    pub(crate) fn is_share_exhausted(&self, terms: &Terms, places: usize) -> bool {
        let share = (places / self.active_workspaces.len().max(1)).max(1);
        let own = self.waiting.iter();
        let own = own.filter(|it| it.terms.workspace == terms.workspace);
        own.count() >= share
    }

    /// Records that a request has been sent.
    // Counts are far below the precision of the type.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn note_start(&mut self, now: ClockMs, requirements: &Requirements) {
        self.starts.push_back(now);
        while self
            .starts
            .front()
            .is_some_and(|at| now.since(*at) >= RATE_WINDOW_MS)
        {
            self.starts.pop_front();
        }
        if let Work::Stream { prompt_tokens, .. } = &requirements.work {
            let newest = *prompt_tokens as f64;
            let before = self.average_prompt_tokens.unwrap_or(newest);
            self.average_prompt_tokens = Some(before + (newest - before) * NEWEST_WEIGHT);
        }
    }

    /// Starts per second in an overload. The rate is known only once the overload has lasted for
    /// the whole period; before, starts reflect the demand instead of the capacity.
    // Counts and times are far below the precision of the type.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn starts_per_s(&self, now: ClockMs) -> Option<f64> {
        if self.overloaded_ms(now) < RATE_WINDOW_MS {
            return None;
        }
        let recent = self
            .starts
            .iter()
            .filter(|at| now.since(**at) < RATE_WINDOW_MS);
        Some(recent.count() as f64 * 1_000.0 / RATE_WINDOW_MS as f64)
    }

    /// Moving average of the prompt length, in tokens.
    pub(crate) fn average_prompt_tokens(&self) -> f64 {
        self.average_prompt_tokens.unwrap_or_default()
    }
}
