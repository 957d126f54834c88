//! An agent's gate forwards no more requests than its engine has slots, and reserves slots for each
//! class.

use masticsill_routing::SlotGate;
use masticsill_types::{Class, ClockMs, GenerationId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOW: ClockMs = ClockMs(0);

fn offer(gate: &mut SlotGate, ids: std::ops::Range<u128>, class: Class) -> usize {
    for id in ids {
        gate.offer(NOW, GenerationId(id), class);
    }
    std::iter::from_fn(|| gate.forward_next()).count()
}

#[test]
fn each_class_leaves_a_slot_for_the_other() {
    for (first, second) in [
        (Class::PatientDraft, Class::InstantLookup),
        (Class::InstantLookup, Class::PatientDraft),
    ] {
        let mut gate = SlotGate::new(16);
        assert_eq!(offer(&mut gate, 0..40, first), 15);
        assert_eq!(offer(&mut gate, 100..101, second), 1);
        assert_eq!(offer(&mut gate, 101..110, second), 0);
    }
}

#[test]
fn no_slot_is_reserved_at_an_engine_without_lookups() {
    let mut gate = SlotGate::new(16);
    gate.set_shared(false);
    assert_eq!(offer(&mut gate, 0..40, Class::PatientDraft), 16);
}

#[test]
fn lookup_reserve_follows_the_peak_of_lookups() {
    let mut gate = SlotGate::new(16);
    assert_eq!(offer(&mut gate, 100..102, Class::InstantLookup), 2);
    for id in 100..102 {
        gate.remove(GenerationId(id));
    }
    assert_eq!(offer(&mut gate, 0..40, Class::PatientDraft), 13);
}

#[test]
fn random_work_is_forwarded_once_and_within_the_slots() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gate = SlotGate::new(8);
        let mut running: Vec<GenerationId> = Vec::new();
        let mut forwarded = 0;
        for step in 0..5_000_u64 {
            let now = ClockMs(step * 7);
            if step < 2_000 {
                let class = [Class::InstantLookup, Class::PatientDraft][rng.random_range(0..2)];
                gate.offer(now, GenerationId(step.into()), class);
            }
            if !running.is_empty() && rng.random_bool(0.9) {
                gate.remove(running.swap_remove(rng.random_range(0..running.len())));
            }
            while let Some(id) = gate.forward_next() {
                assert!(!running.contains(&id));
                running.push(id);
                forwarded += 1;
            }
            assert!(running.len() <= 8);
        }
        assert_eq!((forwarded, gate.waiting()), (2_000, 0), "seed {seed}");
    }
}
