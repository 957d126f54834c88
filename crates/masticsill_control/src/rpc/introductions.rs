//! How the processes that serve control find each other.
//!
//! Each introduces itself to the seeds and to every process without state that it knows, and is
//! told of the replicas known there. A process without state forgets all at a restart, so
//! introductions go on for good.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use indexmap::IndexSet;
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_quorum::FoundingAttempt;
use masticsill_types::NodeId;
use masticsill_wire::control::{FoundingProposal, Introduction};

/// Pause until an address has answered for the first time; founding waits for it.
const FIRST_INTERVAL: Duration = Duration::from_millis(250);
/// Pause afterwards: a process without state is told again within a second of its restart.
const INTERVAL: Duration = Duration::from_secs(1);

/// A process that introduces itself.
#[derive(Clone, Debug)]
pub(crate) struct Newcomer {
    pub(crate) address: SocketAddr,
    pub(crate) keeps_state: bool,
    pub(crate) node: NodeId,
}

/// Introduces a process for good.
pub(crate) async fn run_introductions(
    client: ControlClient,
    newcomer: Newcomer,
    is_founded: impl Fn() -> bool,
) {
    let mut keeping = IndexSet::new();
    loop {
        let introduction = Introduction {
            address: newcomer.address,
            is_founded: is_founded(),
            keeps_state: newcomer.keeps_state,
            node: newcomer.node.clone(),
        };
        let others = client.book().all().into_iter();
        // Replicas know each other by the quorum's messages and by what others tell.
        let is_needless = |address: &SocketAddr| {
            *address == newcomer.address || (newcomer.keeps_state && keeping.contains(address))
        };
        let others: Vec<SocketAddr> = others.filter(|it| !is_needless(it)).collect();
        let asking = others.iter().map(|address| {
            let answer = client.directory(*address, Some(&introduction));
            async { (*address, answer.await) }
        });
        let mut has_missed = false;
        for (address, answer) in join_all(asking).await {
            let Some(directory) = answer else {
                has_missed = true;
                continue;
            };
            for (node, replica) in directory.replicas {
                client.book().record_announced(node, replica);
            }
            if directory.keeps_state {
                client.book().record_announced(directory.node, address);
                keeping.insert(address);
            }
        }
        let pause = if has_missed { FIRST_INTERVAL } else { INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

/// Notes who introduced itself.
pub(crate) fn note_introduction(book: &AddressBook, introduction: &Introduction) {
    if introduction.keeps_state {
        book.record_announced(introduction.node.clone(), introduction.address);
    } else {
        book.add_seeds([introduction.address]);
    }
}

/// A founding as the decisions name it.
pub(crate) fn attempt_of(proposal: FoundingProposal) -> FoundingAttempt {
    FoundingAttempt {
        number: proposal.number,
        proposer: proposal.proposer,
    }
}
