//! Duties: the long-running tasks of a process, each on a named thread of its own.

use std::future::Future;
use std::io;
use std::thread::{self, JoinHandle};

use masticsill_types::log_event;

use crate::events;

/// Handle of a running duty.
#[derive(Debug)]
pub struct DutyHandle {
    name: &'static str,
    thread: JoinHandle<()>,
}

impl DutyHandle {
    /// Returns the name of the duty, which is also the name of its thread.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns whether the duty has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Blocks until the duty has ended.
    ///
    /// # Errors
    ///
    /// An error that names the duty if its thread panicked.
    pub fn join(self) -> io::Result<()> {
        let name = self.name;
        self.thread
            .join()
            .map_err(|_| io::Error::other(format!("duty `{name}` panicked; see its log lines")))
    }
}

/// Starts a duty on a thread of its own.
///
/// # Errors
///
/// The operating system's error if the thread can't be started.
pub fn spawn_duty<F>(name: &'static str, duty: F) -> io::Result<DutyHandle>
where
    F: FnOnce() + Send + 'static,
{
    let run = move || {
        log_event!(debug, events::DUTY_STARTED, duty = name);
        duty();
        log_event!(debug, events::DUTY_ENDED, duty = name);
    };
    let thread = thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(DutyHandle { name, thread })
}

/// Starts an asynchronous duty on a thread with a single-threaded runtime of its own.
///
/// The future may spawn local tasks, which are dropped when it completes.
///
/// # Errors
///
/// The operating system's error if the thread or the runtime can't be started.
pub fn spawn_async_duty<F, Fut>(name: &'static str, duty: F) -> io::Result<DutyHandle>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    spawn_duty(name, move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, duty());
    })
}
