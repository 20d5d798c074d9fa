//! The build of this process, as its logs and `--version` name it.

use derive_more::Display;

use crate::versions;

/// What tells this build from others.
#[derive(Clone, Copy, Debug, Display)]
#[display("version={version} calls={calls} commit={commit}")]
pub struct Build {
    /// Version of the package.
    pub version: &'static str,
    /// Newest version of the calls that it speaks.
    pub calls: u16,
    /// Commit of the sources, without what was changed since; `unknown` if they were not built in a repository.
    pub commit: &'static str,
}

/// This build.
pub const THIS: Build =
    Build { version: env!("CARGO_PKG_VERSION"), calls: versions::NEWEST, commit: env!("SORRELLAND_COMMIT") };
