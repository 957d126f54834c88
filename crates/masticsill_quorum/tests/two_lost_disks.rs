//! Loss of two disks at once, at any step of a founding or of a membership change, in clusters set
//! up to tolerate two lost disks: no accepted entry may be lost, and the cluster must recover.

mod simulation;

use std::panic::{AssertUnwindSafe, catch_unwind};

use masticsill_quorum::ReplicaSettings;
use simulation::{NO_FAULTS, Numbers, Simulation, settings};

/// Number of disks lost at once.
const LOST_DISKS: usize = 2;
/// Number of voters with which a cluster keeps a majority after such a loss.
const TARGET_VOTERS: usize = 2 * LOST_DISKS + 1;
/// Downtime of a node whose disk or power was lost.
const DOWN_MS: u64 = 20;
/// Interval between client commands, and between admission requests of nodes.
const REQUEST_INTERVAL_MS: u64 = 7;
/// Silence after which a member may be removed: longer than an election.
const SILENCE_MS: u64 = 250;
/// Minimum number of accepted client commands in a scenario.
const MIN_COMMANDS: usize = 20;

/// A cluster that is founded by some of its nodes and then admits the others.
#[derive(Clone, Copy, Debug)]
struct Growth {
    founders: usize,
    nodes: usize,
    /// Number of founders, counted from the first, that stored the founding before the proposer was
    /// lost.
    informed: usize,
    /// Number of founders, counted from the first, that are permanently removed after some
    /// commands. The nodes that are not founders start at that time.
    replaced: usize,
    seed: u64,
}

/// What happens to the nodes that do not lose their disks.
#[derive(Clone, Copy, Debug)]
enum Survivors {
    KeepRunning,
    LosePower,
}

/// Disks lost after a number of steps.
#[derive(Clone, Debug)]
struct Loss {
    disks: Vec<usize>,
    survivors: Survivors,
    steps: usize,
}

struct Scenario {
    last_request_at: u64,
    growth: Growth,
    is_replaced: bool,
    simulation: Simulation,
}

impl Scenario {
    fn new(growth: Growth) -> Self {
        let counts = [growth.informed, growth.founders, growth.nodes];
        let settings = ReplicaSettings {
            min_quorum: LOST_DISKS + 1,
            ..settings()
        };
        let mut simulation =
            Simulation::with_founders(growth.seed, counts, NO_FAULTS, settings, Numbers);
        let is_replaced = growth.replaced == 0;
        if !is_replaced {
            (growth.founders..growth.nodes).for_each(|node| simulation.remove_permanently(node));
        }
        Self {
            last_request_at: 0,
            growth,
            is_replaced,
            simulation,
        }
    }

    /// Runs one event of the simulation and sends the requests that are due.
    fn advance(&mut self) {
        self.simulation.run_event();
        if self.simulation.now < self.last_request_at + REQUEST_INTERVAL_MS {
            return;
        }
        self.last_request_at = self.simulation.now;
        if let Some(leader) = self.simulation.leader() {
            self.simulation.propose_to(leader);
        }
        self.simulation
            .maintain_membership(TARGET_VOTERS, SILENCE_MS);
        let is_due = self.simulation.model.accepted_commands() >= MIN_COMMANDS / 2;
        if is_due && !self.is_replaced {
            self.replace();
        }
    }

    fn replace(&mut self) {
        self.is_replaced = true;
        (0..self.growth.replaced).for_each(|node| self.simulation.remove_permanently(node));
        (self.growth.founders..self.growth.nodes).for_each(|node| self.simulation.start(node));
    }

    fn is_complete(&self) -> bool {
        let accepted = self.simulation.model.accepted_commands();
        self.is_replaced && accepted >= MIN_COMMANDS && self.simulation.is_membership_current()
    }

    /// Nodes that are running.
    fn running_nodes(&self) -> Vec<usize> {
        let nodes = 0..self.growth.nodes;
        let is_up = |node: &usize| self.simulation.nodes[*node].is_running();
        nodes.filter(is_up).collect()
    }

    fn lose_disks(&mut self, lost: &[usize], survivors: Survivors) {
        for node in self.running_nodes() {
            if lost.contains(&node) {
                self.simulation.lose_folder(node, DOWN_MS);
            } else if matches!(survivors, Survivors::LosePower) {
                self.simulation.cut_power(node, DOWN_MS);
            }
        }
        self.check_accepted_survives();
    }

    /// Checks that the newest entry acknowledged to a client is on a surviving disk.
    fn check_accepted_survives(&self) {
        if let Some(newest) = self.simulation.model.newest_accepted() {
            let nodes = &self.simulation.nodes;
            assert!(
                nodes.iter().any(|node| node.has_durable(newest)),
                "an accepted entry was lost with the disks"
            );
        }
    }

    /// Waits until every running node is a voter and a new command is accepted.
    fn await_recovery(&mut self) {
        let count = self.running_nodes().len();
        let before = self.simulation.model.accepted_commands();
        let mut last_request_at = 0;
        self.simulation.run_until(
            "every running node is a voter and a command is accepted",
            |it| {
                if it.now >= last_request_at + REQUEST_INTERVAL_MS {
                    last_request_at = it.now;
                    it.maintain_membership(TARGET_VOTERS, SILENCE_MS);
                    if let Some(leader) = it.leader() {
                        it.propose_to(leader);
                    }
                }
                let is_answered = it.model.accepted_commands() > before;
                is_answered && it.is_membership_current() && it.running().len() >= count
            },
        );
        self.simulation.model.check_commands();
    }
}

/// Number of events until the scenario is complete, and the events at which a command was accepted.
fn count_steps(growth: Growth) -> (usize, Vec<usize>) {
    let mut scenario = Scenario::new(growth);
    let mut accepted_at = Vec::new();
    let mut accepted = 0;
    for step in 1..100_000 {
        scenario.advance();
        let now_accepted = scenario.simulation.model.accepted_commands();
        if now_accepted > accepted {
            accepted_at.push(step);
        }
        accepted = now_accepted;
        if scenario.is_complete() {
            return (step, accepted_at);
        }
    }
    panic!("the scenario does not complete: {growth:?}");
}

/// Loses disks after a number of steps, and two others as soon as the cluster has recovered.
fn run_with_loss(growth: Growth, loss: &Loss) {
    let mut scenario = Scenario::new(growth);
    for _ in 0..loss.steps {
        scenario.advance();
    }
    let voters = scenario.simulation.model.membership.voters.len();
    scenario.lose_disks(&loss.disks, loss.survivors);
    // With fewer voters, accepted entries survive, but the remaining voters form no majority: they
    // can't know that no other voter is left.
    if voters < TARGET_VOTERS {
        return;
    }
    // The founding may have been lost with the disks. Nothing was accepted yet, so nothing is lost.
    if scenario.growth.informed <= LOST_DISKS
        && scenario.simulation.model.newest_accepted().is_none()
    {
        return;
    }
    scenario.simulation.run_for(DOWN_MS);
    scenario.await_recovery();
    let running_nodes = scenario.running_nodes();
    let next = [1, 2].map(|offset| running_nodes[(loss.steps + offset) % running_nodes.len()]);
    scenario.lose_disks(&next, loss.survivors);
    scenario.simulation.run_for(DOWN_MS);
    scenario.await_recovery();
}

fn pairs(nodes: &[usize]) -> Vec<Vec<usize>> {
    let pairs = nodes.iter().flat_map(|first| {
        let seconds = nodes.iter().filter(move |second| *second > first);
        seconds.map(move |second| vec![*first, *second])
    });
    pairs.collect()
}

/// Tests a loss at each step, taking `choices` in turn, and every choice at each step at which a
/// command was accepted.
fn lose_at_every_step(growth: Growth, choices: &[Vec<usize>]) {
    let (steps, accepted_at) = count_steps(growth);
    let each = (0..=steps).map(|step| (step, &choices[step % choices.len()]));
    let answered = accepted_at.iter();
    let answered = answered.flat_map(|step| choices.iter().map(move |disks| (*step, disks)));
    let mut count = 0;
    for (steps, disks) in each.chain(answered) {
        for survivors in [Survivors::KeepRunning, Survivors::LosePower] {
            let loss = Loss {
                disks: disks.clone(),
                survivors,
                steps,
            };
            let run = || run_with_loss(growth, &loss);
            let is_tolerated = catch_unwind(AssertUnwindSafe(run)).is_ok();
            assert!(is_tolerated, "{growth:?}, {loss:?}");
            count += 1;
        }
    }
    println!("{growth:?}: {steps} steps, {count} losses");
}

fn check_growth(founders: usize, nodes: usize, seed: u64) {
    let growth = Growth {
        founders,
        nodes,
        informed: founders,
        replaced: 0,
        seed,
    };
    let all: Vec<usize> = (0..nodes).collect();
    lose_at_every_step(growth, &pairs(&all));
}

#[test]
fn growth_from_three_founders_to_five() {
    check_growth(3, 5, 1);
}

#[test]
fn growth_from_four_founders_to_five() {
    check_growth(4, 5, 2);
}

#[test]
fn growth_from_three_founders_to_seven() {
    check_growth(3, 7, 3);
}

#[test]
fn founding_stored_by_some_members_only() {
    for informed in 1..5 {
        let growth = Growth {
            founders: 5,
            nodes: 5,
            informed,
            replaced: 0,
            seed: 10 + informed as u64,
        };
        lose_at_every_step(growth, &pairs(&[0, 1, 2, 3, 4]));
    }
}

#[test]
fn five_founders_without_growth() {
    check_growth(5, 5, 4);
}

#[test]
fn growth_from_five_founders_to_seven() {
    check_growth(5, 7, 5);
}

#[test]
fn one_machine_replaced_permanently() {
    let growth = Growth {
        founders: 5,
        nodes: 6,
        informed: 5,
        replaced: 1,
        seed: 6,
    };
    // The removed machine is itself a lost disk, so only one further loss must be tolerated.
    let choices: Vec<Vec<usize>> = (0..6).map(|node| vec![node]).collect();
    lose_at_every_step(growth, &choices);
}

#[test]
fn two_machines_replaced_at_once() {
    let growth = Growth {
        founders: 5,
        nodes: 7,
        informed: 5,
        replaced: 2,
        seed: 7,
    };
    lose_at_every_step(growth, &[Vec::new()]);
}

#[test]
fn two_learners_lost_while_catching_up() {
    let growth = Growth {
        founders: 5,
        nodes: 7,
        informed: 5,
        replaced: 0,
        seed: 9,
    };
    let mut scenario = Scenario::new(growth);
    scenario.simulation.isolate(5);
    scenario.simulation.isolate(6);
    for _ in 0..400 {
        scenario.advance();
    }
    assert_eq!(scenario.simulation.model.membership.learners.len(), 2);
    scenario.simulation.heal();
    scenario.lose_disks(&[5, 6], Survivors::KeepRunning);
    scenario.simulation.run_for(DOWN_MS);
    scenario.await_recovery();
}

#[test]
fn learner_lost_while_catching_up() {
    let growth = Growth {
        founders: 5,
        nodes: 6,
        informed: 5,
        replaced: 1,
        seed: 8,
    };
    let mut scenario = Scenario::new(growth);
    for _ in 0..200 {
        scenario.advance();
    }
    scenario.lose_disks(&[0], Survivors::KeepRunning);
    let simulation = &mut scenario.simulation;
    simulation.run_until("the replica with the lost disk is a learner again", |it| {
        it.maintain_membership(TARGET_VOTERS, SILENCE_MS);
        !it.model.membership.learners.is_empty()
    });
    simulation.remove_permanently(0);
    simulation.start(5);
    scenario.await_recovery();
}
