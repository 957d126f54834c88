//! The request to end gracefully.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use masticsill_types::log_event;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::watch;

use crate::duty::{DutyHandle, spawn_duty};
use crate::events;

/// Tells every duty that the process is to end. Clones share one state.
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
    /// Requests the shutdown; repeating it changes nothing.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Release);
        self.sender.send_replace(true);
    }

    /// Whether the shutdown was requested.
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

/// Starts the duty that turns `SIGTERM` and `SIGINT` into a shutdown request, and calls
/// `on_hangup` at `SIGHUP`, which ends a process that does not expect it.
///
/// # Errors
///
/// The operating system's error when signals can't be registered.
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
