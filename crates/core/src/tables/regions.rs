//! Regions in which a call may run.

use smallvec::SmallVec;

use crate::ids::RegionName;

/// The regions in which a call may run, since its route or its account restricts them.
///
/// It may be empty: no region satisfies both.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedRegions(SmallVec<[RegionName; 2]>);

impl AllowedRegions {
    /// Combines the regions of a route and of an account; an empty list restricts nothing.
    ///
    /// Returns `None` if neither restricts the regions.
    pub fn of(route: &[RegionName], account: &[RegionName]) -> Option<Self> {
        let allowed = match (route.is_empty(), account.is_empty()) {
            (true, true) => return None,
            (true, false) => account.iter().cloned().collect(),
            (false, true) => route.iter().cloned().collect(),
            (false, false) => {
                let both = route.iter().filter(|region| account.contains(region));
                both.cloned().collect()
            }
        };
        Some(Self(allowed))
    }

    /// Returns whether a region is allowed; an unknown one is not.
    pub fn contains(&self, region: Option<&RegionName>) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }

    /// Returns whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
