//! What traffic threads may know of the control state.

use std::sync::Arc;

use knapweeddale_core::tables::View;
use knapweeddale_core::{AccountName, Control, FleetConfig, KeyId};
use tokio::sync::watch;

/// A copy of what changes rarely; the control thread replaces it on changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Status {
    /// The configuration in force.
    pub fleet: Arc<FleetConfig>,
    /// The view in force.
    pub view: Arc<View>,
    /// Whether this VM has handed over everything and may end.
    pub has_left: bool,
}

/// Reads the latest status.
pub(crate) type StatusReader = watch::Receiver<Status>;

impl Status {
    /// Returns whether the status is still that of the control value.
    pub fn is_current(&self, control: &Control) -> bool {
        let tables = control.tables();
        self.fleet.revision == tables.fleet.revision
            && self.view.epoch == tables.view.epoch
            && self.has_left == tables.membership.departure.has_left
    }

    /// Copies the status from the control value.
    pub fn from_control(control: &Control) -> Self {
        let tables = control.tables();
        Self {
            fleet: Arc::clone(&tables.fleet),
            view: Arc::new(tables.view.clone()),
            has_left: tables.membership.departure.has_left,
        }
    }

    /// Returns the account that a key belongs to, whether or not it is valid.
    pub fn account_for_key(&self, key: &KeyId) -> Option<&AccountName> {
        let mut accounts = self.fleet.accounts.iter();
        let account = accounts.find(|account| account.keys.iter().any(|row| row.id == *key));
        account.map(|account| &account.name)
    }
}
