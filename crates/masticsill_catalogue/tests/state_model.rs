//! Compares the replicated state with a naive model on random schedules of changes and claims, with
//! resends, version conflicts and restarts from a snapshot.

mod common;

use common::{delete, put, run, send};
use indexmap::IndexMap;
use masticsill_catalogue::{
    Action, AgentIncarnation, CallEnd, Change, ChangeAnswer, ChangeContent, ChangeRefusal, Claim,
    ClaimAnswer, CommandAnswer, ControlState, Reassign, Settle,
};
use masticsill_types::{CatalogueVersion, GenerationId, Incarnation};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 40;

/// Keeps every answer forever and has no claim expiry, no deltas and no limits.
#[derive(Default)]
struct Model {
    answers: Vec<(Change, ChangeAnswer)>,
    entries: IndexMap<String, u64>,
    /// Version, nonce and end of each claim, by call.
    claims: IndexMap<u128, (u64, u64, Option<CallEnd>)>,
    version: u64,
}

impl Model {
    fn change(&mut self, change: &Change) -> ChangeAnswer {
        let known = self.answers.iter().find(|(it, _)| it.id == change.id);
        if let Some((first, answer)) = known {
            return if first == change {
                answer.clone()
            } else {
                ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused)
            };
        }
        let answer = self.decide(change);
        self.answers.push((change.clone(), answer.clone()));
        answer
    }

    fn decide(&mut self, change: &Change) -> ChangeAnswer {
        let name = change.entry.to_string();
        let in_force = self.entries.get(&name).copied().unwrap_or(0);
        if change.expected_version.0 != in_force {
            return ChangeAnswer::Refused(ChangeRefusal::VersionConflict {
                expected: change.expected_version,
                in_force: CatalogueVersion(in_force),
            });
        }
        self.version += 1;
        match change.content {
            ChangeContent::Delete => self.entries.swap_remove(&name),
            ChangeContent::Put(_) => self.entries.insert(name, self.version),
        };
        common::accepted(self.version)
    }

    /// Returns the version granted, if any.
    fn claim(&mut self, id: u128, nonce: u64) -> Option<u64> {
        let (version, held, end) = self.claims.entry(id).or_insert((1, nonce, None));
        (*held == nonce && end.is_none()).then_some(*version)
    }

    fn reassign(&mut self, id: u128, expected: u64, nonce: u64) -> Option<u64> {
        let (version, held, end) = self.claims.get_mut(&id)?;
        if *held == nonce && end.is_none() {
            return Some(*version);
        }
        let is_reassignable = matches!(end, None | Some(CallEnd::NotRun));
        if *version != expected || !is_reassignable {
            return None;
        }
        (*version, *held, *end) = (*version + 1, nonce, None);
        Some(*version)
    }

    fn settle(&mut self, id: u128, expected: u64, end_given: &CallEnd) -> bool {
        let Some((version, _, end)) = self.claims.get_mut(&id) else {
            return false;
        };
        let may_record_end = end.is_none() || end.as_ref() == Some(end_given);
        let is_taken = *version == expected && may_record_end;
        if is_taken {
            *end = Some(end_given.clone());
        }
        is_taken
    }
}

fn agent_incarnation() -> AgentIncarnation {
    AgentIncarnation {
        agent: "agent".parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn granted(answer: &CommandAnswer) -> Option<u64> {
    match answer {
        CommandAnswer::Claim(ClaimAnswer::Granted { version }) => Some(*version),
        _ => None,
    }
}

fn new_change(random: &mut ChaCha8Rng, model: &Model) -> Change {
    let id = format!("c{}", random.random_range(0..30));
    let entry = format!("e{}", random.random_range(0..4));
    let expected = random.random_range(0..=model.version.min(6));
    if expected > 0 && random.random_ratio(1, 4) {
        delete(&id, &entry, expected)
    } else {
        put(&id, &entry, expected, random.random_range(1..3))
    }
}

fn step_change(random: &mut ChaCha8Rng, state: &mut ControlState, model: &mut Model, seed: u64) {
    let resent = model
        .answers
        .choose(random)
        .map(|(change, _)| change.clone());
    let resent = resent.filter(|_| random.random_ratio(1, 3));
    let change = resent.unwrap_or_else(|| new_change(random, model));
    assert_eq!(send(state, &change), model.change(&change), "seed {seed}");
}

fn step_claim(random: &mut ChaCha8Rng, state: &mut ControlState, model: &mut Model, seed: u64) {
    let number = random.random_range(0..3_u128);
    let id = GenerationId(number);
    let nonce = random.random_range(0..4);
    let version = random.random_range(1..4);
    let owner = || "entry".parse().unwrap();
    match random.random_range(0..3) {
        0 => {
            let claim = Claim {
                agent: agent_incarnation(),
                caller_wall_ms: None,
                fingerprint: 1,
                id,
                nonce,
                owner: owner(),
            };
            let answer = run(state, 0, Action::Claim(claim));
            assert_eq!(granted(&answer), model.claim(number, nonce), "seed {seed}");
        }
        1 => {
            let reassign = Reassign {
                agent: agent_incarnation(),
                expected_version: version,
                id,
                nonce,
                owner: owner(),
            };
            let answer = run(state, 0, Action::Reassign(reassign));
            let expected = model.reassign(number, version, nonce);
            assert_eq!(granted(&answer), expected, "seed {seed}");
        }
        _ => {
            let end = CallEnd::NotRun;
            let expected = model.settle(number, version, &end);
            let answer = run(state, 0, Action::Settle(Settle { end, id, version }));
            let is_settled = answer == CommandAnswer::Claim(ClaimAnswer::Settled);
            assert_eq!(is_settled, expected, "seed {seed}");
        }
    }
}

fn run_schedule(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut state = ControlState::default();
    let mut model = Model::default();
    for _ in 0..STEPS {
        if random.random_ratio(1, 2) {
            step_change(&mut random, &mut state, &mut model, seed);
        } else {
            step_claim(&mut random, &mut state, &mut model, seed);
        }
        if random.random_ratio(1, 10) {
            let bytes = postcard::to_stdvec(&state).unwrap();
            let restored: ControlState = postcard::from_bytes(&bytes).unwrap();
            assert_eq!(restored, state, "seed {seed}");
            state = restored;
        }
    }
    let entries = state.catalogue().entries();
    let entries: IndexMap<String, u64> = entries
        .map(|held| (held.entry.id.to_string(), held.version.0))
        .collect();
    assert_eq!(entries, model.entries, "seed {seed}");
    assert_eq!(state.catalogue().version().0, model.version, "seed {seed}");
}

#[test]
fn state_gives_the_same_answers_as_the_naive_model() {
    for seed in 0..SCHEDULES {
        run_schedule(seed);
    }
}
