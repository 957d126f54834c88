//! The service that entries offer to each other.

use serde::{Deserialize, Serialize};

use crate::agent::{AttachReply, AttachRequest};

/// Names a service for peers that probe it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pong;

/// Operations of an entry.
#[tarpc::service]
pub trait EntryService {
    /// Hands a generation to another entry, whose caller came back there.
    ///
    /// The entry that answers stops delivering before it answers.
    async fn release(request: AttachRequest) -> AttachReply;
}
