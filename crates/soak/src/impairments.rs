//! When which part of the deployment was impaired by a fault.

use std::sync::Mutex;

use sorrelland_standin::clock::wall_ms;

use crate::lock;

/// Time after an impairment from which the platform's bounds hold again, in milliseconds.
pub const CONTACT_MS: u64 = 3_000;

/// Name under which impairments of the store are recorded.
pub const STORE: &str = "store";

#[derive(Clone, Debug)]
struct Impairment {
    part: String,
    from_ms: u64,
    to_ms: u64,
}

/// Record of the impairments of a run, with times on the wall clock in milliseconds.
#[derive(Debug, Default)]
pub struct Impairments(Mutex<Vec<Impairment>>);

impl Impairments {
    /// Records that an impairment of `part` begins; returns its number for [`Self::end`].
    pub fn begin(&self, part: &str) -> usize {
        let mut impairments = lock(&self.0);
        impairments.push(Impairment { part: part.to_owned(), from_ms: wall_ms(), to_ms: u64::MAX });
        impairments.len() - 1
    }

    /// Records that an impairment has ended.
    pub fn end(&self, number: usize) {
        lock(&self.0)[number].to_ms = wall_ms();
    }

    /// Returns whether the store and the given parts were in touch from `from_ms` to `to_ms`: without an impairment
    /// then and in the [`CONTACT_MS`] before.
    pub fn is_in_touch(&self, parts: &[String], from_ms: u64, to_ms: u64) -> bool {
        self.is_calm(from_ms, to_ms, |impaired| {
            impaired != STORE && !parts.iter().any(|part| part == impaired)
        })
    }

    /// Returns whether a part was impaired at a time or in the [`CONTACT_MS`] before.
    pub fn was_impaired(&self, part: &str, at_ms: u64) -> bool {
        !self.is_calm(at_ms, at_ms, |impaired| impaired != part)
    }

    /// Returns whether there was no impairment at all from [`CONTACT_MS`] before `from_ms` to `to_ms`.
    pub fn is_calm_everywhere(&self, from_ms: u64, to_ms: u64) -> bool {
        self.is_calm(from_ms, to_ms, |_| false)
    }

    fn is_calm(&self, from_ms: u64, to_ms: u64, ignored: impl Fn(&str) -> bool) -> bool {
        let near = |impairment: &&Impairment| {
            impairment.from_ms <= to_ms && impairment.to_ms.saturating_add(CONTACT_MS) >= from_ms
        };
        lock(&self.0).iter().filter(near).all(|impairment| ignored(&impairment.part))
    }
}
