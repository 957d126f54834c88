//! Compares the placement policies in one run by prompt tokens computed, latency of lookups while
//! drafts saturate the engines, goodput under overload, and lookups missed when a zone is lost.
//!
//! Three entries place requests at small engines on a virtual clock. Load reports are delayed, and
//! each engine has a prefix cache.

#[path = "../tests/support/mod.rs"]
mod support;

use masticsill_routing::{LocalLimits, PlacementPolicy, PrefixBlock, WorkRequest};
use masticsill_types::{Class, ClockMs, GenerationId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Fleet, entry_id, request, router, set_limits};

/// A policy, and whether agents queue the requests for which their engine has no slot.
#[derive(Clone, Copy, Debug)]
struct Variant {
    is_gated: bool,
    name: &'static str,
    policy: PlacementPolicy,
}

const VARIANTS: [Variant; 4] = [
    Variant {
        is_gated: true,
        name: "affinity, agents' gate",
        policy: PlacementPolicy::Affinity,
    },
    Variant {
        is_gated: false,
        name: "affinity, no gate",
        policy: PlacementPolicy::Affinity,
    },
    Variant {
        is_gated: false,
        name: "least connections",
        policy: PlacementPolicy::LeastConnections,
    },
    Variant {
        is_gated: false,
        name: "round robin",
        policy: PlacementPolicy::RoundRobin,
    },
];
/// Capacity of an engine's cache in prefixes. The caches of all engines together hold a third of
/// the prefixes in use.
const SMALL_CACHE: usize = 40;
/// Capacity of an engine's cache in prefixes. The caches of all engines together hold each prefix
/// in use once.
const LARGE_CACHE: usize = 125;
const ENTRIES: usize = 3;
const ENGINES: usize = 24;
const SLOTS: u32 = 16;
const ZONES: [&str; 3] = ["muc-a", "muc-b", "fs-c"];

fn fleet(variant: Variant, cache_capacity: usize) -> Fleet {
    let routers = (0..ENTRIES).map(|index| {
        let mut router = router(variant.policy, index as u64);
        for workspace in ["w0", "w1"] {
            set_limits(&mut router, ClockMs(0), workspace, LocalLimits::default());
        }
        router
    });
    let mut fleet = Fleet::new(routers.collect(), 500);
    fleet.are_gated = variant.is_gated;
    fleet.cache_capacity = cache_capacity;
    for index in 0..ENGINES {
        fleet.add_engine(&format!("agent-{index}"), SLOTS, ZONES[index % ZONES.len()]);
    }
    fleet
}

/// A request with a prompt of 3,200 tokens: a plan that many callers share, then the caller's own
/// question.
fn plan_request(id: u128, rng: &mut StdRng) -> WorkRequest {
    let plan = rng.random_range(0..600_u64);
    let turn = rng.random_range(0..4_u64);
    let mut wanted = request(id, "w0", Class::PatientDraft, 60);
    wanted.prompt_tokens = 3_200;
    wanted.prefix = vec![
        PrefixBlock {
            hash: plan * 100 + 1,
            tokens: 2_000,
        },
        PrefixBlock {
            hash: plan * 100 + 2 + turn,
            tokens: 3_000,
        },
    ];
    wanted
}

/// Prompt tokens computed per request at half load.
fn computed_tokens(variant: Variant, cache_capacity: usize) -> u64 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut fleet = fleet(variant, cache_capacity);
    let mut id = 0;
    for _ in 0..12_000 {
        if rng.random_bool(0.5) {
            id += 1;
            let wanted = plan_request(id, &mut rng);
            fleet.offer(rng.random_range(0..ENTRIES), wanted, 60);
        }
        fleet.tick();
    }
    fleet.run_until_idle(600_000);
    fleet.assert_none_lost();
    fleet.tally.computed_tokens / fleet.tally.done.len() as u64
}

/// The 99th percentile of the latency of lookups, with or without drafts that fill every slot.
fn lookup_p99_ms(variant: Variant, has_drafts: bool) -> u64 {
    let mut rng = StdRng::seed_from_u64(2);
    let mut fleet = fleet(variant, SMALL_CACHE);
    let mut lookups = Vec::new();
    let mut id = 0;
    for tick in 0..6_000 {
        if has_drafts && rng.random_bool(0.6) {
            id += 1;
            let wanted = request(id, "w0", Class::PatientDraft, 250);
            fleet.offer(rng.random_range(0..ENTRIES), wanted, 250);
        }
        if tick > 1_000 && rng.random_bool(0.2) {
            id += 1;
            lookups.push((GenerationId(id), fleet.now));
            let wanted = request(id, "w1", Class::InstantLookup, 4);
            fleet.offer(rng.random_range(0..ENTRIES), wanted, 4);
        }
        fleet.tick();
    }
    fleet.run_until_idle(600_000);
    let mut times: Vec<u64> = lookups
        .iter()
        .map(|(id, offered)| {
            let done = fleet.tally.done.get(id);
            done.map_or(u64::MAX, |(at, _)| at.since(*offered))
        })
        .collect();
    times.sort_unstable();
    times[times.len() * 99 / 100]
}

/// Drafts completed within the callers' timeout of 20 s, in percent of the capacity, while the
/// offered load is twice the capacity.
fn goodput_percent(variant: Variant, is_shared: bool) -> usize {
    let mut rng = StdRng::seed_from_u64(3);
    let mut fleet = fleet(variant, SMALL_CACHE);
    fleet.set_shared(is_shared);
    if !is_shared {
        for router in &mut fleet.routers {
            for workspace in ["w0", "w1"] {
                router.remove_entry(&entry_id(&format!("{workspace}/{}", Class::InstantLookup)));
            }
        }
    }
    let mut offered = Vec::new();
    let mut id = 0;
    // A draft takes 2.02 s, so 384 slots serve 190 drafts per second; 380 are offered.
    for _ in 0..12_000 {
        for _ in 0..2 {
            if rng.random_bool(0.95) {
                id += 1;
                offered.push((GenerationId(id), fleet.now));
                let mut wanted = request(id, "w0", Class::PatientDraft, 100);
                wanted.deadline = Some(fleet.now + 20_000);
                fleet.offer(rng.random_range(0..ENTRIES), wanted, 100);
            }
        }
        fleet.tick();
    }
    let on_time = offered.iter().filter(|(id, at)| {
        let done = fleet.tally.done.get(id);
        done.is_some_and(|(end, _)| end.since(*at) <= 20_000)
    });
    let possible = 60_000 * (ENGINES * SLOTS as usize) / 2_020;
    on_time.count() * 100 / possible
}

/// Lookups that are refused or take longer than 2 s when one of three zones is lost at 60% load,
/// and the number of all lookups.
fn lookups_missed_in_zone_loss(variant: Variant) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(4);
    let mut fleet = fleet(variant, SMALL_CACHE);
    let mut lookups = Vec::new();
    let mut id = 0;
    for tick in 0..6_000 {
        if tick == 3_000 {
            for index in (0..ENGINES).step_by(ZONES.len()) {
                fleet.kill(&format!("agent-{index}"));
            }
        }
        if rng.random_bool(0.57) {
            id += 1;
            let wanted = request(id, "w0", Class::PatientDraft, 100);
            fleet.offer(rng.random_range(0..ENTRIES), wanted, 100);
        }
        if rng.random_bool(0.2) {
            id += 1;
            lookups.push((GenerationId(id), fleet.now));
            let wanted = request(id, "w1", Class::InstantLookup, 4);
            fleet.offer(rng.random_range(0..ENTRIES), wanted, 4);
        }
        fleet.tick();
    }
    fleet.run_until_idle(600_000);
    let missed = lookups.iter().filter(|(id, offered)| {
        let done = fleet.tally.done.get(id);
        done.is_none_or(|(at, _)| at.since(*offered) > 2_000)
    });
    (missed.count(), lookups.len())
}

fn main() {
    println!(
        "way                     prompt tokens computed, small/large caches  \
         lookup p99 idle/busy ms  goodput at 2x, unshared/shared %  lookups missed in a zone's loss"
    );
    for variant in VARIANTS {
        let small = computed_tokens(variant, SMALL_CACHE);
        let large = computed_tokens(variant, LARGE_CACHE);
        let idle = lookup_p99_ms(variant, false);
        let busy = lookup_p99_ms(variant, true);
        let goodput = goodput_percent(variant, false);
        let shared = goodput_percent(variant, true);
        let (missed, lookups) = lookups_missed_in_zone_loss(variant);
        println!(
            "{:22}  {small:30} / {large:10}  {idle:10} / {busy:9}  {goodput:18} / {shared:10}  \
             {missed} of {lookups}",
            variant.name
        );
    }
}
