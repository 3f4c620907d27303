//! Simulates the network and the store that receive the relays' outputs.

use std::sync::Arc;

use knapweeddale_core::{Input, Output, PeerEvent, Snapshot, SourceRequest, Summary};

use super::RelayFleet;

/// One-way latency between two VMs, and between a VM and an upstream.
pub(super) const LINK_US: u64 = 1_000;

/// Time from a request to the store's response.
const STORE_US: u64 = 5_000;

/// # Outputs
impl RelayFleet {
    /// Delivers an output of a VM to its receiver.
    ///
    /// # Panics
    ///
    /// Panics on an output that only owners produce; VMs under `Coordination::Peers` own nothing.
    pub(super) fn handle_output(&mut self, vm: usize, output: Output) {
        assert!(
            !Self::is_owner_output(&output),
            "vm-{vm} produced an output reserved for owners: {output:?}"
        );
        match output {
            Output::Source(request) => self.query_store(vm, request),
            Output::Claim { claim, .. } => self.send_claim(vm, &claim),
            Output::SendSummary { address, summary } => self.send_summary(vm, &address, *summary),
            Output::RequestSnapshot {
                address,
                with_programs,
            } => self.request_snapshot(vm, &address, with_programs),
            Output::Dispatch(dispatch) => self.run_attempt(vm, dispatch),
            Output::CancelAttempt(attempt) => self.cancel_attempt(attempt),
            Output::Refused(refusal) => {
                self.open.remove(&refusal.call);
                self.refusals.push((self.now_us, refusal));
            }
            Output::Answered(answered) => {
                self.answered.insert(answered.call);
            }
            Output::Probe { upstream, proxy } => self.probe_upstream(vm, upstream, proxy),
            _ => {}
        }
    }

    /// Sends a request to the store and schedules its response, if it has one.
    fn query_store(&mut self, vm: usize, request: SourceRequest) {
        let name = self.vms[vm].name.clone();
        if let Some(event) = self.store.handle_request((vm, &name), request, self.now_us) {
            self.deliver(vm, STORE_US, Input::Source(event));
        }
    }

    /// Returns the VM at `address` if it is up and reachable from `vm`.
    pub(super) fn find_reachable(&self, vm: usize, address: &str) -> Option<usize> {
        let to = self
            .vms
            .iter()
            .position(|row| row.name.as_str() == address)?;
        let is_up = self.vms[to].control.is_some();
        (is_up && !self.interrupted_links.contains(&(vm, to))).then_some(to)
    }

    /// Sends a summary to another VM; it is lost if that VM is down or unreachable.
    fn send_summary(&mut self, vm: usize, address: &str, summary: Summary) {
        if let Some(to) = self.find_reachable(vm, address) {
            let event = self.receive_summary((vm, to), summary);
            self.deliver(to, LINK_US, Input::PeerEvent(event));
        }
    }

    /// Returns the snapshot of a VM; one of an older build leaves out what that does not know.
    fn snapshot_of(&self, vm: usize, with_programs: bool) -> Snapshot {
        let mut snapshot = self.control(vm).snapshot(self.now_us, with_programs);
        if !self.older_builds.contains(&vm) {
            return snapshot;
        }
        snapshot.evacuations = None;
        if let Some(fleet) = &mut snapshot.fleet {
            let fleet = Arc::make_mut(fleet);
            for account in &mut fleet.accounts {
                account.allowed_regions.clear();
            }
            for route in &mut fleet.host_routes {
                route.allowed_regions.clear();
            }
        }
        snapshot
    }

    /// Requests a snapshot of another VM's state.
    fn request_snapshot(&mut self, vm: usize, address: &str, with_programs: bool) {
        let sent_us = self.now_us;
        let event = match self.find_reachable(vm, address) {
            Some(to) => PeerEvent::Snapshot {
                sent_us,
                snapshot: Box::new(self.snapshot_of(to, with_programs)),
            },
            None => PeerEvent::SnapshotFailed,
        };
        self.deliver(vm, 2 * LINK_US, Input::PeerEvent(event));
    }
}
