//! The part of the control state that is published to traffic threads.

use std::sync::Arc;

use knapweeddale_core::tables::View;
use knapweeddale_core::{AccountName, Control, FleetConfig, KeyId};
use tokio::sync::watch;

/// A copy of control state that changes rarely; the control thread replaces it on a change.
#[derive(Debug, Clone, Default)]
pub(crate) struct Status {
    /// The configuration in force; its revision is 0 until the first one arrives.
    pub fleet: Arc<FleetConfig>,
    /// The view in force; its epoch is 0 until the first one arrives.
    pub view: Arc<View>,
    /// Whether this VM has handed over all its state, so that the process may end.
    pub has_left: bool,
}

/// Reads the latest status.
pub(crate) type StatusReader = watch::Receiver<Status>;

impl Status {
    /// Returns whether the status still matches the control state.
    pub fn is_current(&self, control: &Control) -> bool {
        let tables = control.tables();
        self.fleet.revision == tables.fleet.revision
            && self.view.epoch == tables.view.epoch
            && self.has_left == tables.membership.departure.has_left
    }

    /// Copies the status from the control state.
    pub fn from_control(control: &Control) -> Self {
        let tables = control.tables();
        Self {
            fleet: Arc::clone(&tables.fleet),
            view: Arc::new(tables.view.clone()),
            has_left: tables.membership.departure.has_left,
        }
    }

    /// Returns the account that a key belongs to, even if the key was withdrawn.
    pub fn account_for_key(&self, key: &KeyId) -> Option<&AccountName> {
        let mut accounts = self.fleet.accounts.iter();
        let account = accounts.find(|account| account.keys.iter().any(|row| row.id == *key));
        account.map(|account| &account.name)
    }
}
