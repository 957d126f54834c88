//! Callers, entries and agents on a network that delays, repeats, reorders and loses messages.
//!
//! A message to an earlier incarnation of a process is lost, as with TCP. An entry whose start was
//! not answered begins the next attempt: it never sends the start of one attempt to two agents or
//! to two incarnations of an agent.

mod agent;
mod reference;

use masticsill_generation::Record;
use masticsill_types::{AttemptState, ClockMs, GenerationId, Lineage, TokenIndex};
use masticsill_wire::agent::{
    AttachReply, AttachRequest, Progress, ProgressState, PullCursor, PullRequest, StartReply,
    StartRequest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{LIMITS, node, spec};
use agent::{Agent, choose};
use reference::ReferenceAnswers;

const AGENTS: usize = 3;
const ENTRIES: usize = 3;
const ID: GenerationId = GenerationId(1);

/// A process and its incarnation; messages to an earlier incarnation are lost.
type Address = (usize, u32);

#[derive(Clone, Debug)]
enum Message {
    Attach(Address, Address, AttachRequest),
    AttachReply(Address, usize, u32, AttachReply),
    Progress(Address, Vec<Progress>),
    Pull(Address, Address, PullRequest),
    Start(Address, Address, Box<StartRequest>),
    StartReply(Address, Lineage, StartReply),
}

#[derive(Debug, Default)]
struct Entry {
    incarnation: u32,
    serving: Option<Serving>,
}

#[derive(Debug)]
struct Serving {
    agent: usize,
    is_started: bool,
    record: Record,
}

/// One connection of the caller, with all tokens that the caller has received so far.
#[derive(Clone, Debug)]
struct Connection {
    attaches: Vec<u32>,
    entry: usize,
    is_open: bool,
    received: Vec<u32>,
    seen: Lineage,
}

/// How often each event happened in a history.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventCounts {
    pub(crate) attached: u64,
    pub(crate) fenced: u64,
    pub(crate) late_events: u64,
    pub(crate) resumed: u64,
    pub(crate) completed: u64,
}

pub(crate) struct Simulation {
    agents: Vec<Agent>,
    connections: Vec<Connection>,
    entries: Vec<Entry>,
    reference: ReferenceAnswers,
    max_tokens: u32,
    messages: Vec<Message>,
    nonce: u32,
    now: ClockMs,
    random: ChaCha8Rng,
    pub(crate) counts: EventCounts,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let max_tokens = random.random_range(4..24);
        let mut simulation = Self {
            agents: (0..AGENTS).map(|_| Agent::new(0)).collect(),
            connections: Vec::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            reference: ReferenceAnswers::default(),
            max_tokens,
            messages: Vec::new(),
            nonce: 1,
            now: ClockMs(1),
            random,
            counts: EventCounts::default(),
        };
        let record = Record::new(spec(ID.0, max_tokens), 1);
        simulation.connections.push(Connection {
            attaches: Vec::new(),
            entry: 0,
            is_open: true,
            received: Vec::new(),
            seen: record.lineage(),
        });
        simulation.serve(0, record);
        simulation
    }

    /// Runs a history with faults, then continues without faults until the answer is complete.
    pub(crate) fn run(&mut self) {
        for _ in 0..self.random.random_range(40..160) {
            self.step();
            self.check();
        }
        for _ in 0..400 {
            self.step_without_faults();
            self.check();
            if self.is_complete() {
                self.counts.completed = 1;
                break;
            }
        }
        for agent in &self.agents {
            self.counts.fenced += agent.table.counts().fenced;
            self.counts.late_events += agent.table.counts().late_events;
        }
    }

    fn step(&mut self) {
        let agent = self.random.random_range(0..AGENTS);
        let entry = self.random.random_range(0..ENTRIES);
        match self.random.random_range(0..100) {
            0..30 => self.deliver_any(),
            30..45 => self.agents[agent].produce_tokens(&mut self.random, &mut self.reference),
            45..65 => self.agents[agent].deliver_event(self.now, &mut self.random, true),
            65..80 => self.pull(entry),
            80..84 => self.agents[agent].fail_run(self.now, &mut self.random),
            84..86 => self.begin_next_attempt(entry),
            86..92 => self.reconnect(entry),
            92..94 => self.transfer_to_other_entry(entry),
            94 => self.agents[agent] = Agent::new(self.agents[agent].incarnation + 1),
            95 => self.restart_entry(entry),
            96..98 => self.advance_time(20),
            98 => self.advance_time(2_500),
            _ => self.advance_past_retention(),
        }
        self.execute_and_reply();
    }

    fn step_without_faults(&mut self) {
        for agent in &mut self.agents {
            agent.produce_tokens(&mut self.random, &mut self.reference);
            agent.deliver_event(self.now, &mut self.random, false);
        }
        self.advance_time(5);
        for entry in 0..ENTRIES {
            self.pull(entry);
        }
        self.execute_and_reply();
        while let Some(message) = self.messages.pop() {
            self.deliver(message);
        }
        self.execute_and_reply();
        if !self.last().is_open {
            let entry = self.random.random_range(0..ENTRIES);
            self.reconnect(entry);
        }
    }

    fn check(&self) {
        for connection in &self.connections {
            let received = &connection.received;
            assert!(
                self.reference.is_prefix_of_one_answer(received),
                "{connection:?}"
            );
        }
        for serving in self
            .entries
            .iter()
            .filter_map(|entry| entry.serving.as_ref())
        {
            let is_finished = matches!(serving.record.state(), AttemptState::Finished(_));
            let is_short = serving.record.next_index().0 < self.max_tokens;
            assert!(
                !is_finished || !is_short,
                "an attempt ended before its last tokens arrived: {serving:?}"
            );
        }
    }

    fn last(&self) -> &Connection {
        self.connections.last().unwrap()
    }

    fn is_complete(&self) -> bool {
        self.last().received.len() == usize::try_from(self.max_tokens).unwrap()
    }

    fn new_nonce(&mut self) -> u32 {
        self.nonce += 1;
        self.nonce
    }

    fn entry_address(&self, entry: usize) -> Address {
        (entry, self.entries[entry].incarnation)
    }

    fn agent_address(&self, agent: usize) -> Address {
        (agent, self.agents[agent].incarnation)
    }

    /// Starts the record's current attempt at a random agent.
    fn serve(&mut self, entry: usize, record: Record) {
        let agent = self.random.random_range(0..AGENTS);
        let request = record.start_request(node("entry"));
        let start = Message::Start(
            self.agent_address(agent),
            self.entry_address(entry),
            Box::new(request),
        );
        self.messages.push(start);
        self.entries[entry].serving = Some(Serving {
            agent,
            is_started: false,
            record,
        });
    }

    fn begin_next_attempt(&mut self, entry: usize) {
        if let Some(serving) = self.entries[entry].serving.take() {
            let mut record = serving.record;
            record.begin_attempt();
            self.counts.resumed += 1;
            self.serve(entry, record);
        }
    }

    fn pull(&mut self, entry: usize) {
        let Some(serving) = &self.entries[entry].serving else {
            return;
        };
        if !serving.record.is_running() {
            return;
        }
        if !serving.is_started {
            // The start or its reply may be lost.
            if self.random.random_bool(0.1) {
                self.begin_next_attempt(entry);
            }
            return;
        }
        let cursor = PullCursor {
            id: ID,
            lineage: serving.record.lineage(),
            next_index: serving.record.next_index(),
        };
        let request = PullRequest {
            cursors: vec![cursor],
            entry: node("entry"),
            wait_ms: 10,
        };
        let to = self.agent_address(serving.agent);
        self.messages
            .push(Message::Pull(to, self.entry_address(entry), request));
    }

    /// Reconnects the caller; its older connections may stay open.
    fn reconnect(&mut self, entry: usize) {
        let from = self.random.random_range(0..self.connections.len());
        let from = from.max(self.connections.len() / 2);
        if self.random.random_bool(0.5) {
            self.connections[from].is_open = false;
        }
        let mut connection = self.connections[from].clone();
        connection.entry = entry;
        connection.is_open = true;
        connection.attaches.clear();
        let next_index = index(connection.received.len());
        if let Some(serving) = &self.entries[entry].serving {
            connection.is_open = serving.record.can_resume(connection.seen, next_index);
            self.connections.push(connection);
            return;
        }
        for agent in 0..AGENTS {
            let nonce = self.new_nonce();
            connection.attaches.push(nonce);
            let request = AttachRequest {
                entry: node("entry"),
                id: ID,
                next_index,
                nonce,
                seen: connection.seen,
            };
            let to = self.agent_address(agent);
            let attach = Message::Attach(to, self.entry_address(entry), request);
            self.messages.push(attach);
        }
        self.connections.push(connection);
    }

    /// Another entry takes over from a live entry and begins the next attempt.
    fn transfer_to_other_entry(&mut self, from: usize) {
        let to = self.random.random_range(0..ENTRIES);
        if to == from || self.entries[to].serving.is_some() {
            return;
        }
        let Some(serving) = self.entries[from].serving.take() else {
            return;
        };
        let mut record = serving.record;
        let nonce = self.new_nonce();
        record.change_owner(nonce);
        for connection in &mut self.connections {
            if connection.entry == from {
                connection.entry = to;
            }
        }
        self.adopt_record(to, &record);
        if record.is_running() {
            record.begin_attempt();
            self.serve(to, record);
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation + 1;
        self.entries[entry] = Entry {
            incarnation,
            serving: None,
        };
        self.close_connections(entry);
    }

    fn close_connections(&mut self, entry: usize) {
        for connection in &mut self.connections {
            connection.is_open &= connection.entry != entry;
        }
    }

    fn advance_time(&mut self, duration_ms: u64) {
        self.now = self.now + duration_ms;
        for agent in &mut self.agents {
            agent.table.tick(self.now);
        }
    }

    /// Advances the time until running generations are orphaned and their records expire.
    fn advance_past_retention(&mut self) {
        self.advance_time(LIMITS.orphan_ms);
        self.advance_time(LIMITS.retention_ms);
    }

    /// Executes the tables' engine commands and sends the replies of the due pulls.
    fn execute_and_reply(&mut self) {
        for agent in &mut self.agents {
            agent.execute_commands(&mut self.random, &mut self.reference);
            for (number, updates) in agent.table.take_due_pulls(self.now) {
                let to = agent.pulls.swap_remove(&number).unwrap();
                self.messages.push(Message::Progress(to, updates));
            }
        }
    }

    fn deliver_any(&mut self) {
        let positions: Vec<usize> = (0..self.messages.len()).collect();
        let Some(position) = choose(&positions, &mut self.random) else {
            return;
        };
        let message = match self.random.random_range(0..20) {
            0..2 => self.messages[position].clone(),
            2 => {
                self.messages.swap_remove(position);
                return;
            }
            _ => self.messages.swap_remove(position),
        };
        self.deliver(message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Start(to, from, request) if to == self.agent_address(to.0) => {
                let lineage = request.history.last().unwrap().lineage;
                let reply = self.agents[to.0].table.start(self.now, *request);
                self.messages
                    .push(Message::StartReply(from, lineage, reply));
            }
            Message::Pull(to, from, request) if to == self.agent_address(to.0) => {
                let updates = self.agents[to.0].pull(self.now, from, &request);
                self.messages
                    .extend(updates.map(|updates| Message::Progress(from, updates)));
            }
            Message::Attach(to, from, request) if to == self.agent_address(to.0) => {
                let nonce = request.nonce;
                let reply = self.agents[to.0].table.attach(self.now, &request);
                self.messages
                    .push(Message::AttachReply(from, to.0, nonce, reply));
            }
            Message::StartReply(to, lineage, reply) if to == self.entry_address(to.0) => {
                self.take_start_reply(to.0, lineage, &reply);
            }
            Message::Progress(to, updates) if to == self.entry_address(to.0) => {
                for progress in updates {
                    self.take_progress(to.0, progress);
                }
            }
            Message::AttachReply(to, agent, nonce, reply) if to == self.entry_address(to.0) => {
                self.take_attach_reply(to.0, agent, nonce, reply);
            }
            _ => {}
        }
    }

    fn take_start_reply(&mut self, entry: usize, lineage: Lineage, reply: &StartReply) {
        let Some(serving) = &mut self.entries[entry].serving else {
            return;
        };
        if serving.record.lineage() != lineage {
            return;
        }
        match reply {
            StartReply::Accepted => serving.is_started = true,
            StartReply::Refused(_) => self.begin_next_attempt(entry),
            StartReply::Fenced(_) => self.drop_record(entry),
        }
    }

    fn take_progress(&mut self, entry: usize, progress: Progress) {
        let Some(serving) = &mut self.entries[entry].serving else {
            return;
        };
        let lineage = progress.lineage;
        let end_index = TokenIndex(progress.first_index.0 + index(progress.tokens.len()).0);
        serving
            .record
            .append_tokens(lineage, progress.first_index, progress.tokens);
        let is_current = lineage == serving.record.lineage();
        match progress.state {
            ProgressState::Attempt(AttemptState::Running) => {}
            ProgressState::Attempt(end) => {
                let is_failed = matches!(end, AttemptState::Failed(_));
                if serving.record.end_attempt(lineage, end_index, end) && is_failed {
                    self.begin_next_attempt(entry);
                }
            }
            ProgressState::Fenced(_) if is_current => self.drop_record(entry),
            ProgressState::Unknown if is_current => self.begin_next_attempt(entry),
            ProgressState::Fenced(_) | ProgressState::Unknown => {}
        }
        self.deliver_tokens(entry);
    }

    fn take_attach_reply(&mut self, entry: usize, agent: usize, nonce: u32, reply: AttachReply) {
        let mut connections = self.connections.iter_mut();
        let is_requester = |connection: &&mut Connection| connection.attaches.contains(&nonce);
        let Some(connection) = connections.find(is_requester) else {
            return;
        };
        connection.attaches.retain(|pending| *pending != nonce);
        let is_served = self.entries[entry].serving.is_some();
        let AttachReply::Attached(snapshot) = reply else {
            connection.is_open &= is_served || !connection.attaches.is_empty();
            return;
        };
        if is_served || !connection.is_open || connection.entry != entry {
            return;
        }
        let record = Record::from_snapshot(*snapshot).unwrap();
        self.counts.attached += 1;
        self.adopt_record(entry, &record);
        let is_failed = matches!(record.state(), AttemptState::Failed(_));
        self.entries[entry].serving = Some(Serving {
            agent,
            is_started: true,
            record,
        });
        if is_failed {
            self.begin_next_attempt(entry);
        }
        self.deliver_tokens(entry);
    }

    /// Closes the connections that a record new to the entry can't resume.
    fn adopt_record(&mut self, entry: usize, record: &Record) {
        for connection in &mut self.connections {
            if connection.entry == entry {
                let next_index = index(connection.received.len());
                connection.is_open &= record.can_resume(connection.seen, next_index);
                connection.attaches.clear();
            }
        }
    }

    fn drop_record(&mut self, entry: usize) {
        self.entries[entry].serving = None;
        self.close_connections(entry);
    }

    fn deliver_tokens(&mut self, entry: usize) {
        let Some(serving) = &self.entries[entry].serving else {
            return;
        };
        let record = &serving.record;
        for connection in &mut self.connections {
            if connection.entry != entry || !connection.is_open {
                continue;
            }
            let updates = record.tokens_from(index(connection.received.len()));
            if updates.is_empty() {
                continue;
            }
            connection
                .received
                .extend(updates.iter().map(|token| token.id));
            connection.seen = record.lineage_before(record.next_index());
        }
    }
}

fn index(position: usize) -> TokenIndex {
    TokenIndex(u32::try_from(position).unwrap())
}
