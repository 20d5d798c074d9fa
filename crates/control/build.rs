//! Passes the commit of the sources to the crate, for the logs.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Files and folders of the repository that change when `HEAD` moves.
const HEAD_PATHS: [&str; 3] = ["HEAD", "refs/heads", "packed-refs"];

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    let commit = repository_root().and_then(|root| {
        for path in HEAD_PATHS {
            let path = root.join(git(&root, &["rev-parse", "--git-path", path])?);
            // A path that doesn't exist would make every build run this again.
            if path.exists() {
                println!("cargo::rerun-if-changed={}", path.display());
            }
        }
        git(&root, &["rev-parse", "--short=12", "HEAD"])
    });
    println!("cargo::rustc-env=SORRELLAND_COMMIT={}", commit.as_deref().unwrap_or("unknown"));
}

/// Returns the root of the sources if it is that of a repository; the repository around an unpacked archive has other
/// commits.
fn repository_root() -> Option<PathBuf> {
    let manifest_dir: OsString = std::env::var_os("CARGO_MANIFEST_DIR")?;
    let root = Path::new(&manifest_dir).ancestors().nth(2)?;
    root.join(".git").exists().then(|| root.to_owned())
}

/// Returns what git prints; `None` without git or if it fails.
fn git(root: &Path, args: &[&str]) -> Option<String> {
    let mut command = Command::new("git");
    command.arg("-C").arg(root).args(args).env_remove("GIT_DIR").env_remove("GIT_WORK_TREE");
    let output = command.output().ok().filter(|output| output.status.success())?;
    let text = String::from_utf8(output.stdout).ok()?;
    Some(text.trim().to_owned()).filter(|text| !text.is_empty())
}
