//! Plain-text log output to standard error.

use env_logger::{Builder, Env};

/// Starts logging to standard error; `RUST_LOG` chooses the level, `info` by default.
///
/// A second call in one process has no effect.
pub fn start_logging() {
    let environment = Env::default().default_filter_or("info,tarpc=error,ntex=warn");
    let mut builder = Builder::from_env(environment);
    let _ = builder.format_timestamp_millis().try_init();
}
