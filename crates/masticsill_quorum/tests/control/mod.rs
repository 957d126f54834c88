//! The control state on simulated replicas, and what its clients check.

#![allow(unreachable_pub)]

pub mod followers;
pub mod naive;
pub mod operators;

use indexmap::IndexMap;
use masticsill_catalogue::{
    Action, AuditAction, Change, ChangeAnswer, ChangeRefusal, Claim, ClaimAnswer, Command,
    CommandAnswer, ControlState, Freshness, Reassign, Settle,
};
use masticsill_quorum::{Entry, LogIndex, Payload, Snapshot, VoterId};
use masticsill_types::{ChangeId, ClockMs, EntryId, GenerationId, NodeId, OperatorId};

use super::simulation::{Application, Model};
use naive::Naive;

/// One replica's state, and what a start forgets.
#[derive(Debug, Default)]
pub struct Replicated {
    pub control: ControlState,
    /// Renewed by what the replica proves while it leads.
    pub freshness: Option<Freshness>,
    answers: IndexMap<LogIndex, CommandAnswer>,
}

impl Replicated {
    pub fn freshness(&mut self, started_at: ClockMs) -> &mut Freshness {
        self.freshness
            .get_or_insert_with(|| Freshness::new(started_at))
    }
}

/// What operators and entries were told, against the naive single copy.
#[derive(Debug, Default)]
pub struct Control {
    pub naive: Naive,
    /// Answers that accepted a change, resends too.
    pub acceptances: u64,
    /// Answers that granted a claim, resends too.
    pub grants: u64,
    pub reads: u64,
    /// Answers to changes that were answered before.
    pub repeats: u64,
    /// When each new highest catalogue version was acknowledged or read, oldest first.
    seen: Vec<(u64, u64)>,
    answers: IndexMap<(OperatorId, ChangeId), Vec<(Change, ChangeAnswer)>>,
    winners: IndexMap<(EntryId, u64), (OperatorId, ChangeId)>,
    owners: IndexMap<(GenerationId, u64), (NodeId, u64)>,
    claim_floors: IndexMap<GenerationId, u64>,
    /// What was seen before each read under way began.
    reading: IndexMap<u64, (u64, IndexMap<GenerationId, u64>)>,
}

impl Control {
    /// The highest catalogue version that anyone was told of.
    pub fn floor(&self) -> u64 {
        self.seen.last().map_or(0, |(_, version)| *version)
    }

    /// The highest catalogue version that anyone was told of before a time.
    pub fn floor_before(&self, at: u64) -> u64 {
        let earlier = self.seen.iter().rev().find(|(when, _)| *when < at);
        earlier.map_or(0, |(_, version)| *version)
    }

    fn see(&mut self, now: u64, version: u64) {
        if version > self.floor() {
            self.seen.push((now, version));
        }
    }

    fn raise_claim(&mut self, id: GenerationId, version: u64) {
        let floor = self.claim_floors.entry(id).or_default();
        *floor = version.max(*floor);
    }

    fn take_change(&mut self, now: u64, change: &Change, answer: &ChangeAnswer) {
        let key = (change.operator.clone(), change.id.clone());
        let known = self.answers.entry(key.clone()).or_default();
        if let Some((_, first)) = known.iter().find(|(it, _)| it == change) {
            assert_eq!(first, answer, "{key:?} has a second answer");
            self.repeats += 1;
        } else {
            known.push((change.clone(), answer.clone()));
        }
        let reused = ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused);
        let contents = known.iter().filter(|(_, answer)| *answer != reused);
        assert!(
            contents.count() <= 1,
            "{key:?} is answered with two contents"
        );
        let ChangeAnswer::Accepted { version } = answer else {
            return;
        };
        self.acceptances += 1;
        self.see(now, version.0);
        let expected = change.expected_version.0;
        // Zero may win again once the entry is deleted.
        if expected > 0 {
            let place = (change.entry.clone(), expected);
            let winner = self.winners.entry(place).or_insert_with(|| key.clone());
            assert_eq!(*winner, key, "two winners of {} {expected}", change.entry);
        }
    }

    /// Takes in that a claim's version belongs to an owner and nonce.
    fn see_claim(&mut self, id: GenerationId, version: u64, owner: &(NodeId, u64)) {
        self.raise_claim(id, version);
        let held = self.owners.entry((id, version));
        let held = held.or_insert_with(|| owner.clone());
        assert_eq!(held, owner, "two owners of {id:?} version {version}");
    }

    fn take_claim(&mut self, action: &Action, answer: &ClaimAnswer) {
        match (action, answer) {
            (Action::Claim(it), ClaimAnswer::Granted { version }) => {
                assert_eq!(*version, 1, "a claim moves an existing one");
                self.grants += 1;
                self.see_claim(it.id, *version, &(it.owner.clone(), it.nonce));
            }
            (Action::Reassign(it), ClaimAnswer::Granted { version }) => {
                let expected = it.expected_version + 1;
                assert_eq!(*version, expected, "moved from another version");
                self.grants += 1;
                self.see_claim(it.id, *version, &(it.owner.clone(), it.nonce));
            }
            (
                Action::Claim(Claim { id, .. })
                | Action::Reassign(Reassign { id, .. })
                | Action::Settle(Settle { id, .. }),
                ClaimAnswer::Existing(held),
            ) => self.see_claim(*id, held.version, &(held.owner.clone(), held.nonce)),
            (
                Action::Claim(_) | Action::Reassign(_) | Action::Settle(_),
                ClaimAnswer::FingerprintDiffers | ClaimAnswer::Settled | ClaimAnswer::Unknown,
            ) => {}
            (action, answer) => panic!("{action:?} is answered by {answer:?}"),
        }
    }
}

fn decode(entry: &Entry) -> Option<Command> {
    let Payload::Command(bytes) = &entry.payload else {
        return None;
    };
    Some(postcard::from_bytes(&bytes[8..]).unwrap())
}

pub fn encode(action: Action, at_wall_ms: u64) -> Vec<u8> {
    let command = Command { action, at_wall_ms };
    postcard::to_stdvec(&command).unwrap()
}

impl Application for Control {
    type State = Replicated;

    fn command(&mut self, number: u64) -> Vec<u8> {
        let content = encode(Action::DrawOrderSequence, 0);
        [number.to_le_bytes().as_slice(), &content].concat()
    }

    fn commit(&mut self, entry: &Entry) {
        if let Some(command) = decode(entry) {
            self.naive.apply(entry.index, command);
        }
    }

    fn apply(&mut self, state: &mut Replicated, entry: &Entry) {
        let Payload::Command(_) = &entry.payload else {
            return;
        };
        let (command, expected) = &self.naive.answers[&entry.index];
        let answer = state.control.apply(command);
        assert_eq!(answer, *expected, "{command:?} is answered wrongly");
        state.answers.insert(entry.index, answer);
    }

    fn restore(&self, state: &mut Replicated, snapshot: &Snapshot, _model: &Model) {
        state.answers.clear();
        // A founding snapshot holds no state.
        state.control = if snapshot.data.is_empty() {
            ControlState::default()
        } else {
            postcard::from_bytes(&snapshot.data).unwrap()
        };
        let catalogue = state.control.catalogue();
        let expected = self.naive.version_at(snapshot.index);
        assert_eq!(catalogue.version().0, expected, "a wrong snapshot");
        self.naive.check_catalogue(catalogue);
    }

    fn serialise(&self, state: &Replicated) -> Vec<u8> {
        postcard::to_stdvec(&state.control).unwrap()
    }

    fn answer(&mut self, now: u64, state: &Replicated, index: LogIndex) {
        let answer = state.answers.get(&index);
        let answer = answer.expect("an accepted command was applied where it was accepted");
        let command = self.naive.answers[&index].0.clone();
        match (&command.action, answer) {
            (Action::Change(change, _), CommandAnswer::Change(answer)) => {
                self.take_change(now, change, answer);
            }
            (Action::DrawOrderSequence, CommandAnswer::OrderSequence(_)) => {}
            (action, CommandAnswer::Claim(answer)) => self.take_claim(action, answer),
            (action, answer) => panic!("{action:?} is answered by {answer:?}"),
        }
    }

    fn begin_read(&mut self, number: u64) {
        let seen = (self.floor(), self.claim_floors.clone());
        self.reading.insert(number, seen);
    }

    fn end_read(&mut self, now: u64, state: &Replicated, number: u64) {
        let (floor, claim_floors) = self.reading.swap_remove(&number).unwrap();
        let catalogue = state.control.catalogue();
        let version = catalogue.version().0;
        assert!(
            version >= floor,
            "read {number} shows {version}, not {floor}"
        );
        self.naive.check_catalogue(catalogue);
        for (id, floor) in claim_floors {
            let held = state.control.claim(id).map_or(0, |record| record.version);
            assert!(
                held >= floor,
                "read {number} shows {id:?} {held}, not {floor}"
            );
            self.raise_claim(id, held);
        }
        self.see(now, version);
        self.reads += 1;
    }

    fn check(&self, id: &VoterId, state: &Replicated, _model: &Model) {
        let control = &state.control;
        let version = control.catalogue().version().0;
        assert_eq!(version, self.naive.accepted.len() as u64, "{id} differs");
        self.naive.check_catalogue(control.catalogue());
        assert_eq!(control.claim_count(), self.naive.claims.len());
        for (call, expected) in &self.naive.claims {
            assert_eq!(control.claim(*call), Some(expected), "{id} differs");
        }
        self.check_audit(control);
    }
}

impl Control {
    /// Checks that the trail lists each accepted change once, in version order, and every refusal.
    fn check_audit(&self, control: &ControlState) {
        let trail: Vec<_> = control.audit().after(0).cloned().collect();
        assert_eq!(trail, self.naive.trail, "the audit trail differs");
        let mut versions = 0..;
        let mut listed = IndexMap::new();
        for record in &trail {
            let AuditAction::Change(change) = &record.action else {
                panic!("nobody changed the replicas");
            };
            if let ChangeAnswer::Accepted { version } = &change.answer {
                versions.next();
                assert_eq!(version.0, versions.start, "not in version order");
                let key = (record.operator.clone(), change.id.clone());
                let earlier = listed.insert(key, change.answer.clone());
                assert_eq!(earlier, None, "listed twice");
            }
        }
        for (key, answers) in &self.answers {
            for (change, answer) in answers {
                if let ChangeAnswer::Accepted { .. } = answer {
                    assert_eq!(listed.get(key), Some(answer), "{change:?} is lost");
                }
            }
        }
        let accepted = self.naive.accepted.iter().map(|it| it.version);
        assert!(accepted.eq(1..=listed.len() as u64), "a version is missing");
    }
}
