//! Two disks lost at once, at any step of a founding or of a change, where two are to be borne.

mod simulation;

use std::panic::{AssertUnwindSafe, catch_unwind};

use masticsill_quorum::ReplicaSettings;
use simulation::{CALM, Numbers, Simulation, settings};

/// Disks that are lost at once.
const LOSSES: usize = 2;
/// Voters with which a cluster goes on after that.
const WHOLE: usize = 2 * LOSSES + 1;
/// How long a node whose disk or power was lost is away.
const DOWN_MS: u64 = 20;
/// Between commands of the clients, and between requests of nodes to be admitted.
const CALLS_MS: u64 = 7;
/// Silence of a member that may be removed: longer than an election.
const SILENCE_MS: u64 = 250;
/// Commands that a course lets clients send at least.
const COMMANDS: usize = 20;

/// A cluster that is founded by some of its nodes, and admits the others.
#[derive(Clone, Copy, Debug)]
struct Growth {
    founders: usize,
    nodes: usize,
    /// Founders that were told so before the one that founded was lost, from the first on.
    told: usize,
    /// Founders that are taken away for good after some commands, from the first on. The nodes
    /// that are no founders start then.
    replaced: usize,
    seed: u64,
}

/// What happens to the nodes that keep their disks.
#[derive(Clone, Copy, Debug)]
enum Others {
    GoOn,
    LosePower,
}

/// Disks lost at one step.
#[derive(Clone, Debug)]
struct Loss {
    disks: Vec<usize>,
    others: Others,
    steps: usize,
}

struct Course {
    called_at: u64,
    growth: Growth,
    is_replaced: bool,
    simulation: Simulation,
}

impl Course {
    fn begin(growth: Growth) -> Self {
        let counts = [growth.told, growth.founders, growth.nodes];
        let settings = ReplicaSettings {
            min_quorum: LOSSES + 1,
            ..settings()
        };
        let mut simulation = Simulation::found_among(growth.seed, counts, CALM, settings, Numbers);
        let is_replaced = growth.replaced == 0;
        if !is_replaced {
            (growth.founders..growth.nodes).for_each(|node| simulation.take_away(node));
        }
        Self {
            called_at: 0,
            growth,
            is_replaced,
            simulation,
        }
    }

    /// One event of the cluster, and the calls that fall due.
    fn advance(&mut self) {
        self.simulation.run_event();
        if self.simulation.now < self.called_at + CALLS_MS {
            return;
        }
        self.called_at = self.simulation.now;
        if let Some(leader) = self.simulation.leader() {
            self.simulation.propose_to(leader);
        }
        self.simulation.tend(WHOLE, SILENCE_MS);
        let is_due = self.simulation.model.accepted_commands() >= COMMANDS / 2;
        if is_due && !self.is_replaced {
            self.replace();
        }
    }

    fn replace(&mut self) {
        self.is_replaced = true;
        (0..self.growth.replaced).for_each(|node| self.simulation.take_away(node));
        (self.growth.founders..self.growth.nodes).for_each(|node| self.simulation.start(node));
    }

    fn is_over(&self) -> bool {
        let accepted = self.simulation.model.accepted_commands();
        self.is_replaced && accepted >= COMMANDS && self.simulation.is_tended()
    }

    /// Nodes that have not been taken away.
    fn present(&self) -> Vec<usize> {
        let nodes = 0..self.growth.nodes;
        let is_present = |node: &usize| self.simulation.nodes[*node].is_running();
        nodes.filter(is_present).collect()
    }

    fn lose_disks(&mut self, lost: &[usize], others: Others) {
        for node in self.present() {
            if lost.contains(&node) {
                self.simulation.lose_folder(node, DOWN_MS);
            } else if matches!(others, Others::LosePower) {
                self.simulation.cut_power(node, DOWN_MS);
            }
        }
        self.check_kept();
    }

    /// Checks that what clients were told is on a disk that is left.
    fn check_kept(&self) {
        if let Some(newest) = self.simulation.model.newest_accepted() {
            let nodes = &self.simulation.nodes;
            assert!(
                nodes.iter().any(|node| node.keeps(newest)),
                "an accepted entry went with the disks"
            );
        }
    }

    /// Waits until every node that is there votes and a new command is accepted.
    fn heal(&mut self) {
        let count = self.present().len();
        let before = self.simulation.model.accepted_commands();
        let mut called_at = 0;
        self.simulation.run_until("the cluster is whole", |it| {
            if it.now >= called_at + CALLS_MS {
                called_at = it.now;
                it.tend(WHOLE, SILENCE_MS);
                if let Some(leader) = it.leader() {
                    it.propose_to(leader);
                }
            }
            let is_answered = it.model.accepted_commands() > before;
            is_answered && it.is_tended() && it.running().len() >= count
        });
        self.simulation.model.check_commands();
    }
}

/// Events until every node votes, and those of them at which a client was told something.
fn count_steps(growth: Growth) -> (usize, Vec<usize>) {
    let mut course = Course::begin(growth);
    let mut accepted_at = Vec::new();
    let mut accepted = 0;
    for step in 1..100_000 {
        course.advance();
        let now_accepted = course.simulation.model.accepted_commands();
        if now_accepted > accepted {
            accepted_at.push(step);
        }
        accepted = now_accepted;
        if course.is_over() {
            return (step, accepted_at);
        }
    }
    panic!("the change does not end: {growth:?}");
}

/// Loses disks at a step, and two others as soon as the cluster is whole again.
fn lose(growth: Growth, loss: &Loss) {
    let mut course = Course::begin(growth);
    for _ in 0..loss.steps {
        course.advance();
    }
    let voters = course.simulation.model.membership.voters.len();
    course.lose_disks(&loss.disks, loss.others);
    // Fewer voters keep what was accepted, but two that are left can't know that they are all.
    if voters < WHOLE {
        return;
    }
    // Before anything is accepted, a founding that nobody knows of is none.
    if course.growth.told <= LOSSES && course.simulation.model.newest_accepted().is_none() {
        return;
    }
    course.simulation.run_for(DOWN_MS);
    course.heal();
    let present = course.present();
    let next = [1, 2].map(|place| present[(loss.steps + place) % present.len()]);
    course.lose_disks(&next, loss.others);
    course.simulation.run_for(DOWN_MS);
    course.heal();
}

fn pairs(nodes: &[usize]) -> Vec<Vec<usize>> {
    let pairs = nodes.iter().flat_map(|first| {
        let seconds = nodes.iter().filter(move |second| *second > first);
        seconds.map(move |second| vec![*first, *second])
    });
    pairs.collect()
}

/// Loses `choices` in turn, one at each step, and each of them at every answer to a client.
fn lose_at_every_step(growth: Growth, choices: &[Vec<usize>]) {
    let (steps, accepted_at) = count_steps(growth);
    let each = (0..=steps).map(|step| (step, &choices[step % choices.len()]));
    let answered = accepted_at.iter();
    let answered = answered.flat_map(|step| choices.iter().map(move |disks| (*step, disks)));
    let mut count = 0;
    for (steps, disks) in each.chain(answered) {
        for others in [Others::GoOn, Others::LosePower] {
            let loss = Loss {
                disks: disks.clone(),
                others,
                steps,
            };
            let run = || lose(growth, &loss);
            let is_borne = catch_unwind(AssertUnwindSafe(run)).is_ok();
            assert!(is_borne, "{growth:?}, {loss:?}");
            count += 1;
        }
    }
    println!("{growth:?}: {steps} steps, {count} losses");
}

fn grow(founders: usize, nodes: usize, seed: u64) {
    let growth = Growth {
        founders,
        nodes,
        told: founders,
        replaced: 0,
        seed,
    };
    let all: Vec<usize> = (0..nodes).collect();
    lose_at_every_step(growth, &pairs(&all));
}

#[test]
fn founded_by_three_of_five() {
    grow(3, 5, 1);
}

#[test]
fn founded_by_four_of_five() {
    grow(4, 5, 2);
}

#[test]
fn founded_by_three_of_seven() {
    grow(3, 7, 3);
}

#[test]
fn founding_that_few_were_told_of() {
    for told in 1..5 {
        let growth = Growth {
            founders: 5,
            nodes: 5,
            told,
            replaced: 0,
            seed: 10 + told as u64,
        };
        lose_at_every_step(growth, &pairs(&[0, 1, 2, 3, 4]));
    }
}

#[test]
fn five_that_stay_five() {
    grow(5, 5, 4);
}

#[test]
fn five_grow_to_seven() {
    grow(5, 7, 5);
}

#[test]
fn one_machine_replaced_for_good() {
    let growth = Growth {
        founders: 5,
        nodes: 6,
        told: 5,
        replaced: 1,
        seed: 6,
    };
    // The one that is taken away is a loss itself, so one more is borne beside it.
    let choices: Vec<Vec<usize>> = (0..6).map(|node| vec![node]).collect();
    lose_at_every_step(growth, &choices);
}

#[test]
fn two_machines_replaced_at_once() {
    let growth = Growth {
        founders: 5,
        nodes: 7,
        told: 5,
        replaced: 2,
        seed: 7,
    };
    lose_at_every_step(growth, &[Vec::new()]);
}

#[test]
fn two_newcomers_lost_while_they_learn() {
    let growth = Growth {
        founders: 5,
        nodes: 7,
        told: 5,
        replaced: 0,
        seed: 9,
    };
    let mut course = Course::begin(growth);
    course.simulation.isolate(5);
    course.simulation.isolate(6);
    for _ in 0..400 {
        course.advance();
    }
    assert_eq!(course.simulation.model.membership.learners.len(), 2);
    course.simulation.heal();
    course.lose_disks(&[5, 6], Others::GoOn);
    course.simulation.run_for(DOWN_MS);
    course.heal();
}

#[test]
fn newcomer_lost_while_it_learns() {
    let growth = Growth {
        founders: 5,
        nodes: 6,
        told: 5,
        replaced: 1,
        seed: 8,
    };
    let mut course = Course::begin(growth);
    for _ in 0..200 {
        course.advance();
    }
    course.lose_disks(&[0], Others::GoOn);
    let simulation = &mut course.simulation;
    simulation.run_until("the lost one learns again", |it| {
        it.tend(WHOLE, SILENCE_MS);
        !it.model.membership.learners.is_empty()
    });
    simulation.take_away(0);
    simulation.start(5);
    course.heal();
}
