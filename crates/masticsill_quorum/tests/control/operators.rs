//! Clients of the control state: operators that send conflicting changes and resend them, and entry
//! nodes that claim, reassign and settle calls.

use std::num::NonZeroU32;

use masticsill_catalogue::{
    Action, AgentIncarnation, BackEnd, CallEnd, CatalogueEntry, Change, ChangeContent, Claim,
    Limits, OperatorScope, Placement, Reassign, Settle, StoredAnswer, StoredBody,
};
use masticsill_types::{CatalogueVersion, Class, EntryId, GenerationId, Incarnation, WorkspaceId};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::super::simulation::Simulation;
use super::{Control, encode};

const ENTRIES: u32 = 4;
/// Number of most recent commands from which resent commands are mostly chosen.
const RECENT: usize = 12;

pub fn workspace() -> WorkspaceId {
    "fliesenwerk".parse().unwrap()
}

/// All clients, with every command that they have sent.
#[derive(Debug, Default)]
pub struct Clients {
    sent: Vec<Action>,
    last_number: u64,
}

fn put(id: &EntryId, requests_per_s: u32) -> ChangeContent {
    ChangeContent::Put(Box::new(CatalogueEntry {
        back_end: BackEnd::PlainService {
            service: "orders".parse().unwrap(),
            is_repeatable: false,
        },
        class: Class::InstantLookup,
        id: id.clone(),
        limits: Limits {
            requests_per_s: NonZeroU32::new(requests_per_s),
            ..Limits::default()
        },
        owner: workspace(),
        placement: Placement {
            replicas: 2,
            ..Placement::default()
        },
    }))
}

/// Picks the leader, or in one of six cases any node.
fn pick_node(simulation: &mut Simulation<Control>) -> usize {
    let anyone = simulation.random.random_range(0..simulation.nodes.len());
    let ignores_leader = simulation.random.random_ratio(1, 6);
    let leader = simulation.leader().filter(|_| !ignores_leader);
    leader.unwrap_or(anyone)
}

impl Clients {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sends commands to one replica. Their wall-clock times may go backwards.
    fn send(&mut self, simulation: &mut Simulation<Control>, node: usize, actions: Vec<Action>) {
        let contents = actions.iter().map(|action| {
            let at_wall_ms = simulation.now + simulation.random.random_range(0..50);
            encode(action.clone(), at_wall_ms)
        });
        let contents: Vec<Vec<u8>> = contents.collect();
        self.sent.extend(actions);
        simulation.propose_contents_to(node, &contents);
    }

    /// Sends one to three concurrent changes of the same entry that expect the same version.
    pub fn send_concurrent_changes(&mut self, simulation: &mut Simulation<Control>) {
        let random = &mut simulation.random;
        let entry = format!("e{}", random.random_range(0..ENTRIES));
        let entry: EntryId = entry.parse().unwrap();
        let reference = &simulation.application.reference;
        let expected = if random.random_ratio(1, 6) {
            random.random_range(0..=reference.accepted.len() as u64)
        } else {
            reference.version_of(&entry)
        };
        let count = random.random_range(1..=3);
        let changes: Vec<Action> = (0..count)
            .map(|_| self.new_change(&mut simulation.random, &entry, expected))
            .collect();
        if simulation.random.random() {
            let node = pick_node(simulation);
            return self.send(simulation, node, changes);
        }
        for change in changes {
            let node = pick_node(simulation);
            self.send(simulation, node, vec![change]);
        }
    }

    fn new_change(&mut self, random: &mut ChaCha8Rng, entry: &EntryId, expected: u64) -> Action {
        let content = if expected > 0 && random.random_ratio(1, 4) {
            ChangeContent::Delete
        } else {
            put(entry, random.random_range(1..1_000))
        };
        let id = format!("c{}", self.next_number());
        let others = OperatorScope::Workspaces(["other".parse().unwrap()].into_iter().collect());
        let (operator, scope) = match random.random_range(0..12) {
            0 => ("cleo", others),
            1..=6 => ("anna", OperatorScope::All),
            _ => ("bo", OperatorScope::All),
        };
        let change = Change {
            content,
            entry: entry.clone(),
            expected_version: CatalogueVersion(expected),
            id: id.parse().unwrap(),
            operator: operator.parse().unwrap(),
        };
        Action::Change(change, scope)
    }

    /// Resends a command as if its answer had been lost; in one of eight cases with changed content
    /// under the same id.
    pub fn resend(&mut self, simulation: &mut Simulation<Control>) {
        let is_recent = simulation.random.random_ratio(3, 4);
        let from = if is_recent {
            self.sent.len().saturating_sub(RECENT)
        } else {
            0
        };
        let again = self.sent[from..].choose(&mut simulation.random).cloned();
        let Some(mut again) = again else {
            return;
        };
        if simulation.random.random_ratio(1, 8) {
            alter_command(&mut again, &mut simulation.random);
        }
        let node = pick_node(simulation);
        self.send(simulation, node, vec![again]);
    }

    /// Sends commands by which entry nodes claim a call, reassign it or record its end.
    pub fn claim(&mut self, simulation: &mut Simulation<Control>) {
        let random = &mut simulation.random;
        // New calls replace earlier ones over time.
        let id = u128::from(simulation.now / 400 * 3 + random.random_range(0..3));
        let id = GenerationId(id);
        let held = simulation.application.reference.claims.get(&id);
        let version = held.map_or(0, |record| record.version);
        let version = if random.random_ratio(1, 5) {
            random.random_range(0..=version + 1)
        } else {
            version
        };
        let count = random.random_range(1..=2);
        let actions = (0..count).map(|_| {
            let nonce = self.next_number();
            new_claim_action(&mut simulation.random, id, version, nonce)
        });
        let actions = actions.collect();
        let node = pick_node(simulation);
        self.send(simulation, node, actions);
    }
}

fn new_claim_action(random: &mut ChaCha8Rng, id: GenerationId, version: u64, nonce: u64) -> Action {
    let agent = AgentIncarnation {
        agent: format!("agent-{}", random.random_range(0..3))
            .parse()
            .unwrap(),
        incarnation: Incarnation(random.random_range(1..3)),
    };
    let owner = format!("entry-{}", random.random_range(0..3));
    let owner = owner.parse().unwrap();
    match random.random_range(0..6) {
        0..=1 => Action::Claim(Claim {
            agent,
            caller_wall_ms: None,
            fingerprint: u128::from(random.random_ratio(1, 8)),
            id,
            nonce,
            owner,
        }),
        2..=3 => Action::Reassign(Reassign {
            agent,
            expected_version: version,
            id,
            nonce,
            owner,
        }),
        _ => {
            let end = match random.random_range(0..4) {
                0 => CallEnd::OutcomeUnknown,
                1 => CallEnd::Answered(StoredAnswer {
                    body: StoredBody::Kept(vec![random.random_range(0..2)]),
                    content_type: "text/plain".to_owned(),
                    status: 200,
                }),
                _ => CallEnd::NotRun,
            };
            Action::Settle(Settle { end, id, version })
        }
    }
}

/// Changes a command's content but keeps its id or nonce.
fn alter_command(action: &mut Action, random: &mut ChaCha8Rng) {
    let owner = format!("entry-{}", random.random_range(0..3));
    match action {
        // The same id from another operator identifies a different change.
        Action::Change(change, _) if random.random_ratio(1, 3) => {
            change.operator = "bo".parse().unwrap();
        }
        Action::Change(change, _) => {
            change.content = put(&change.entry, random.random_range(1_000..2_000));
            if random.random() {
                change.expected_version = change.expected_version.next();
            }
        }
        Action::Claim(claim) => claim.owner = owner.parse().unwrap(),
        Action::Reassign(reassign) => reassign.owner = owner.parse().unwrap(),
        Action::Settle(settle) => settle.end = CallEnd::NotRun,
        Action::AdvanceRollout(_)
        | Action::DrawOrderSequence
        | Action::NoteReplicas { .. }
        | Action::OrderRollout { .. }
        | Action::PutDocument { .. } => {}
    }
}
