//! One thread for each duty.

use std::future::Future;
use std::io;
use std::thread::{self, JoinHandle};

use masticsill_types::log_event;

use crate::events;

/// A running duty.
#[derive(Debug)]
pub struct DutyHandle {
    name: &'static str,
    thread: JoinHandle<()>,
}

impl DutyHandle {
    /// The duty's name, which is also its thread's.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Whether the duty has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the duty's end.
    ///
    /// # Errors
    ///
    /// An error naming the duty when its thread panicked.
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
/// The operating system's error when no thread can be started.
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

/// Starts a duty whose body is a future, on a thread with a runtime of its own.
///
/// The future may spawn local tasks; they end with it.
///
/// # Errors
///
/// The operating system's error when no thread or runtime can be started.
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
