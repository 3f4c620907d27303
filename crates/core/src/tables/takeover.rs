//! Time from which a VM may act for what it took over from another one.

use super::{Member, Tables, View};
use crate::config::{Coordination, CoreSettings};
use crate::ids::VmName;

/// # Takeover
///
/// An owner or home acts only under a lease, and for what it took over from another VM only after
/// a hand-over or the takeover wait.
impl Tables {
    /// Returns the time from which this VM may act for what it took over from another one.
    ///
    /// If the other VM left and handed everything over, that is the time of the hand-over.
    /// Otherwise it is the end of the takeover wait, which starts when this VM learned of the view.
    pub fn takeover_ready_us(&self, settings: &CoreSettings, from: &VmName) -> u64 {
        self.wait_end_us(settings, from, self.membership.view_since_us)
    }

    /// Returns the time from which this VM may act as owner, or `None` if it is not the owner.
    ///
    /// `owner` returns the owner according to a view. It is called for the view in force and for
    /// those in force within the takeover wait, so that a second view change does not shorten the
    /// wait after the first one.
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
        let mut later_owner = &me.vm;
        let mut ready_us = 0;
        for past in self.membership.past_views.iter().rev() {
            let Some(earlier_owner) = owner(&past.view) else {
                continue;
            };
            let is_me = *earlier_owner == me.vm && has_same_membership(&past.view, me);
            if earlier_owner != later_owner && !is_me {
                ready_us = ready_us.max(self.wait_end_us(settings, earlier_owner, since_us));
            } else if *earlier_owner == me.vm && !is_me {
                ready_us = ready_us.max(since_us + settings.takeover_wait_us());
            }
            later_owner = earlier_owner;
            since_us = past.since_us;
        }
        if !self.membership.is_founder {
            ready_us = ready_us.max(since_us + settings.takeover_wait_us());
        }
        Some(ready_us)
    }

    /// Returns whether this VM may act as owner or home now.
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

    /// Returns whether this VM has been unable to learn of withdrawn keys for too long.
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

    /// Returns the end of the wait for `from` after a view change at `since_us`.
    fn wait_end_us(&self, settings: &CoreSettings, from: &VmName, since_us: u64) -> u64 {
        let departed = self.membership.departed.get(from);
        let handed_over_us = departed
            .filter(|departed| departed.since_us >= since_us)
            .and_then(|departed| departed.handed_over_us);
        handed_over_us.unwrap_or(since_us + settings.takeover_wait_us())
    }
}

/// Returns whether a view contains the same incarnation with the same membership.
fn has_same_membership(view: &View, me: &Member) -> bool {
    view.member_with_incarnation(&me.vm, me.incarnation)
        .is_some_and(|member| member.joined == me.joined)
}
