//! Child processes under test: ready lines, signals and bounded waits.

use std::ffi::OsStr;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rustix::process::{Pid, Signal, kill_process};
use thiserror::Error;

/// How long a process may take until it prints `ready`, in milliseconds.
const READY_BOUND_MS: u64 = 30_000;
/// How long a process may run on after SIGSTOP, in milliseconds.
const STOPPED_BOUND_MS: u64 = 10_000;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Kind of an address that is printed without one.
const DEFAULT_KIND: &str = "http";

/// Why a process under test is not as the test wants it.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The process ended before it printed `ready`.
    #[error("process ended before it was ready; its log is {}: {log}", path.display())]
    EndedBeforeReady {
        /// The log's content.
        log: String,
        /// Where the log is.
        path: PathBuf,
    },
    /// The operating system refused.
    #[error("process could not be handled; check that `{}` is built: {source}", path.display())]
    Io {
        /// The program or its log.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The process did not become ready, or did not end, within the bound.
    #[error("process was too slow; read its log {}", path.display())]
    TooSlow {
        /// Where the log is.
        path: PathBuf,
    },
}

/// A child process. Dropping it kills that process, and no other.
#[derive(Debug)]
pub struct ProcessUnderTest {
    addresses: IndexMap<String, SocketAddr>,
    child: Child,
    log_file: PathBuf,
}

impl ProcessUnderTest {
    /// Starts a program and waits for its line `ready`.
    ///
    /// Lines `listening KIND on ADDRESS` before it are collected. Both output streams are appended
    /// to `log_file`.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when the program can't be started, ends early or is not ready in time.
    pub fn spawn(
        program: &Path,
        arguments: impl IntoIterator<Item = impl AsRef<OsStr>>,
        log_file: &Path,
    ) -> Result<Self, ProcessError> {
        let fail = |source| ProcessError::Io {
            path: program.to_owned(),
            source,
        };
        let log = open_log(log_file).map_err(fail)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone().map_err(fail)?)
            .spawn()
            .map_err(fail)?;
        let stdout = child.stdout.take();
        let stdout = stdout.ok_or_else(|| fail(io::ErrorKind::BrokenPipe.into()))?;
        let lines = forward_lines(stdout, log);
        let mut process = Self {
            addresses: IndexMap::new(),
            child,
            log_file: log_file.to_owned(),
        };
        process.await_ready(&lines)?;
        Ok(process)
    }

    /// The address of a kind such as `http` or `rpc`.
    ///
    /// # Panics
    ///
    /// When the process printed no such address.
    #[must_use]
    pub fn address(&self, kind: &str) -> SocketAddr {
        let address = self.addresses.get(kind);
        *address.unwrap_or_else(|| panic!("no `{kind}` address; see {}", self.log_file.display()))
    }

    /// All addresses by kind, in the order printed.
    #[must_use]
    pub fn addresses(&self) -> &IndexMap<String, SocketAddr> {
        &self.addresses
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All output so far.
    #[must_use]
    pub fn log(&self) -> String {
        read_log(&self.log_file)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills without notice and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process where it stands (SIGSTOP); returns once none of its threads runs.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Io`] when the process has ended.
    pub fn pause(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)?;
        let id = self.child.id();
        if wait_until(STOPPED_BOUND_MS, || has_stopped(id)) {
            Ok(())
        } else {
            Err(self.fail(io::ErrorKind::TimedOut.into()))
        }
    }

    /// Lets a paused process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// [`ProcessError::Io`] when the process has ended.
    pub fn resume(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to end (SIGTERM) without waiting for it.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Io`] when the process has ended.
    pub fn request_stop(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Asks the process to end (SIGTERM) and waits at most `bound_ms`.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when the process has ended before or does not end in time.
    pub fn terminate(&mut self, bound_ms: u64) -> Result<ExitStatus, ProcessError> {
        self.request_stop()?;
        self.wait_for_end(bound_ms)
    }

    /// Waits at most `bound_ms` for the process to end by itself.
    ///
    /// # Errors
    ///
    /// [`ProcessError::TooSlow`] when it does not end in time.
    pub fn wait_for_end(&mut self, bound_ms: u64) -> Result<ExitStatus, ProcessError> {
        let deadline = Instant::now() + Duration::from_millis(bound_ms);
        loop {
            if let Some(status) = self.child.try_wait().map_err(|error| self.fail(error))? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(self.too_slow());
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal while the child is unreaped, so that its id can't be another's.
    fn signal(&mut self, signal: Signal) -> Result<(), ProcessError> {
        if !self.is_running() {
            return Err(self.fail(io::ErrorKind::NotFound.into()));
        }
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|error| self.fail(error.into()))
    }

    fn await_ready(&mut self, lines: &Receiver<String>) -> Result<(), ProcessError> {
        let deadline = Instant::now() + Duration::from_millis(READY_BOUND_MS);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match lines.recv_timeout(left) {
                Ok(line) if line == "ready" => return Ok(()),
                Ok(line) => self.addresses.extend(parse_listening(&line)),
                Err(RecvTimeoutError::Timeout) => return Err(self.too_slow()),
                Err(RecvTimeoutError::Disconnected) => {
                    self.kill();
                    return Err(ProcessError::EndedBeforeReady {
                        log: self.log(),
                        path: self.log_file.clone(),
                    });
                }
            }
        }
    }

    fn fail(&self, source: io::Error) -> ProcessError {
        ProcessError::Io {
            path: self.log_file.clone(),
            source,
        }
    }

    fn too_slow(&self) -> ProcessError {
        ProcessError::TooSlow {
            path: self.log_file.clone(),
        }
    }
}

impl Drop for ProcessUnderTest {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits at most `bound_ms` until a condition holds; tells whether it did.
pub fn wait_until(bound_ms: u64, mut is_met: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_millis(bound_ms);
    loop {
        if is_met() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Writes settings as JSON to `NAME.json` in a folder.
///
/// # Panics
///
/// When the file can't be written.
#[must_use]
pub fn write_settings(folder: &Path, name: &str, settings: &serde_json::Value) -> PathBuf {
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, format!("{settings:#}")).expect("the test's folder is writable");
    path
}

/// Where cargo puts a binary of the workspace (`masticsill`), seen from a running test or bench.
#[must_use]
pub fn built_binary(name: &str) -> PathBuf {
    profile_folder().join(name)
}

/// Where cargo puts an example of this crate (`fake_engine`), seen from a running test or bench.
#[must_use]
pub fn built_example(name: &str) -> PathBuf {
    profile_folder().join("examples").join(name)
}

fn profile_folder() -> PathBuf {
    let test = std::env::current_exe().expect("a running test has a path");
    let folder = test.parent().expect("a program lies in a folder");
    let is_nested = folder.ends_with("deps") || folder.ends_with("examples");
    let profile = folder.parent().filter(|_| is_nested);
    profile.unwrap_or(folder).to_owned()
}

fn open_log(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

fn read_log(path: &Path) -> String {
    let bytes = std::fs::read(path).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Copies a child's lines to its log for ever and to the receiver while that is there.
fn forward_lines(stdout: ChildStdout, mut log: File) -> Receiver<String> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let _ = writeln!(log, "{line}");
            let _ = sender.send(line);
        }
    });
    receiver
}

fn parse_listening(line: &str) -> Option<(String, SocketAddr)> {
    let rest = line.strip_prefix("listening ")?;
    let (kind, address) = match rest.strip_prefix("on ") {
        Some(address) => (DEFAULT_KIND, address),
        None => rest.split_once(" on ")?,
    };
    Some((kind.to_owned(), address.parse().ok()?))
}

/// Whether no thread of a process runs after SIGSTOP. On a busy machine threads go on for some
/// milliseconds after the signal. A thread that ends meanwhile counts as running.
#[must_use]
pub fn has_stopped(process_id: u32) -> bool {
    let is_stopped = |thread: io::Result<fs::DirEntry>| {
        let status = thread.and_then(|it| fs::read_to_string(it.path().join("status")));
        status.is_ok_and(|status| status.lines().any(|line| line.starts_with("State:\tT")))
    };
    let threads = fs::read_dir(format!("/proc/{process_id}/task"));
    threads.is_ok_and(|mut threads| threads.all(is_stopped))
}
