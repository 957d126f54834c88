//! Roll-outs at a control replica: the leader answers orders and drives the roll-outs in progress.

mod duty;
mod evidence;
mod orders;

pub(crate) use duty::run_rollouts;
pub(crate) use evidence::ReceivedEvidence;
