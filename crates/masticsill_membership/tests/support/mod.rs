//! A simulated network that carries calls between membership instances on a virtual clock.
#![allow(dead_code, reason = "each test and example uses a part")]

use std::net::{Ipv4Addr, SocketAddr};

use indexmap::{IndexMap, IndexSet};
use masticsill_membership::{
    Description, Input, Member, Membership, Output, Periods, Reply, Request, Role,
};
use masticsill_types::{
    ClockMs, EndpointKind, EndpointProfile, Incarnation, ModelId, ModelTarget, NodeId, VersionId,
    ZoneId,
};
use rand::Rng;
use rand::rngs::StdRng;

pub(crate) const TICK_MS: u64 = 100;

/// Bytes and messages sent and received by one node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) bytes: u64,
    pub(crate) messages: u64,
}

pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) is_down: bool,
    pub(crate) is_paused: bool,
    pub(crate) membership: Membership,
    pub(crate) side: u8,
    pub(crate) traffic: Traffic,
}

#[derive(Default)]
pub(crate) struct Net {
    pub(crate) hosts: IndexMap<NodeId, Host>,
    pub(crate) now: ClockMs,
    by_address: IndexMap<SocketAddr, NodeId>,
    /// Probability that a message is lost, applied only while `rng` is set.
    pub(crate) loss_rate: f64,
    pub(crate) rng: Option<StdRng>,
    failures: Vec<(ClockMs, NodeId, Input)>,
    pub(crate) superseded: IndexSet<NodeId>,
}

pub(crate) fn node(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

pub(crate) fn address(index: usize) -> SocketAddr {
    let octets = u32::try_from(index).unwrap() + 0x0a00_0001;
    SocketAddr::new(Ipv4Addr::from(octets).into(), 7_000)
}

pub(crate) fn profile(is_leaving: bool) -> EndpointProfile {
    let target = ModelTarget {
        adapter: None,
        model: ModelId::new("layout-large").unwrap(),
        version: VersionId::new("2026-03").unwrap(),
    };
    EndpointProfile {
        kind: EndpointKind::Engine {
            loaded: vec![target],
            slots: 16,
            is_checking_fencing: true,
        },
        is_leaving,
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).unwrap().len() as u64
}

impl Net {
    /// Starts a node whose only seed address is that of the node with index 0.
    pub(crate) fn start(&mut self, name: &str, index: usize, incarnation: u64, role: Role) {
        let description = Description {
            address: address(index),
            incarnation: Incarnation(incarnation),
            node: node(name),
            role,
            zone: ZoneId::new(["muc-a", "muc-b", "fs-c"][index % 3]).unwrap(),
        };
        let seed = incarnation * 1_000_003 + index as u64;
        let seeds = vec![address(0)];
        let membership = Membership::new(self.now, description, seeds, Periods::default(), seed);
        let host = Host {
            address: address(index),
            is_down: false,
            is_paused: false,
            membership,
            side: 0,
            traffic: Traffic::default(),
        };
        self.by_address.insert(address(index), node(name));
        self.hosts.insert(node(name), host);
    }

    pub(crate) fn input(&mut self, name: &str, input: Input) {
        let host = &mut self.hosts[&node(name)];
        let outputs = host.membership.step(self.now, input);
        self.carry_out(&node(name), outputs);
    }

    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a condition holds and returns the time taken, in milliseconds, or `None` if the
    /// condition does not hold within `bound_ms`.
    pub(crate) fn run_until(
        &mut self,
        bound_ms: u64,
        is_met: impl Fn(&Self) -> bool,
    ) -> Option<u64> {
        let start = self.now;
        while self.now.since(start) <= bound_ms {
            if is_met(self) {
                return Some(self.now.since(start));
            }
            self.tick();
        }
        None
    }

    pub(crate) fn view(&self, name: &str) -> &Membership {
        &self.hosts[&node(name)].membership
    }

    pub(crate) fn sees(&self, from: &str, name: &str) -> Option<&Member> {
        let member = self.view(from).member(&node(name));
        member.map(AsRef::as_ref)
    }

    fn tick(&mut self) {
        self.now = self.now + TICK_MS;
        let due = |(at, _, _): &(ClockMs, NodeId, Input)| *at <= self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.failures.drain(..).partition(due);
        self.failures = later;
        for (_, name, input) in due {
            if self.runs(&name) {
                self.input(name.as_str(), input);
            }
        }
        let names: Vec<NodeId> = self.hosts.keys().cloned().collect();
        for name in names
            .iter()
            .filter(|name| self.runs(name))
            .cloned()
            .collect::<Vec<_>>()
        {
            self.input(name.as_str(), Input::Tick);
        }
    }

    fn runs(&self, name: &NodeId) -> bool {
        let host = &self.hosts[name];
        !host.is_down && !host.is_paused
    }

    fn reach(&self, from: &NodeId, to: SocketAddr) -> Option<NodeId> {
        let name = self.by_address.get(&to)?;
        let is_same_side = self.hosts[name].side == self.hosts[from].side;
        (self.runs(name) && is_same_side).then(|| name.clone())
    }

    fn carry_out(&mut self, from: &NodeId, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Call {
                    address,
                    call,
                    request,
                    timeout_ms,
                } => {
                    let at = self.now + timeout_ms;
                    let reply = self.ask(from, address, request);
                    if let Some(reply) = reply {
                        self.input(from.as_str(), Input::Answered { call, reply });
                    } else {
                        self.failures
                            .push((at, from.clone(), Input::Failed { call }));
                    }
                }
                Output::ProbeVia {
                    address,
                    call,
                    target,
                    target_node,
                    ..
                } => {
                    let helper = self.reach(from, address);
                    let reached = helper.and_then(|helper| self.reach(&helper, target));
                    let is_reached = reached == Some(target_node);
                    self.input(from.as_str(), Input::ProbedVia { call, is_reached });
                }
                Output::Superseded(_) => {
                    self.superseded.insert(from.clone());
                }
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        let loss_rate = self.loss_rate;
        let rng = self.rng.as_mut();
        rng.is_some_and(|rng| rng.random_bool(loss_rate))
    }

    fn ask(&mut self, from: &NodeId, to: SocketAddr, request: Request) -> Option<Reply> {
        if self.is_lost() {
            return None;
        }
        let name = self.reach(from, to)?;
        let asked = size(&request);
        let reply = self.hosts[&name].membership.answer(self.now, request);
        if self.is_lost() {
            return None;
        }
        let bytes = asked + size(&reply);
        for side in [from, &name] {
            let traffic = &mut self.hosts[side].traffic;
            traffic.bytes += bytes;
            traffic.messages += 2;
        }
        Some(reply)
    }
}

/// Starts entries, control replicas and agents, and runs until every node sees all members.
pub(crate) fn joined_net(entries: usize, controls: usize, agents: usize) -> Net {
    let mut net = Net::default();
    for index in 0..entries {
        net.start(&format!("entry-{index}"), index, 1, Role::Entry);
    }
    for index in 0..controls {
        net.start(
            &format!("control-{index}"),
            entries + index,
            1,
            Role::Control,
        );
    }
    for index in 0..agents {
        let role = Role::Agent(profile(false));
        net.start(
            &format!("agent-{index}"),
            entries + controls + index,
            1,
            role,
        );
    }
    let total = entries + controls + agents;
    let has_met = |host: &Host| host.membership.members().count() == total;
    let met = net.run_until(120_000, |net| net.hosts.values().all(has_met));
    assert!(
        met.is_some(),
        "the members did not see each other within 120 s"
    );
    net
}
