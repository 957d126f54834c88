//! Wakes many callers of one HTTP worker by one system call.
//!
//! Waking a task of another thread costs a system call each time. The sessions duty therefore notes
//! whom to wake on the worker's own ring, and wakes the worker once for a whole batch; the worker
//! wakes its tasks itself.

use std::cell::OnceCell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use masticsill_runtime::Ring;
use masticsill_session::StreamItem;

/// Callers of one worker that wait to be woken at most; beyond that each is woken by itself.
const WAKE_RING_ITEMS: usize = 8_192;

thread_local! {
    static WORKER: OnceCell<WorkerWakes> = const { OnceCell::new() };
}

/// Callers of one HTTP worker that are to be woken. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct WorkerWakes {
    callers: Ring<Ring<StreamItem>>,
    is_pending: Arc<AtomicBool>,
}

impl WorkerWakes {
    /// Notes a caller that has something to read.
    pub(crate) fn note(&self, caller: &Ring<StreamItem>) {
        if self.callers.push_quietly(caller.clone()).is_ok() {
            self.is_pending.store(true, Ordering::Release);
        } else {
            caller.wake();
        }
    }

    /// Wakes the worker if callers were noted since the last time.
    fn flush(&self) {
        if self.is_pending.swap(false, Ordering::AcqRel) {
            self.callers.wake();
        }
    }

    async fn wake_callers(self) {
        while let Some(caller) = self.callers.pop().await {
            caller.wake();
        }
    }
}

/// The wakes of every worker. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct WakeHub {
    workers: Arc<Mutex<Vec<WorkerWakes>>>,
}

impl WakeHub {
    /// The wakes of the worker that calls this.
    pub(crate) fn worker(&self) -> WorkerWakes {
        WORKER.with(|worker| worker.get_or_init(|| self.add_worker()).clone())
    }

    /// Wakes every worker that has callers to wake.
    pub(crate) fn flush(&self) {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.iter().for_each(WorkerWakes::flush);
    }

    fn add_worker(&self) -> WorkerWakes {
        let wakes = WorkerWakes {
            callers: Ring::with_capacity(WAKE_RING_ITEMS),
            is_pending: Arc::new(AtomicBool::new(false)),
        };
        ntex::rt::spawn(wakes.clone().wake_callers());
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.push(wakes.clone());
        wakes
    }
}
