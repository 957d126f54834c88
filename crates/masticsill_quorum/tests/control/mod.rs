//! The control state on simulated replicas, and the checks of its clients.

#![allow(unreachable_pub)]

pub mod followers;
pub mod operators;
pub mod reference;

use indexmap::IndexMap;
use masticsill_catalogue::{
    Action, AuditAction, Change, ChangeAnswer, ChangeRefusal, Claim, ClaimAnswer, Command,
    CommandAnswer, ControlState, Freshness, Reassign, Settle,
};
use masticsill_quorum::{Entry, LogIndex, Payload, Snapshot, VoterId};
use masticsill_types::{ChangeId, ClockMs, EntryId, GenerationId, NodeId, OperatorId};

use super::simulation::{Application, Model};
use reference::ReferenceModel;

/// One replica's control state, and state that a restart loses.
#[derive(Debug, Default)]
pub struct Replicated {
    pub control: ControlState,
    /// Renewed by the replica's lease read points while it is the leader.
    pub freshness: Option<Freshness>,
    answers: IndexMap<LogIndex, CommandAnswer>,
}

impl Replicated {
    pub fn freshness(&mut self, started_at: ClockMs) -> &mut Freshness {
        self.freshness
            .get_or_insert_with(|| Freshness::new(started_at))
    }
}

/// Checks the answers given to operators and entry nodes against the reference model.
#[derive(Debug, Default)]
pub struct Control {
    pub reference: ReferenceModel,
    /// Number of answers that accepted a change, including answers to resends.
    pub acceptances: u64,
    /// Number of answers that granted a claim, including answers to resends.
    pub grants: u64,
    pub reads: u64,
    /// Number of answers to changes that had been answered before.
    pub repeats: u64,
    /// The time at which each new highest catalogue version was acknowledged or read, oldest first.
    acknowledged_versions: Vec<(u64, u64)>,
    answers: IndexMap<(OperatorId, ChangeId), Vec<(Change, ChangeAnswer)>>,
    accepted_by: IndexMap<(EntryId, u64), (OperatorId, ChangeId)>,
    owners: IndexMap<(GenerationId, u64), (NodeId, u64)>,
    claim_floors: IndexMap<GenerationId, u64>,
    /// For each pending read, the catalogue version and claim versions known to clients when it
    /// started.
    pending_reads: IndexMap<u64, (u64, IndexMap<GenerationId, u64>)>,
}

impl Control {
    /// The highest catalogue version that any client has been told.
    pub fn floor(&self) -> u64 {
        self.acknowledged_versions
            .last()
            .map_or(0, |(_, version)| *version)
    }

    /// The highest catalogue version that any client had been told before a time.
    pub fn floor_before(&self, at: u64) -> u64 {
        let earlier = self
            .acknowledged_versions
            .iter()
            .rev()
            .find(|(when, _)| *when < at);
        earlier.map_or(0, |(_, version)| *version)
    }

    fn note_catalogue_version(&mut self, now: u64, version: u64) {
        if version > self.floor() {
            self.acknowledged_versions.push((now, version));
        }
    }

    fn raise_claim_floor(&mut self, id: GenerationId, version: u64) {
        let floor = self.claim_floors.entry(id).or_default();
        *floor = version.max(*floor);
    }

    fn check_change_answer(&mut self, now: u64, change: &Change, answer: &ChangeAnswer) {
        let key = (change.operator.clone(), change.id.clone());
        let known = self.answers.entry(key.clone()).or_default();
        if let Some((_, first)) = known.iter().find(|(it, _)| it == change) {
            assert_eq!(first, answer, "{key:?} received two different answers");
            self.repeats += 1;
        } else {
            known.push((change.clone(), answer.clone()));
        }
        let reused = ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused);
        let contents = known.iter().filter(|(_, answer)| *answer != reused);
        assert!(
            contents.count() <= 1,
            "{key:?} was answered for two different contents"
        );
        let ChangeAnswer::Accepted { version } = answer else {
            return;
        };
        self.acceptances += 1;
        self.note_catalogue_version(now, version.0);
        let expected = change.expected_version.0;
        // Version zero may be expected successfully again after the entry is deleted.
        if expected > 0 {
            let superseded = (change.entry.clone(), expected);
            let acceptor = self
                .accepted_by
                .entry(superseded)
                .or_insert_with(|| key.clone());
            assert_eq!(
                *acceptor, key,
                "two changes of {} were accepted over version {expected}",
                change.entry
            );
        }
    }

    /// Checks that a claim's version belongs to a single owner and nonce.
    fn check_claim_owner(&mut self, id: GenerationId, version: u64, owner: &(NodeId, u64)) {
        self.raise_claim_floor(id, version);
        let held = self.owners.entry((id, version));
        let held = held.or_insert_with(|| owner.clone());
        assert_eq!(
            held, owner,
            "claim {id:?} has two owners at version {version}"
        );
    }

    fn check_claim_answer(&mut self, action: &Action, answer: &ClaimAnswer) {
        match (action, answer) {
            (Action::Claim(it), ClaimAnswer::Granted { version }) => {
                assert_eq!(*version, 1, "a claim was granted for an existing record");
                self.grants += 1;
                self.check_claim_owner(it.id, *version, &(it.owner.clone(), it.nonce));
            }
            (Action::Reassign(it), ClaimAnswer::Granted { version }) => {
                let expected = it.expected_version + 1;
                assert_eq!(
                    *version, expected,
                    "a reassignment did not follow the expected version"
                );
                self.grants += 1;
                self.check_claim_owner(it.id, *version, &(it.owner.clone(), it.nonce));
            }
            (
                Action::Claim(Claim { id, .. })
                | Action::Reassign(Reassign { id, .. })
                | Action::Settle(Settle { id, .. }),
                ClaimAnswer::Existing(held),
            ) => self.check_claim_owner(*id, held.version, &(held.owner.clone(), held.nonce)),
            (
                Action::Claim(_) | Action::Reassign(_) | Action::Settle(_),
                ClaimAnswer::FingerprintDiffers | ClaimAnswer::Settled | ClaimAnswer::Unknown,
            ) => {}
            (action, answer) => panic!("unexpected answer to {action:?}: {answer:?}"),
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
            self.reference.apply(entry.index, command);
        }
    }

    fn apply(&mut self, state: &mut Replicated, entry: &Entry) {
        let Payload::Command(_) = &entry.payload else {
            return;
        };
        let (command, expected) = &self.reference.answers[&entry.index];
        let answer = state.control.apply(command);
        assert_eq!(
            answer, *expected,
            "the answer to {command:?} differs from the model"
        );
        state.answers.insert(entry.index, answer);
    }

    fn restore(&self, state: &mut Replicated, snapshot: &Snapshot, _model: &Model) {
        state.answers.clear();
        // The founding snapshot holds no state.
        state.control = if snapshot.data.is_empty() {
            ControlState::default()
        } else {
            postcard::from_bytes(&snapshot.data).unwrap()
        };
        let catalogue = state.control.catalogue();
        let expected = self.reference.version_at(snapshot.index);
        assert_eq!(
            catalogue.version().0,
            expected,
            "the snapshot's version differs from the model"
        );
        self.reference.check_catalogue(catalogue);
    }

    fn serialize(&self, state: &Replicated) -> Vec<u8> {
        postcard::to_stdvec(&state.control).unwrap()
    }

    fn answer(&mut self, now: u64, state: &Replicated, index: LogIndex) {
        let answer = state.answers.get(&index);
        let answer = answer.expect("the replica that accepted a command has applied it");
        let command = self.reference.answers[&index].0.clone();
        match (&command.action, answer) {
            (Action::Change(change, _), CommandAnswer::Change(answer)) => {
                self.check_change_answer(now, change, answer);
            }
            (Action::DrawOrderSequence, CommandAnswer::OrderSequence(_)) => {}
            (action, CommandAnswer::Claim(answer)) => self.check_claim_answer(action, answer),
            (action, answer) => panic!("unexpected answer to {action:?}: {answer:?}"),
        }
    }

    fn begin_read(&mut self, number: u64) {
        let floors = (self.floor(), self.claim_floors.clone());
        self.pending_reads.insert(number, floors);
    }

    fn end_read(&mut self, now: u64, state: &Replicated, number: u64) {
        let (floor, claim_floors) = self.pending_reads.swap_remove(&number).unwrap();
        let catalogue = state.control.catalogue();
        let version = catalogue.version().0;
        assert!(
            version >= floor,
            "read {number} returned catalogue version {version}, expected at least {floor}"
        );
        self.reference.check_catalogue(catalogue);
        for (id, floor) in claim_floors {
            let held = state.control.claim(id).map_or(0, |record| record.version);
            assert!(
                held >= floor,
                "read {number} returned version {held} of claim {id:?}, expected at least {floor}"
            );
            self.raise_claim_floor(id, held);
        }
        self.note_catalogue_version(now, version);
        self.reads += 1;
    }

    fn check(&self, id: &VoterId, state: &Replicated, _model: &Model) {
        let control = &state.control;
        let version = control.catalogue().version().0;
        assert_eq!(
            version,
            self.reference.accepted.len() as u64,
            "the state of {id} differs from the model"
        );
        self.reference.check_catalogue(control.catalogue());
        assert_eq!(control.claim_count(), self.reference.claims.len());
        for (call, expected) in &self.reference.claims {
            assert_eq!(
                control.claim(*call),
                Some(expected),
                "the state of {id} differs from the model"
            );
        }
        self.check_audit(control);
    }
}

impl Control {
    /// Checks that the audit trail lists each accepted change once, in version order, and every
    /// refusal.
    fn check_audit(&self, control: &ControlState) {
        let audit_trail: Vec<_> = control.audit().after(0).cloned().collect();
        assert_eq!(
            audit_trail, self.reference.audit_trail,
            "the audit trail differs from the model"
        );
        let mut versions = 0..;
        let mut listed = IndexMap::new();
        for record in &audit_trail {
            let AuditAction::Change(change) = &record.action else {
                panic!("the audit trail has a record that is not a change");
            };
            if let ChangeAnswer::Accepted { version } = &change.answer {
                versions.next();
                assert_eq!(
                    version.0, versions.start,
                    "the audit trail is not in version order"
                );
                let key = (record.operator.clone(), change.id.clone());
                let earlier = listed.insert(key, change.answer.clone());
                assert_eq!(earlier, None, "the audit trail lists a change twice");
            }
        }
        for (key, answers) in &self.answers {
            for (change, answer) in answers {
                if let ChangeAnswer::Accepted { .. } = answer {
                    assert_eq!(
                        listed.get(key),
                        Some(answer),
                        "the audit trail lacks accepted change {change:?}"
                    );
                }
            }
        }
        let accepted = self.reference.accepted.iter().map(|it| it.version);
        assert!(
            accepted.eq(1..=listed.len() as u64),
            "an accepted version is missing"
        );
    }
}
