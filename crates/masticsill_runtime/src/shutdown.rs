//! Graceful shutdown of a process, and its signals.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use masticsill_types::log_event;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::watch;

use crate::duty::{DutyHandle, spawn_duty};
use crate::events;

/// Tells the duties of a process to shut down. Clones share one state.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    is_requested: Arc<AtomicBool>,
    sender: Arc<watch::Sender<bool>>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self {
            is_requested: Arc::new(AtomicBool::new(false)),
            sender: Arc::new(watch::Sender::new(false)),
        }
    }
}

impl ShutdownSignal {
    /// Requests the shutdown. Further calls have no effect.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Release);
        self.sender.send_replace(true);
    }

    /// Returns whether the shutdown was requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.is_requested.load(Ordering::Acquire)
    }

    /// Waits until the shutdown is requested.
    pub async fn requested(&self) {
        let mut receiver = self.sender.subscribe();
        let _ = receiver.wait_for(|is_requested| *is_requested).await;
    }
}

/// Starts the duty that turns `SIGTERM` and `SIGINT` into a shutdown request and calls `on_hangup`
/// on `SIGHUP`, which would otherwise terminate the process.
///
/// # Errors
///
/// The operating system's error if the signal handlers can't be registered or the thread can't be
/// started.
pub fn watch_signals(
    shutdown: ShutdownSignal,
    on_hangup: impl Fn() + Send + 'static,
) -> io::Result<DutyHandle> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    spawn_duty("signals", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                log_event!(info, events::RELOAD_REQUESTED, signal = signal);
                on_hangup();
                continue;
            }
            log_event!(info, events::SHUTDOWN_REQUESTED, signal = signal);
            shutdown.request();
        }
    })
}
