//! The orders that the planner issues, in single cases and in seeded simulations.

mod support;

use indexmap::IndexMap;
use masticsill_orders::{LoadPlanner, OrderEnd, PlanLimits, PlannedOrder};
use masticsill_types::{ClockMs, ModelId};
use masticsill_wire::engine::EngineOrder;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Cluster, catalogue, engine, entry, node, target};

const RUNS: u64 = 300;

fn limits_without_delays() -> PlanLimits {
    PlanLimits {
        max_load_jitter_ms: 0,
        shortage_delay_ms: 0,
        store_burst: 100,
        store_refill_interval_ms: 1,
        ..PlanLimits::default()
    }
}

fn planner(limits: PlanLimits) -> LoadPlanner {
    LoadPlanner::new(ClockMs(0), limits, 1)
}

#[test]
fn replicas_are_loaded_one_at_a_time_and_spread_over_zones() {
    let catalogue = catalogue(&[entry("draft", "v1", 3, &[])]);
    let mut engines = vec![
        engine("a1", "a", &[]),
        engine("a2", "a", &[]),
        engine("b1", "b", &[]),
        engine("c1", "c", &[]),
    ];
    let mut planner = planner(limits_without_delays());
    let mut zones = Vec::new();
    for now in 1..=3 {
        let issued = planner.step(ClockMs(now), &catalogue, &engines);
        assert_eq!(issued.len(), 1, "expected one load of a model at a time");
        assert!(planner.step(ClockMs(now), &catalogue, &engines).is_empty());
        let loading = &issued[0].agent;
        let engine = engines.iter_mut().find(|it| it.agent == *loading).unwrap();
        zones.push(engine.zone.as_str().to_owned());
        engine.loaded.push(target("draft", "v1"));
        planner.record_end(ClockMs(now), issued[0].clone(), OrderEnd::Done);
    }
    zones.sort();
    assert_eq!(zones, ["a", "b", "c"]);
    assert!(planner.step(ClockMs(9), &catalogue, &engines).is_empty());
}

#[test]
fn engines_that_may_not_load_get_no_orders() {
    let mut leaving = engine("a1", "a", &[]);
    leaving.is_leaving = true;
    let mut not_accepting = engine("a2", "a", &[]);
    not_accepting.takes_orders = false;
    let engines = [leaving, not_accepting, engine("b1", "b", &[])];
    let catalogue = catalogue(&[entry("draft", "v1", 1, &["a"])]);
    let mut planner = planner(limits_without_delays());
    for now in 1..5 {
        assert!(planner.step(ClockMs(now), &catalogue, &engines).is_empty());
    }
}

#[test]
fn order_is_issued_again_only_after_its_timeout_or_refusal() {
    let limits = limits_without_delays();
    let catalogue = catalogue(&[entry("draft", "v1", 1, &[])]);
    let engines = [engine("a1", "a", &[])];
    let mut planner = planner(limits);
    let issued = planner.step(ClockMs(1), &catalogue, &engines);
    assert_eq!(issued.len(), 1);
    let before = ClockMs(limits.order_timeout_ms);
    assert!(planner.step(before, &catalogue, &engines).is_empty());
    let after = before + 1;
    let again = planner.step(after, &catalogue, &engines);
    assert_eq!(again, issued);
    planner.record_end(after, again[0].clone(), OrderEnd::Refused);
    assert!(planner.step(after, &catalogue, &engines).is_empty());
    let later = after + limits.refusal_backoff_ms;
    assert_eq!(planner.step(later, &catalogue, &engines), issued);
}

#[test]
fn order_of_a_previous_leader_counts_as_in_flight() {
    let catalogue = catalogue(&[entry("draft", "v1", 2, &[])]);
    let engines = [engine("a1", "a", &[]), engine("b1", "b", &[])];
    let mut planner = planner(limits_without_delays());
    let order = EngineOrder::Load(target("draft", "v1"));
    planner.record_in_flight(ClockMs(0), node("a1"), order);
    assert!(planner.step(ClockMs(1), &catalogue, &engines).is_empty());
}

#[test]
fn unreferenced_target_is_unloaded_one_replica_at_a_time_after_the_grace_period() {
    let limits = limits_without_delays();
    let old = catalogue(&[entry("draft", "v1", 2, &[])]);
    let new = catalogue(&[entry("draft", "v2", 2, &[])]);
    let mut engines = ["a1", "b1"].map(|name| engine(name, name, &[("draft", "v1")]));
    let mut planner = planner(limits);
    assert!(planner.step(ClockMs(0), &old, &engines).is_empty());
    for engine in &mut engines {
        engine.loaded.push(target("draft", "v2"));
    }
    assert!(planner.step(ClockMs(5), &new, &engines).is_empty());
    let due = ClockMs(5) + limits.unload_grace_ms;
    assert!(planner.step(due.before(1), &new, &engines).is_empty());
    let first = planner.step(due, &new, &engines);
    assert_eq!(first.len(), 1, "expected one unload at a time");
    assert_eq!(first[0].order, EngineOrder::Unload(target("draft", "v1")));
    assert!(planner.step(due, &new, &engines).is_empty());
    let position = usize::from(first[0].agent == node("b1"));
    engines[position]
        .loaded
        .retain(|it| *it != target("draft", "v1"));
    planner.record_end(due, first[0].clone(), OrderEnd::Done);
    let second = planner.step(due + 1, &new, &engines);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].agent, first[0].agent);
}

#[test]
fn refused_unload_does_not_delay_a_load() {
    let limits = limits_without_delays();
    let new = catalogue(&[entry("draft", "v2", 1, &[])]);
    let engines = [engine("a1", "a", &[("draft", "v1")])];
    let limits = PlanLimits {
        unload_grace_ms: 0,
        ..limits
    };
    let mut planner = planner(limits);
    let unload = planner.step(ClockMs(1), &new, &engines);
    assert_eq!(unload[0].order, EngineOrder::Unload(target("draft", "v1")));
    planner.record_end(ClockMs(2), unload[0].clone(), OrderEnd::Refused);
    let load = planner.step(ClockMs(2), &new, &engines);
    assert_eq!(load[0].order, EngineOrder::Load(target("draft", "v2")));
}

#[test]
fn entry_whose_loads_are_refused_does_not_delay_others() {
    let limits = PlanLimits {
        max_concurrent_loads: 1,
        refusal_backoff_ms: 0,
        ..limits_without_delays()
    };
    let catalogue = catalogue(&[entry("bad", "v1", 1, &[]), entry("good", "v1", 1, &[])]);
    let engines = [engine("a1", "a", &[])];
    let mut planner = planner(limits);
    let mut models = Vec::new();
    for now in 1..=2 {
        let issued = planner.step(ClockMs(now), &catalogue, &engines);
        let EngineOrder::Load(target) = &issued[0].order else {
            panic!("expected a load, because no engine has anything to unload");
        };
        models.push(target.model.as_str().to_owned());
        planner.record_end(ClockMs(now), issued[0].clone(), OrderEnd::Refused);
    }
    assert_eq!(models, ["bad", "good"]);
}

#[test]
fn nothing_is_unloaded_before_the_first_entry() {
    let engines = [engine("a1", "a", &[("draft", "v1")])];
    let mut planner = planner(limits_without_delays());
    for now in [0, 1_000_000] {
        let issued = planner.step(ClockMs(now), &catalogue(&[]), &engines);
        assert!(issued.is_empty());
    }
}

/// Orders in flight in the simulation and when they end, by agent.
type InFlightOrders = IndexMap<String, (PlannedOrder, ClockMs)>;

fn check_in_flight(in_flight: &InFlightOrders, limits: &PlanLimits, seed: u64) {
    let mut count_by_model: IndexMap<&ModelId, usize> = IndexMap::new();
    let mut loads = 0;
    for (issued, _) in in_flight.values() {
        let target = match &issued.order {
            EngineOrder::Load(target) => {
                loads += 1;
                target
            }
            EngineOrder::Unload(target) => target,
        };
        *count_by_model.entry(&target.model).or_default() += 1;
    }
    assert!(
        loads <= limits.max_concurrent_loads,
        "seed {seed}: {loads} loads"
    );
    for (model, count) in count_by_model {
        assert_eq!(count, 1, "seed {seed}: {count} orders for {model}");
    }
}

fn check_load_rate(loads: &[ClockMs], limits: &PlanLimits, seed: u64) {
    for (first, from) in loads.iter().enumerate() {
        for (last, to) in loads.iter().enumerate().skip(first) {
            let allowed_loads = u64::from(limits.store_burst)
                + 1
                + to.since(*from) / limits.store_refill_interval_ms;
            let count = (last - first + 1) as u64;
            assert!(
                count <= allowed_loads,
                "seed {seed}: {count} loads, at most {allowed_loads} allowed"
            );
        }
    }
}

/// Runs one seeded simulation: engines are slow, refuse orders, lose their targets and announce
/// their state late. In the last 32 simulated seconds nothing is refused or lost and no entry
/// changes, so the cluster must converge.
fn run_simulation(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let limits = PlanLimits {
        unload_grace_ms: 500,
        max_load_jitter_ms: random.random_range(0..100),
        max_concurrent_loads: random.random_range(1..4),
        order_timeout_ms: 5_000,
        refusal_backoff_ms: 100,
        shortage_delay_ms: 50,
        store_burst: random.random_range(1..4),
        store_refill_interval_ms: random.random_range(20..200),
    };
    let mut planner = LoadPlanner::new(ClockMs(0), limits, seed);
    let mut cluster = Cluster::random(&mut random);
    let mut in_flight = InFlightOrders::new();
    let mut loads = Vec::new();
    let quiet_at = 8_000;
    for now in (0..40_000).step_by(20).map(ClockMs) {
        let is_quiet = now.0 >= quiet_at;
        if !is_quiet && random.random_ratio(1, 200) {
            cluster.change(&mut random);
        }
        let catalogue = cluster.catalogue();
        let engines = cluster.announced(&mut random);
        for issued in planner.step(now, &catalogue, &engines) {
            match &issued.order {
                EngineOrder::Load(target) => {
                    assert!(!cluster.has(&issued.agent, target), "seed {seed}");
                    loads.push(now);
                }
                EngineOrder::Unload(target) => {
                    assert!(
                        !cluster.references(target),
                        "seed {seed}: {target:?} is in force"
                    );
                }
            }
            let ends_at = now + random.random_range(10..1_000);
            let agent = issued.agent.as_str().to_owned();
            let previous = in_flight.insert(agent, (issued, ends_at));
            assert!(previous.is_none(), "seed {seed}: two orders at one engine");
        }
        check_in_flight(&in_flight, &limits, seed);
        let has_ended = |(_, (_, ends_at)): &(&String, &(PlannedOrder, ClockMs))| *ends_at <= now;
        let ended: Vec<String> = in_flight
            .iter()
            .filter(has_ended)
            .map(|it| it.0.clone())
            .collect();
        for agent in ended {
            let (issued, _) = in_flight.swap_remove(&agent).unwrap();
            let is_refused = !is_quiet && random.random_ratio(1, 4);
            let end = if is_refused {
                OrderEnd::Refused
            } else {
                cluster.execute(&issued);
                OrderEnd::Done
            };
            planner.record_end(now, issued, end);
        }
    }
    check_load_rate(&loads, &limits, seed);
    cluster.check_converged(seed);
}

#[test]
fn seeded_runs_keep_every_bound_and_converge() {
    for seed in 0..RUNS {
        run_simulation(seed);
    }
}
