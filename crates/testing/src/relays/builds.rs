//! VMs whose builds write and read summaries in another layout than the others.

use std::sync::Arc;

use knapweeddale_core::{PeerEvent, Summary};

use super::RelayFleet;

/// What the summaries of another build lack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherBuild {
    /// The earliest layout: they tell nothing of limited upstreams, links and shared load.
    Earliest,
    /// They cannot be read by the others, nor those of the others there.
    Unreadable,
}

/// # Builds
impl RelayFleet {
    /// Lets a VM run another build, or that of the others.
    pub fn set_build(&mut self, vm: usize, build: Option<OtherBuild>) {
        match build {
            Some(build) => self.builds.insert(vm, build),
            None => self.builds.remove(&vm),
        };
    }

    /// Returns what a VM reads of a summary of another one.
    pub(super) fn receive_summary(
        &self,
        (from, to): (usize, usize),
        summary: Summary,
    ) -> PeerEvent {
        let builds = [self.builds.get(&from), self.builds.get(&to)];
        if builds.contains(&Some(&OtherBuild::Unreadable)) && builds[0] != builds[1] {
            let address = Arc::from(summary.address);
            return PeerEvent::Unreadable { address };
        }
        let is_earliest = builds.contains(&Some(&OtherBuild::Earliest));
        PeerEvent::Summary(Box::new(match is_earliest {
            true => to_earliest(summary),
            false => summary,
        }))
    }
}

/// Removes what the earliest layout lacks.
fn to_earliest(summary: Summary) -> Summary {
    Summary {
        limits: Vec::new(),
        uses_limited: false,
        contact: None,
        is_cut_off: false,
        lost_links: Vec::new(),
        placed: Vec::new(),
        demand: Vec::new(),
        reports: Vec::new(),
        paces: Vec::new(),
        omits_placed: true,
        ..summary
    }
}
