//! Who keeps the origins of streams, and when the replies of control replicas settle where a stream
//! began.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_types::{ClockMs, ZoneId};
use serde::{Deserialize, Serialize};

use crate::reported_voters::{QuorumShare, ReportedVoters};
use crate::stream_origins::StreamOrigin;

/// A control replica's answer to the question where a stream began.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginReply {
    /// The origin of the stream, if the replica knows it.
    pub origin: Option<StreamOrigin>,
    /// The versions of the service's endpoints, including those that have ended lately.
    pub versions: IndexSet<String>,
    /// For how long the replica remembers ended endpoints, in milliseconds. Zero while it has just
    /// joined and may lack what the others knew before.
    pub versions_kept_ms: u64,
    /// For how long its process has run, in milliseconds. What it received in that time, it knows even
    /// if its disk does not.
    pub uptime_ms: u64,
}

/// What an entry knows of a stream that a caller continues.
#[derive(Clone, Debug)]
pub struct OriginEvidence<'a> {
    /// Whether the caller named the attempt that brought the first event, which has a record.
    pub is_named: bool,
    /// The longest time for which the stream may have lasted, in milliseconds.
    pub max_age_ms: u64,
    /// The replies, with the addresses of the replicas.
    pub replies: &'a [(SocketAddr, OriginReply)],
    /// The service that the request is for.
    pub service: &'a str,
    /// The versions of the service that the entry itself knows.
    pub versions: IndexSet<String>,
    /// The voters that the control replicas report.
    pub voters: &'a ReportedVoters,
}

impl OriginEvidence<'_> {
    /// How much of the control quorum has replied.
    #[must_use]
    pub fn replied(&self) -> QuorumShare {
        self.share_of(|_| true)
    }

    /// How much of the control quorum gave replies that satisfy `is_counted`.
    fn share_of(&self, is_counted: impl Fn(&OriginReply) -> bool) -> QuorumShare {
        let counted = self.replies.iter().filter(|(_, reply)| is_counted(reply));
        let counted: IndexSet<&SocketAddr> = counted.map(|(address, _)| address).collect();
        self.voters.share(|replica| counted.contains(replica))
    }

    /// Where the stream began; none if that is not certain.
    ///
    /// A stream of which no replica has a record can only have begun at the only version that the
    /// service has had for as long as the stream may have lasted. Entries begin streams at versions
    /// that a majority of the replicas have stored, so that it is enough if a majority replies that
    /// remembers that time.
    ///
    /// A stream whose caller names its first attempt should have a record. If it has none though the
    /// replicas have run all the time, its entry did not reach them. Otherwise their disks have lost
    /// the record, and may have lost a version with it.
    #[must_use]
    pub fn origin(&self) -> Option<StreamOrigin> {
        let recorded = self.replies.iter();
        let mut recorded = recorded.filter_map(|(_, reply)| reply.origin.as_ref());
        if let Some(first) = recorded.next() {
            return recorded.all(|it| it == first).then(|| first.clone());
        }
        let is_remembered = |it: &OriginReply| {
            let is_lost = self.is_named && it.uptime_ms < self.max_age_ms;
            it.versions_kept_ms >= self.max_age_ms && !is_lost
        };
        if self.share_of(is_remembered) < QuorumShare::Majority {
            return None;
        }
        let known = self.replies.iter().flat_map(|(_, reply)| &reply.versions);
        let known: IndexSet<&String> = known.chain(&self.versions).collect();
        let version = known.first().filter(|_| known.len() == 1)?;
        Some(StreamOrigin {
            service: self.service.to_owned(),
            version: (*version).clone(),
        })
    }
}

/// Replies without a record from one replica, after which it counts as having none: a report that
/// was on its way to the first one has arrived at the second.
const MAX_REPLIES: u32 = 2;
/// Part of the caller's remaining time for which replicas that don't answer are waited for once a
/// majority has replied: one of the others may have the only record.
const MAJORITY_WAIT_DIVISOR: u64 = 2;
/// Maximum of that wait, in milliseconds: a replica that was killed is back sooner.
const MAX_MAJORITY_WAIT_MS: u64 = 5_000;
/// Part of the remaining time for which an entry waits that reaches a minority of the replicas:
/// another entry may reach more.
const MINORITY_WAIT_DIVISOR: u64 = 10;
/// Maximum of that wait, in milliseconds.
const MAX_MINORITY_WAIT_MS: u64 = 2_500;
/// Shortest of these waits, in milliseconds, unless the caller has less than twice as much time left.
/// Replicas that were all killed at one moment are back within a second.
const MIN_WAIT_MS: u64 = 1_500;

/// What follows from the replies so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupStep {
    /// The replicas are asked again after a pause.
    AskAgain,
    /// The stream began here.
    Found(StreamOrigin),
    /// Where the stream began can't be learned in time.
    Unknown {
        /// Whether an entry that reaches other replicas may know it.
        may_be_known_elsewhere: bool,
    },
}

/// The lookup of one stream's origin. Replies hold for the whole lookup, since the stream began
/// before it.
#[derive(Clone, Debug)]
pub struct OriginLookup {
    asked_at: ClockMs,
    /// Time in milliseconds that the caller had left at first.
    left_ms: u64,
    /// How often each replica has replied.
    counts: IndexMap<SocketAddr, u32>,
    queries: u32,
    /// The last reply of each replica, in the same order.
    replies: Vec<(SocketAddr, OriginReply)>,
}

impl OriginLookup {
    /// Begins a lookup for a caller that waits for another `left_ms` milliseconds.
    #[must_use]
    pub fn new(now: ClockMs, left_ms: u64) -> Self {
        Self {
            asked_at: now,
            left_ms,
            counts: IndexMap::new(),
            queries: 0,
            replies: Vec::new(),
        }
    }

    /// Counts a query of the replicas.
    pub fn begin_query(&mut self) {
        self.queries += 1;
    }

    /// How often replicas were asked.
    #[must_use]
    pub fn queries(&self) -> u32 {
        self.queries
    }

    /// Whether a replica is to be asked, or asked again.
    #[must_use]
    pub fn needs_reply(&self, replica: &SocketAddr) -> bool {
        let count = self.counts.get(replica);
        count.is_none_or(|count| *count < MAX_REPLIES)
    }

    /// Records a replica's reply.
    pub fn record(&mut self, replica: SocketAddr, reply: OriginReply) {
        let entry = self.counts.entry(replica);
        let index = entry.index();
        *entry.or_default() += 1;
        match self.replies.get_mut(index) {
            Some((_, former)) => *former = reply,
            None => self.replies.push((replica, reply)),
        }
    }

    /// The last reply of each replica that has replied.
    #[must_use]
    pub fn replies(&self) -> &[(SocketAddr, OriginReply)] {
        &self.replies
    }

    /// Decides once all replicas that were asked have replied or failed to. They would be asked again
    /// `pause_ms` later.
    #[must_use]
    pub fn step(&self, now: ClockMs, evidence: &OriginEvidence<'_>, pause_ms: u64) -> LookupStep {
        if let Some(origin) = evidence.origin() {
            return LookupStep::Found(origin);
        }
        let replied = evidence.replied();
        let wait_ms = self.wait_ms(replied >= QuorumShare::Majority);
        let is_over = now.since(self.asked_at) + pause_ms >= wait_ms;
        let has_none =
            replied == QuorumShare::All && self.counts.values().all(|it| *it >= MAX_REPLIES);
        if has_none || is_over {
            return LookupStep::Unknown {
                may_be_known_elsewhere: !has_none,
            };
        }
        LookupStep::AskAgain
    }

    fn wait_ms(&self, has_majority: bool) -> u64 {
        let half_ms = self.left_ms / MAJORITY_WAIT_DIVISOR;
        if has_majority {
            return half_ms.min(MAX_MAJORITY_WAIT_MS);
        }
        let part_ms = (self.left_ms / MINORITY_WAIT_DIVISOR).min(MAX_MINORITY_WAIT_MS);
        part_ms.max(half_ms.min(MIN_WAIT_MS))
    }
}

/// The control replicas that keep the origins of an entry's streams, of those that it reaches:
/// half of the `voters`, rounded up, so that each majority of them includes one.
///
/// They are spread over as many zones as possible, beginning with the entry's own, and the same for
/// all entries of a zone.
#[must_use]
pub fn origin_keepers<'a>(
    own_zone: &ZoneId,
    reached: impl IntoIterator<Item = (&'a SocketAddr, &'a ZoneId)>,
    voters: usize,
) -> Vec<SocketAddr> {
    let mut reached: Vec<(&ZoneId, SocketAddr)> = reached
        .into_iter()
        .map(|(address, zone)| (zone, *address))
        .collect();
    reached.sort_unstable();
    let mut of_zone: IndexMap<&ZoneId, usize> = IndexMap::new();
    let mut ranked: Vec<(usize, bool, &ZoneId, SocketAddr)> = Vec::new();
    for (zone, address) in reached {
        let rank = of_zone.entry(zone).or_default();
        ranked.push((*rank, zone < own_zone, zone, address));
        *rank += 1;
    }
    ranked.sort_unstable();
    let keepers = ranked.into_iter().take(voters.div_ceil(2));
    keepers.map(|(_, _, _, address)| address).collect()
}
