//! Members of a gang on several workers, which find each other by files in a directory that the workers share: one
//! file with the process ID of each member that is present, and one once the gang has ended.

use std::fs;
use std::path::{Path, PathBuf};

/// Time that a member waits for the others, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;

/// Name of the file with the reason for the end of a gang.
const END_FILE: &str = "end";

/// A run that works only together with the other members of its gang.
#[derive(Debug)]
pub struct Gang {
    dir: PathBuf,
    size: u64,
    joined_ms: u64,
    run_ms: u64,
    working: bool,
}

impl Gang {
    /// Joins a gang of `size` subtasks whose work takes `run_ms` milliseconds from the time when all are present.
    pub fn join(parent: &Path, task: &str, run: u64, size: u64, now_ms: u64, run_ms: u64) -> Self {
        let (step, index) = task.rsplit_once('.').unwrap_or((task, "0"));
        let dir = parent.join(format!("{step}-{run}"));
        // Without its file the gang never works, which the test sees.
        let _ = fs::create_dir_all(&dir);
        let _ = fs::write(dir.join(index), std::process::id().to_string());
        Self { dir, size, joined_ms: now_ms, run_ms, working: false }
    }

    /// Sets the end of the work in `end_ms` once all members are present; returns why the run has ended, if another
    /// member has ended or the others are missing.
    pub fn advance(&mut self, now_ms: u64, end_ms: &mut u64) -> Option<&'static str> {
        match fs::read_to_string(self.dir.join(END_FILE)).as_deref() {
            Ok("done") if self.working => return Some("done"),
            Ok(_) => return Some("broken"),
            Err(_) => {}
        }
        let members = fs::read_dir(&self.dir).into_iter().flatten().flatten();
        let members: Vec<_> = members.filter_map(|member| fs::read_to_string(member.path()).ok()).collect();
        if members.iter().any(|pid| !Path::new("/proc").join(pid).exists()) {
            return Some("broken");
        }
        if self.working {
            return None;
        }
        if members.len() as u64 >= self.size {
            self.working = true;
            *end_ms = now_ms + self.run_ms;
        }
        (!self.working && now_ms > self.joined_ms + GANG_WAIT_MS).then_some("alone")
    }

    /// Makes the other members end too; the first reason counts.
    pub fn leave(&self, reason: &str) {
        let path = self.dir.join(END_FILE);
        if !path.exists() {
            // Written elsewhere first, so that no member reads a part.
            let part = self.dir.with_extension(std::process::id().to_string());
            let _ = fs::write(&part, reason).and_then(|()| fs::rename(&part, path));
        }
    }
}
