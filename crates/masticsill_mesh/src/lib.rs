//! What every node runs: membership exchange and the catalogue relay.
