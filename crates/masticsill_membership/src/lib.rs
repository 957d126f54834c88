//! Membership without a list: incarnations, suspicion, deltas and digests.
