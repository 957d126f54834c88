//! Replicated log: terms, votes, commit, membership, lease and durable storage.
