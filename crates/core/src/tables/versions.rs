//! The software versions of upstreams that this VM has seen, for streams of unknown origin.

use smallvec::SmallVec;

use crate::ids::SoftwareVersion;

/// Time after its first event within which a stream may be taken up again.
///
/// The attempts of a caller that states no timeout end within this time.
pub const STREAM_LIFE_US: u64 = 30_000_000;

/// A software version of a service's upstreams.
#[derive(Debug, Clone)]
struct SeenVersion {
    /// `None` for upstreams that state no version.
    version: Option<SoftwareVersion>,
    /// When the last upstream with this version was removed; `None` while there is one.
    removed_us: Option<u64>,
}

/// The software versions of a service's upstreams during the last [`STREAM_LIFE_US`].
#[derive(Debug, Clone, Default)]
pub struct SeenVersions {
    versions: SmallVec<[SeenVersion; 2]>,
    /// Time of the first list with upstreams of the service; `None` before that.
    since_us: Option<u64>,
}

impl SeenVersions {
    /// Records the versions of the upstreams that are listed from now on.
    pub fn record<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a Option<SoftwareVersion>>,
        now_us: u64,
    ) {
        for seen in &mut self.versions {
            seen.removed_us = seen.removed_us.or(Some(now_us));
        }
        for version in listed {
            self.since_us = self.since_us.or(Some(now_us));
            let mut rows = self.versions.iter_mut();
            if let Some(seen) = rows.find(|seen| seen.version == *version) {
                seen.removed_us = None;
            } else {
                self.versions.push(SeenVersion {
                    version: version.clone(),
                    removed_us: None,
                });
            }
        }
        self.versions.retain(|seen| seen.is_recent(now_us));
    }

    /// Iterates over the versions that streams may still have begun at.
    pub fn recent(&self, now_us: u64) -> impl Iterator<Item = &Option<SoftwareVersion>> {
        let rows = self.versions.iter();
        let recent = rows.filter(move |seen| seen.is_recent(now_us));
        recent.map(|seen| &seen.version)
    }

    /// Returns the only version that any stream may have begun at, if this VM can know that.
    pub fn only_recent(&self, now_us: u64) -> Option<&Option<SoftwareVersion>> {
        let since_us = self.since_us?;
        let mut recent = self.recent(now_us);
        let only = recent.next()?;
        let is_known = now_us >= since_us + STREAM_LIFE_US && recent.next().is_none();
        is_known.then_some(only)
    }
}

impl SeenVersion {
    /// Returns whether a stream that began at this version may still be taken up.
    fn is_recent(&self, now_us: u64) -> bool {
        self.removed_us
            .is_none_or(|removed_us| now_us < removed_us + STREAM_LIFE_US)
    }
}
