//! The state of the mesh duty and the RPC service that it offers to peers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures::StreamExt;
use masticsill_catalogue::Follower;
use masticsill_membership::{
    ChangesSince, Input, MemberState, Membership, Output, Reply, Request, RequestBody,
};
use masticsill_runtime::ServiceStream;
use masticsill_types::{ClockMs, EndpointKind, EndpointProfile, MonotonicClock, log_event};
use masticsill_wire::control::{RenewReply, RenewRequest};
use masticsill_wire::node::{NodeService, ProbeViaRequest};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::task::spawn_local;

use crate::config::{MeshConfig, RenewSource};
use crate::events;
use crate::handle::Published;
use crate::peers;
use crate::renewal::answer_renewal;
use crate::view::MembershipView;

/// The state that the tasks of the mesh share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) clock: MonotonicClock,
    pub(crate) config: MeshConfig,
    pub(crate) follower: RefCell<Follower>,
    pub(crate) membership: RefCell<Membership>,
    /// The cursor up to which member changes are published.
    pub(crate) published_cursor: Cell<u64>,
    /// The end of the hold-down that ends next, if any.
    pub(crate) next_hold_down_end: Cell<Option<ClockMs>>,
    pub(crate) published: Published,
    pub(crate) source: Option<RenewSource>,
}

impl Node {
    /// Passes an input to the membership, carries out its outputs and publishes changes.
    pub(crate) fn step(self: &Rc<Self>, input: Input) {
        let now = self.clock.now();
        let outputs = self.membership.borrow_mut().step(now, input);
        for output in outputs {
            self.carry_out(output);
        }
        self.publish(now);
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        let node = Rc::clone(self);
        match output {
            Output::Call {
                address,
                call,
                request,
                timeout_ms,
            } => {
                spawn_local(async move {
                    let reply = peers::exchange(address, request, timeout_ms).await;
                    let end = reply.map_or(Input::Failed { call }, |reply| Input::Answered {
                        call,
                        reply,
                    });
                    node.step(end);
                });
            }
            Output::ProbeVia {
                address,
                call,
                target,
                target_node,
                timeout_ms,
            } => {
                let request = ProbeViaRequest {
                    address: target,
                    node: target_node,
                    timeout_ms: timeout_ms / 2,
                };
                spawn_local(async move {
                    let reached = peers::probe_via(address, request, timeout_ms).await;
                    let end = reached.map_or(Input::Failed { call }, |is_reached| {
                        Input::ProbedVia { call, is_reached }
                    });
                    node.step(end);
                });
            }
            Output::Superseded(incarnation) => {
                log_event!(error, events::SUPERSEDED, by = incarnation);
            }
        }
    }

    /// Replaces the published view if members changed or a hold-down ended.
    pub(crate) fn publish(&self, now: ClockMs) {
        let membership = self.membership.borrow();
        let cursor = membership.cursor();
        let has_hold_down_ended = self.next_hold_down_end.get().is_some_and(|end| end <= now);
        if cursor == self.published_cursor.get() && !has_hold_down_ended {
            return;
        }
        log_changes(&membership, self.published_cursor.replace(cursor));
        let hold_down_ends = membership.members().map(|member| member.held_until);
        self.next_hold_down_end
            .set(hold_down_ends.filter(|end| *end > now).min());
        let view = MembershipView::new(membership.members());
        self.published.members.send_replace(view.into());
        self.published.notify_changed();
    }

    async fn probe_for(&self, request: ProbeViaRequest) -> bool {
        let probe = Request {
            body: RequestBody::Probe,
            from: self.config.node.clone(),
            rumors: Vec::new(),
        };
        let reply = peers::exchange(request.address, probe, request.timeout_ms).await;
        reply.is_some_and(|reply| reply.from == request.node)
    }
}

fn log_changes(membership: &Membership, since: u64) {
    let ChangesSince::Members(nodes) = membership.changes_since(since) else {
        return;
    };
    for node in nodes {
        let Some(member) = membership.member(&node) else {
            log_event!(info, events::MEMBER_GONE, node = node);
            continue;
        };
        let state = match member.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Gone => "gone",
        };
        log_event!(
            info,
            events::MEMBER_CHANGED,
            node = node,
            state = state,
            incarnation = member.incarnation,
            models = count_models(member.endpoint())
        );
    }
}

/// Returns the number of models that an endpoint has loaded.
fn count_models(profile: Option<&EndpointProfile>) -> usize {
    match profile.map(|profile| &profile.kind) {
        Some(EndpointKind::Engine { loaded, .. }) => loaded.len(),
        Some(EndpointKind::PlainService { .. }) | None => 0,
    }
}

/// Serves a connection of a peer until it is closed.
pub(crate) fn serve_peer(node: &Rc<Node>, stream: ServiceStream) {
    let Ok(transport) = stream.into_transport() else {
        return;
    };
    let server = NodeServer {
        node: Rc::clone(node),
    };
    spawn_local(async move {
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(server.serve());
        requests
            .for_each(|response| async move {
                spawn_local(response);
            })
            .await;
    });
}

#[derive(Clone, Debug)]
struct NodeServer {
    node: Rc<Node>,
}

impl NodeService for NodeServer {
    async fn exchange(self, _: Context, request: Request) -> Reply {
        let now = self.node.clock.now();
        self.node.membership.borrow_mut().answer(now, request)
    }

    async fn probe_via(self, _: Context, request: ProbeViaRequest) -> bool {
        self.node.probe_for(request).await
    }

    async fn renew(self, _: Context, request: RenewRequest) -> RenewReply {
        answer_renewal(&self.node, request)
    }
}
