//! What the exchanges of a process may hold together.

use masticsill_upstream::{BufferBudget, BufferShare};

const LIMIT_BYTES: usize = 1_000_000;

fn shares(budget: &BufferBudget, count: usize) -> Vec<BufferShare> {
    (0..count).map(|_| budget.share()).collect()
}

/// Guards against responses without an end that together take more memory than there is.
#[test]
fn endless_responses_hold_twice_the_limit_at_most() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let mut shares = shares(&budget, 40);
    for length in (0..LIMIT_BYTES).step_by(8_000) {
        for share in &mut shares {
            let _ = share.resize(length);
            assert!(budget.held_bytes() <= 2 * LIMIT_BYTES);
        }
    }
    assert!(budget.held_bytes() > LIMIT_BYTES / 2);
    drop(shares);
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against ordinary responses that fail beside one without an end.
#[test]
fn ordinary_responses_are_read_beside_an_endless_one() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let mut endless = budget.share();
    let mut length = 0;
    while endless.resize(length + 8_000).is_ok() {
        length += 8_000;
    }
    assert!(length > LIMIT_BYTES - 16_000);
    for mut ordinary in shares(&budget, 20) {
        assert_eq!(ordinary.resize(40_000), Ok(()));
    }
}

/// Guards against a small response that needs a part of the budget.
#[test]
fn small_responses_take_nothing() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let mut share = budget.share();
    assert_eq!(share.resize(16 * 1024), Ok(()));
    assert_eq!(budget.held_bytes(), 0);
}
