//! The agent role: the process beside an endpoint.
