//! The shares that entries may use never add up to more than the limit.

use masticsill_routing::{ShareClient, ShareGrant, ShareLedger, ShareRequest};
use masticsill_types::{ClockMs, Incarnation, NodeId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LEASE_MS: u64 = 2_000;

fn client(index: usize, incarnation: u64) -> ShareClient {
    let node = NodeId::new(format!("entry-{index}")).unwrap();
    ShareClient::new(node, Incarnation(incarnation))
}

enum Message {
    Request(usize, ShareRequest),
    Grant(usize, ShareGrant),
}

/// A delivery delay: mostly short, sometimes most of a lease.
fn delay_ms(rng: &mut StdRng) -> u64 {
    let most = if rng.random_bool(0.2) { 1_500 } else { 100 };
    rng.random_range(0..most)
}

/// Restarts of clients and of the ledger, and lost, repeated and delayed messages must not make the
/// sum of the usable shares exceed the limit.
#[test]
fn sum_of_shares_stays_within_the_limit_under_faults() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = rng.random_range(1..500);
        let mut now = ClockMs(0);
        let mut ledger = ShareLedger::new(now, limit, LEASE_MS);
        let mut clients: Vec<ShareClient> = (0..5).map(|index| client(index, 1)).collect();
        // A former incarnation may use its share until its lease ends, since its requests go on.
        let mut former: Vec<ShareClient> = Vec::new();
        let mut in_transit: Vec<(ClockMs, Message)> = Vec::new();
        let mut most_usable = 0;
        for step in 0..4_000_u64 {
            now = now + rng.random_range(1..60);
            for (index, client) in clients.iter_mut().enumerate() {
                if rng.random_bool(0.05) {
                    let request = client.request(now, rng.random_range(0..limit * 2));
                    let copies = [0, 1, 1, 1, 2][rng.random_range(0..5)];
                    for _ in 0..copies {
                        let at = now + delay_ms(&mut rng);
                        in_transit.push((at, Message::Request(index, request.clone())));
                    }
                }
            }
            if rng.random_bool(0.002) {
                ledger = ShareLedger::new(now, limit, LEASE_MS);
            }
            if rng.random_bool(0.005) {
                let index = rng.random_range(0..clients.len());
                let fresh = client(index, 2 + step);
                former.push(std::mem::replace(&mut clients[index], fresh));
            }
            let due: Vec<(ClockMs, Message)> =
                in_transit.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, message) in due {
                match message {
                    Message::Request(index, request) => {
                        let Some(grant) = ledger.grant(now, &request) else {
                            continue;
                        };
                        if rng.random_bool(0.8) {
                            let at = now + delay_ms(&mut rng);
                            in_transit.push((at, Message::Grant(index, grant)));
                        }
                    }
                    Message::Grant(index, grant) => clients[index].apply(grant),
                }
            }
            let all = clients.iter().chain(&former);
            let usable: u64 = all.map(|client| client.units(now)).sum();
            assert!(usable <= limit, "seed {seed}: {usable} of {limit} usable");
            most_usable = most_usable.max(usable);
        }
        assert!(
            most_usable * 2 >= limit,
            "seed {seed}: only {most_usable} of {limit} were used"
        );
    }
}

fn run_rounds(
    ledger: &mut ShareLedger,
    clients: &mut [ShareClient],
    wants: &[u64],
    start: u64,
) -> u64 {
    let mut now = ClockMs(start);
    for _ in 0..20 {
        now = now + 300;
        for (client, want) in clients.iter_mut().zip(wants) {
            let request = client.request(now, *want);
            client.apply(ledger.grant(now, &request).unwrap());
        }
    }
    now.0
}

#[test]
fn shares_follow_demand() {
    let mut ledger = ShareLedger::new(ClockMs(0), 100, LEASE_MS);
    let mut clients: Vec<ShareClient> = (0..3).map(|index| client(index, 1)).collect();
    let cases = [
        ([1_000, 0, 0], [100, 0, 0]),
        ([0, 1_000, 0], [0, 100, 0]),
        ([1_000, 1_000, 1_000], [34, 33, 33]),
        ([10, 1_000, 1_000], [10, 45, 45]),
        ([10, 20, 30], [23, 33, 43]),
    ];
    let mut now = LEASE_MS;
    for (wants, shares) in cases {
        now = run_rounds(&mut ledger, &mut clients, &wants, now);
        let held: Vec<u64> = clients
            .iter()
            .map(|client| client.units(ClockMs(now)))
            .collect();
        assert_eq!(held, shares, "wants {wants:?}");
    }
}

#[test]
fn restarted_ledger_grants_nothing_for_one_lease() {
    let mut ledger = ShareLedger::new(ClockMs(0), 100, LEASE_MS);
    let mut one = client(0, 1);
    let request = one.request(ClockMs(LEASE_MS - 1), 50);
    assert_eq!(
        ledger.grant(ClockMs(LEASE_MS - 1), &request).unwrap().units,
        0
    );
    let request = one.request(ClockMs(LEASE_MS), 50);
    assert_eq!(
        ledger.grant(ClockMs(LEASE_MS), &request).unwrap().units,
        100
    );
}

#[test]
fn late_grant_is_valid_until_its_lease_ends() {
    let mut ledger = ShareLedger::new(ClockMs(0), 100, LEASE_MS);
    let mut one = client(0, 1);
    let asked_at = ClockMs(5_000);
    let request = one.request(asked_at, 50);
    let grant = ledger.grant(ClockMs(5_400), &request).unwrap();
    one.apply(grant);
    assert!(one.units(asked_at + (LEASE_MS - 100)) > 0);
    assert_eq!(
        one.units(asked_at + LEASE_MS),
        0,
        "the lease counts from the request, not from the grant"
    );
}
