//! The entry role: callers' HTTP interface, routing and resume.
