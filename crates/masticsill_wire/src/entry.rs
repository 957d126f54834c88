//! RPC service between entries.

use serde::{Deserialize, Serialize};

use crate::agent::{AttachReply, AttachRequest};

/// Names a service for peers that probe it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pong;

/// RPC methods that an entry serves to other entries.
#[tarpc::service]
pub trait EntryService {
    /// Transfers ownership of a generation to the entry that the caller reconnected to.
    ///
    /// The entry that serves the call stops delivering tokens before it replies.
    async fn release(request: AttachRequest) -> AttachReply;
}
