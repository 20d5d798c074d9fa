//! The programs of sorrelland; each is a plain `main` over the crate that does the work.
