//! From when a VM may act for what it took over.

use super::{Member, Tables, View};
use crate::config::{Coordination, CoreSettings};
use crate::ids::VmName;

/// # Takeover
///
/// An owner or home acts only under a lease, and for what it took over from
/// another VM only after a hand-over or the takeover wait.
impl Tables {
    /// Returns from when this VM may act for what it took over from another one.
    ///
    /// That is at once after the other one, on leaving, has handed everything
    /// over, and otherwise the takeover wait after this VM learned of the view.
    pub fn takeover_ready_us(&self, settings: &CoreSettings, from: &VmName) -> u64 {
        self.wait_end_us(settings, from, self.membership.view_since_us)
    }

    /// Returns from when this VM may act for something, or `None` if it does not own it.
    ///
    /// `owner` returns the owner in a view. It is asked for the view in force
    /// and for those that were in force within the takeover wait, so that a
    /// second view change does not cut the wait of the first one short.
    pub fn may_act_from_us<'a>(
        &'a self,
        settings: &CoreSettings,
        owner: impl Fn(&'a View) -> Option<&'a VmName>,
    ) -> Option<u64> {
        let me = self
            .view
            .member_with_incarnation(&settings.vm, settings.incarnation)?;
        if owner(&self.view) != Some(&me.vm) {
            return None;
        }
        let mut since_us = self.membership.view_since_us;
        let mut owned_by = &me.vm;
        let mut ready_us = 0;
        for past in self.membership.past_views.iter().rev() {
            let Some(before) = owner(&past.view) else {
                continue;
            };
            let is_me = *before == me.vm && has_same_membership(&past.view, me);
            if before != owned_by && !is_me {
                ready_us = ready_us.max(self.wait_end_us(settings, before, since_us));
            } else if *before == me.vm && !is_me {
                ready_us = ready_us.max(since_us + settings.takeover_wait_us());
            }
            owned_by = before;
            since_us = past.since_us;
        }
        if !self.membership.is_founder {
            ready_us = ready_us.max(since_us + settings.takeover_wait_us());
        }
        Some(ready_us)
    }

    /// Returns whether this VM may act as owner or home of something now.
    pub fn may_act_for<'a>(
        &'a self,
        settings: &CoreSettings,
        now_us: u64,
        owner: impl Fn(&'a View) -> Option<&'a VmName>,
    ) -> bool {
        self.lease.is_valid(now_us)
            && self
                .may_act_from_us(settings, owner)
                .is_some_and(|from_us| from_us <= now_us)
    }

    /// Returns whether this VM can no longer learn of withdrawn keys.
    pub fn is_isolated(&self, settings: &CoreSettings, now_us: u64) -> bool {
        let (age_us, limit_ms) = match settings.coordination {
            Coordination::Owners => (
                self.lease.age_us(now_us),
                settings.lease_ms + settings.isolation_ms,
            ),
            Coordination::Peers => (
                self.source.config.age_us(now_us),
                settings.max_config_age_ms,
            ),
        };
        age_us.is_none_or(|age_us| age_us > limit_ms * 1_000)
    }

    /// Returns the end of the wait for one VM, counted from a view change.
    fn wait_end_us(&self, settings: &CoreSettings, from: &VmName, since_us: u64) -> u64 {
        let departed = self.membership.departed.get(from);
        let handed_over_us = departed
            .filter(|departed| departed.since_us >= since_us)
            .and_then(|departed| departed.handed_over_us);
        handed_over_us.unwrap_or(since_us + settings.takeover_wait_us())
    }
}

/// Returns whether a view names the same process and membership.
fn has_same_membership(view: &View, me: &Member) -> bool {
    view.member_with_incarnation(&me.vm, me.incarnation)
        .is_some_and(|member| member.joined == me.joined)
}
