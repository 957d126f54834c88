//! Discovery among the processes that serve control.
//!
//! Each process introduces itself to the seeds and to every process without state that it knows,
//! and gets the replicas known there in return. A process without state loses what it knows at a
//! restart, so introductions are repeated indefinitely.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use indexmap::IndexSet;
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_quorum::FoundingAttempt;
use masticsill_types::NodeId;
use masticsill_wire::control::{FoundingProposal, Introduction};

/// Pause while any address is unanswered; founding waits for the answers.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(250);
/// Pause once all addresses have answered: a process without state gets the next introduction
/// within a second of its restart.
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Identity of a process that introduces itself.
#[derive(Clone, Debug)]
pub(crate) struct ProcessIdentity {
    pub(crate) address: SocketAddr,
    pub(crate) keeps_state: bool,
    pub(crate) node: NodeId,
}

/// Introduces a process to the others, repeatedly; never returns.
pub(crate) async fn run_introductions(
    client: ControlClient,
    identity: ProcessIdentity,
    is_founded: impl Fn() -> bool,
) {
    let mut stateful = IndexSet::new();
    loop {
        let introduction = Introduction {
            address: identity.address,
            is_founded: is_founded(),
            keeps_state: identity.keeps_state,
            node: identity.node.clone(),
        };
        let others = client.book().all().into_iter();
        // Replicas learn about each other through quorum messages and from the replies to
        // introductions.
        let is_skipped = |address: &SocketAddr| {
            *address == identity.address || (identity.keeps_state && stateful.contains(address))
        };
        let others: Vec<SocketAddr> = others.filter(|it| !is_skipped(it)).collect();
        let asking = others.iter().map(|address| {
            let answer = client.directory(*address, Some(&introduction));
            async { (*address, answer.await) }
        });
        let mut is_any_unanswered = false;
        for (address, answer) in join_all(asking).await {
            let Some(directory) = answer else {
                is_any_unanswered = true;
                continue;
            };
            for (node, replica) in directory.replicas {
                client.book().record_announced(node, replica);
            }
            if directory.keeps_state {
                client.book().record_announced(directory.node, address);
                stateful.insert(address);
            }
        }
        let pause = if is_any_unanswered {
            UNANSWERED_INTERVAL
        } else {
            INTRODUCTION_INTERVAL
        };
        tokio::time::sleep(pause).await;
    }
}

/// Records the address of a process that introduced itself.
pub(crate) fn record_introduction(book: &AddressBook, introduction: &Introduction) {
    if introduction.keeps_state {
        book.record_announced(introduction.node.clone(), introduction.address);
    } else {
        book.add_seeds([introduction.address]);
    }
}

/// Converts a proposal to the type that the founding logic uses.
pub(crate) fn attempt_of(proposal: FoundingProposal) -> FoundingAttempt {
    FoundingAttempt {
        number: proposal.number,
        proposer: proposal.proposer,
    }
}
