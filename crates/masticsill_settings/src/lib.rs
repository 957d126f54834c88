//! JSON settings of a process, checked as a whole.
