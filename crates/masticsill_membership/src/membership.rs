//! The membership state machine of one node, driven by its host.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, Incarnation, NodeId, ZoneId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::change_log::ChangesSince;
use crate::config::Periods;
use crate::detector::Detector;
use crate::member::{Member, Phase, Record, Role};
use crate::message::{CallId, Input, Output, Reply, ReplyBody, Request, RequestBody};
use crate::push::PushBudget;
use crate::rumors::Rumors;
use crate::table::MemberTable;

/// A longer gap between two ticks counts as a pause of this process.
const PAUSE_THRESHOLD_MS: u64 = 1_500;
/// Time after the first contact in which a node takes over the records of its peers without
/// spreading them.
const JOIN_WINDOW_MS: u64 = 2_000;
/// Maximum number of buckets reconciled in one call.
const MAX_BUCKETS_PER_CALL: usize = 64;

/// The initial description of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Description {
    /// Address of the RPC listener.
    pub address: SocketAddr,
    /// Incarnation, which must be higher than every earlier one of the same node.
    pub incarnation: Incarnation,
    /// Id of the node.
    pub node: NodeId,
    /// Role of the node.
    pub role: Role,
    /// Availability zone of the node.
    pub zone: ZoneId,
}

/// The purpose of a call in flight.
#[derive(Clone, Debug)]
enum Pending {
    Compare { address: SocketAddr },
    Probe { target: Record },
    ProbeVia { target: Record },
    Push,
    Reconcile { address: SocketAddr, rest: Vec<u16> },
}

/// The membership of one node.
///
/// The host gives an [`Input::Tick`] several times per second, answers the requests of peers
/// through [`Membership::answer`], carries out each [`Output`] and reports the result of every
/// call.
#[derive(Clone, Debug)]
pub struct Membership {
    detector: Detector,
    is_superseded: bool,
    joined_at: ClockMs,
    last_tick: ClockMs,
    next_call: u64,
    next_compare: ClockMs,
    next_reconnect: ClockMs,
    outputs: Vec<Output>,
    own: Record,
    pending: IndexMap<CallId, Pending>,
    periods: Periods,
    push: PushBudget,
    rng: StdRng,
    rumors: Rumors,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
}

impl Membership {
    /// Creates the membership of a node that knows only itself and the addresses of its seeds.
    /// `seed` seeds the random number generator.
    #[must_use]
    pub fn new(
        now: ClockMs,
        description: Description,
        seeds: Vec<SocketAddr>,
        periods: Periods,
        seed: u64,
    ) -> Self {
        let own = Record {
            address: description.address,
            incarnation: description.incarnation,
            is_suspected: false,
            node: description.node,
            phase: Phase::Serving,
            revision: 0,
            role: description.role,
            zone: description.zone,
        };
        let mut table = MemberTable::new(periods);
        table.merge(now, own.clone());
        Self {
            detector: Detector::new(now, periods.probe_ms),
            is_superseded: false,
            joined_at: now,
            last_tick: now,
            next_call: 0,
            next_compare: now,
            next_reconnect: now,
            outputs: Vec::new(),
            own,
            pending: IndexMap::new(),
            periods,
            push: PushBudget::default(),
            rng: StdRng::seed_from_u64(seed),
            rumors: Rumors::default(),
            seeds,
            table,
        }
    }

    /// Returns the members that are not gone, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.table.members()
    }

    /// Returns a member, or `None` if it is unknown or gone.
    #[must_use]
    pub fn member(&self, node: &NodeId) -> Option<&Arc<Member>> {
        self.table.member(node)
    }

    /// Returns the cursor after the latest change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.table.log().cursor()
    }

    /// Returns the members that changed after a cursor.
    #[must_use]
    pub fn changes_since(&self, cursor: u64) -> ChangesSince {
        self.table.log().since(cursor)
    }

    /// Handles an input and returns the actions that the host must carry out.
    pub fn step(&mut self, now: ClockMs, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Answered { call, reply } => self.on_answer(now, call, reply),
            Input::ProbedVia { call, is_reached } => self.on_probed_via(now, call, is_reached),
            Input::Failed { call } => self.on_failure(now, call),
            Input::RoleChanged(role) => self.update_own_record(now, |own| own.role = role),
            Input::Leaving => self.update_own_record(now, |own| own.phase = Phase::Leaving),
            Input::Left => self.update_own_record(now, |own| own.phase = Phase::Left),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Answers the request of a peer. Its updates are merged at once; the calls that follow from
    /// them are made at the next tick.
    pub fn answer(&mut self, now: ClockMs, request: Request) -> Reply {
        for rumor in request.rumors {
            self.merge_and_spread(now, rumor);
        }
        let body = match request.body {
            RequestBody::Probe => ReplyBody::Here,
            RequestBody::Compare(root) if root == self.table.digest().root() => ReplyBody::Here,
            RequestBody::Compare(_) => ReplyBody::Buckets(self.table.digest().bucket_hashes()),
            RequestBody::Reconcile { buckets, records } => {
                ReplyBody::Records(self.reconcile(now, &buckets, records))
            }
        };
        Reply {
            body,
            from: self.own.node.clone(),
            incarnation: self.own.incarnation,
            rumors: self.take_rumors(&request.from),
        }
    }

    fn reconcile(&mut self, now: ClockMs, buckets: &[u16], records: Vec<Record>) -> Vec<Record> {
        let mut answer = self.table.bucket_records(buckets);
        let theirs: IndexMap<&NodeId, &Record> = records
            .iter()
            .map(|record| (&record.node, record))
            .collect();
        answer.retain(|own| {
            let known = theirs.get(&own.node);
            known.is_none_or(|their| own.supersedes(their))
        });
        for record in records {
            self.merge_and_spread(now, record);
        }
        answer
    }

    fn tick(&mut self, now: ClockMs) {
        let gap_ms = now.since(self.last_tick);
        self.last_tick = now;
        if gap_ms > PAUSE_THRESHOLD_MS {
            self.table.postpone_suspicions(gap_ms);
            self.pending.clear();
            self.detector.clear_indirect_probes();
        }
        self.table.expire(now);
        if self.is_superseded {
            return;
        }
        self.push_updates(now);
        self.probe_next(now);
        self.compare_next(now);
        self.reconnect_next(now);
    }

    fn push_updates(&mut self, now: ClockMs) {
        let Some(push) = self.push.next(now, &self.own, &self.table, &mut self.rng) else {
            return;
        };
        for address in push.addresses {
            let request = Request {
                body: RequestBody::Probe,
                from: self.own.node.clone(),
                rumors: push.records.clone(),
            };
            self.call(address, request, Pending::Push);
        }
    }

    fn probe_next(&mut self, now: ClockMs) {
        let own = &self.own.node;
        let Some(target) = self.detector.next(now, own, &self.table, &mut self.rng) else {
            return;
        };
        let request = self.request_to(&target.node, RequestBody::Probe);
        self.call(target.address, request, Pending::Probe { target });
    }

    fn compare_next(&mut self, now: ClockMs) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + self.jittered(self.periods.compare_ms);
        let peers = self
            .table
            .members()
            .filter(|peer| peer.node != self.own.node);
        let addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        if let Some(address) = pick(&addresses, &mut self.rng) {
            self.compare(address);
        }
    }

    /// Tries to reach seeds and failed members that are not in the view, which heals a partition.
    fn reconnect_next(&mut self, now: ClockMs) {
        if now < self.next_reconnect {
            return;
        }
        let known: Vec<SocketAddr> = self.table.members().map(|peer| peer.address).collect();
        let knows_no_peers = known.len() < 2;
        let period_ms = if knows_no_peers {
            self.periods.join_ms
        } else {
            self.periods.reconnect_ms
        };
        self.next_reconnect = now + self.jittered(period_ms);
        let failed_members = self.table.failed_members().map(|record| record.address);
        let candidates = self.seeds.iter().copied().chain(failed_members);
        let absent: Vec<SocketAddr> = candidates
            .filter(|address| !known.contains(address))
            .collect();
        if let Some(address) = pick(&absent, &mut self.rng) {
            self.compare(address);
        }
    }

    fn compare(&mut self, address: SocketAddr) {
        let root = self.table.digest().root();
        let request = Request {
            body: RequestBody::Compare(root),
            from: self.own.node.clone(),
            rumors: Vec::new(),
        };
        self.call(address, request, Pending::Compare { address });
    }

    fn on_answer(&mut self, now: ClockMs, call: CallId, reply: Reply) {
        let pending = self.pending.swap_remove(&call);
        for rumor in reply.rumors {
            self.merge_and_spread(now, rumor);
        }
        match (pending, reply.body) {
            (Some(Pending::Probe { target }), _) => {
                let is_target = reply.from == target.node;
                if !is_target || reply.incarnation < target.incarnation {
                    self.probe_indirectly(now, &target);
                }
            }
            (Some(Pending::Compare { address }), ReplyBody::Buckets(hashes)) => {
                let differing = self.table.digest().differing(&hashes);
                self.reconcile_next(address, differing);
            }
            (Some(Pending::Reconcile { address, rest }), ReplyBody::Records(records)) => {
                self.take_records(now, records);
                self.reconcile_next(address, rest);
            }
            _ => {}
        }
    }

    /// Merges the records that a peer holds. A node that just joined does not spread them, because
    /// its peers know them already.
    fn take_records(&mut self, now: ClockMs, records: Vec<Record>) {
        let is_joining = now.since(self.joined_at) < JOIN_WINDOW_MS;
        let knew_no_peers = self.table.len() < 2;
        if knew_no_peers {
            self.joined_at = now;
        }
        for record in records {
            if knew_no_peers || is_joining {
                self.merge_unspread(now, record);
            } else {
                self.merge_and_spread(now, record);
            }
        }
        if knew_no_peers {
            self.rumors.start(&self.own.node);
            self.push.add_local(self.own.node.clone());
        }
    }

    fn merge_unspread(&mut self, now: ClockMs, record: Record) {
        if record.node == self.own.node {
            self.handle_own_record(now, &record);
        } else {
            self.table.merge(now, record);
        }
    }

    fn reconcile_next(&mut self, address: SocketAddr, mut buckets: Vec<u16>) {
        if buckets.is_empty() {
            return;
        }
        let rest = buckets.split_off(buckets.len().min(MAX_BUCKETS_PER_CALL));
        let records = self.table.bucket_records(&buckets);
        let request = Request {
            body: RequestBody::Reconcile { buckets, records },
            from: self.own.node.clone(),
            rumors: Vec::new(),
        };
        self.call(address, request, Pending::Reconcile { address, rest });
    }

    fn on_failure(&mut self, now: ClockMs, call: CallId) {
        match self.pending.swap_remove(&call) {
            Some(Pending::Probe { target }) => self.probe_indirectly(now, &target),
            Some(Pending::ProbeVia { target }) => self.record_indirect_result(now, &target, false),
            Some(Pending::Compare { .. } | Pending::Push | Pending::Reconcile { .. }) | None => {}
        }
    }

    fn on_probed_via(&mut self, now: ClockMs, call: CallId, is_reached: bool) {
        if let Some(Pending::ProbeVia { target }) = self.pending.swap_remove(&call) {
            self.record_indirect_result(now, &target, is_reached);
        }
    }

    fn probe_indirectly(&mut self, now: ClockMs, target: &Record) {
        let own = &self.own.node;
        let helpers = self
            .detector
            .helpers(target, own, &self.table, &mut self.rng);
        if helpers.is_empty() {
            self.suspect(now, target);
            return;
        }
        for address in helpers {
            let call = self.next_call();
            let pending = Pending::ProbeVia {
                target: target.clone(),
            };
            self.pending.insert(call, pending);
            self.outputs.push(Output::ProbeVia {
                address,
                call,
                target: target.address,
                target_node: target.node.clone(),
                timeout_ms: self.periods.indirect_timeout_ms,
            });
        }
    }

    fn record_indirect_result(&mut self, now: ClockMs, target: &Record, is_reached: bool) {
        if self.detector.record_helper_result(target, is_reached) {
            self.suspect(now, target);
        }
    }

    fn suspect(&mut self, now: ClockMs, target: &Record) {
        let mut record = target.clone();
        record.is_suspected = true;
        if self.table.merge(now, record) {
            self.rumors.start(&target.node);
            self.push.add_local(target.node.clone());
        }
    }

    fn merge_and_spread(&mut self, now: ClockMs, record: Record) {
        if record.node == self.own.node {
            self.handle_own_record(now, &record);
            return;
        }
        let node = record.node.clone();
        if self.table.merge(now, record) {
            self.rumors.start(&node);
            self.push.add_received(node);
        }
    }

    fn handle_own_record(&mut self, now: ClockMs, record: &Record) {
        if record.incarnation > self.own.incarnation {
            if !self.is_superseded {
                self.outputs.push(Output::Superseded(record.incarnation));
            }
            self.is_superseded = true;
        } else if record.supersedes(&self.own) && !self.is_superseded {
            let revision = record.revision;
            self.update_own_record(now, |own| own.revision = revision);
        }
    }

    fn update_own_record(&mut self, now: ClockMs, change: impl FnOnce(&mut Record)) {
        change(&mut self.own);
        self.own.revision += 1;
        self.table.merge(now, self.own.clone());
        self.rumors.start(&self.own.node);
        self.push.add_local(self.own.node.clone());
    }

    /// Returns the updates for one peer. If this node suspects the peer, they always include the
    /// record of the peer, so that the peer can refute the suspicion.
    fn take_rumors(&mut self, peer: &NodeId) -> Vec<Record> {
        let nodes = self.rumors.take(self.table.len());
        let records = nodes.iter().filter_map(|node| self.table.record(node));
        let mut rumors: Vec<Record> = records.cloned().collect();
        let about_peer = self.table.record(peer).filter(|record| record.is_suspected);
        if let Some(record) = about_peer
            && !nodes.contains(peer)
        {
            rumors.push(record.clone());
        }
        rumors
    }

    fn request_to(&mut self, peer: &NodeId, body: RequestBody) -> Request {
        Request {
            body,
            from: self.own.node.clone(),
            rumors: self.take_rumors(peer),
        }
    }

    fn call(&mut self, address: SocketAddr, request: Request, pending: Pending) {
        let call = self.next_call();
        self.pending.insert(call, pending);
        self.outputs.push(Output::Call {
            address,
            call,
            request,
            timeout_ms: self.periods.call_timeout_ms,
        });
    }

    fn next_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    /// Shortens a period at random by up to a fifth, so that the nodes don't synchronize.
    fn jittered(&mut self, period_ms: u64) -> u64 {
        period_ms - self.rng.random_range(0..=period_ms / 5)
    }
}

fn pick(addresses: &[SocketAddr], rng: &mut StdRng) -> Option<SocketAddr> {
    if addresses.is_empty() {
        return None;
    }
    Some(addresses[rng.random_range(0..addresses.len())])
}
