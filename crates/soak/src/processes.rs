//! Child processes by name, each with a log file.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use tokio::time::Instant;

use crate::lock;

const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Processes of a run; dropping them kills those that still run.
pub struct Processes {
    dir: PathBuf,
    children: Mutex<BTreeMap<String, Child>>,
}

impl Processes {
    /// Creates an empty set whose settings and log files are in `dir`.
    ///
    /// # Errors
    ///
    /// Fails if the directory can't be created.
    pub fn new(dir: &Path) -> io::Result<Self> {
        fs::create_dir_all(dir)?;
        Ok(Self { dir: dir.to_owned(), children: Mutex::default() })
    }

    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Starts a program whose output is appended to `LOG.log` in the directory.
    ///
    /// # Errors
    ///
    /// Fails if the log file can't be opened or the program can't be started.
    pub fn spawn(
        &self,
        name: &str,
        log: &str,
        program: &Path,
        args: &[&str],
        variables: &[(&str, &str)],
    ) -> io::Result<()> {
        let log = OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{log}.log")))?;
        let child = Command::new(program)
            .args(args)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        lock(&self.children).insert(name.to_owned(), child);
        Ok(())
    }

    /// Returns the process ID of a process that was started and not yet killed.
    pub fn pid(&self, name: &str) -> Option<u32> {
        lock(&self.children).get(name).map(Child::id)
    }

    /// Sends a signal; returns whether the process exists.
    pub fn signal(&self, name: &str, signal: Signal) -> bool {
        self.pid(name).is_some_and(|pid| signal::kill(Pid::from_raw(pid as i32), signal).is_ok())
    }

    /// Returns how the process has exited by itself, if it has.
    pub fn exit_status(&self, name: &str) -> Option<ExitStatus> {
        lock(&self.children).get_mut(name)?.try_wait().ok()?
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, name: &str) {
        let Some(mut child) = lock(&self.children).remove(name) else { return };
        // Fails only if the process has exited.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Kills all processes.
    pub fn kill_all(&self) {
        let names: Vec<String> = lock(&self.children).keys().cloned().collect();
        names.iter().for_each(|name| self.kill(name));
    }

    /// Sends SIGTERM, and kills the process if it hasn't exited after `grace`; returns whether it exited successfully.
    pub async fn terminate(&self, name: &str, grace: Duration) -> bool {
        self.signal(name, Signal::SIGTERM);
        let deadline = Instant::now() + grace;
        while self.exit_status(name).is_none() && Instant::now() < deadline {
            tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
        }
        let status = self.exit_status(name);
        self.kill(name);
        status.is_some_and(|status| status.success())
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
    }
}
