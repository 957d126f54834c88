//! Stand-ins and a fault-injecting proxy for tests and benches.
