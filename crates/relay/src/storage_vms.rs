//! The storage VMs as an entry VM knows them: their list, and which of them answer.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::Input;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::control::InputSender;
use crate::storage_clients::StorageClients;

pub(crate) use crate::storage_clients::RequestError;

/// Probes beside those that are needed, in case one of them is not accepted.
const SPARE_PROBES: usize = 1;

/// Shortest and longest interval at which lost VMs are probed.
const PROBE_INTERVALS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(3)];

/// Shortest and longest interval at which the list is read while VMs are lost.
const READ_INTERVALS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(60)];

/// The list of storage VMs, as the control thread publishes it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct StorageList {
    /// Addresses, those in this VM's failure domain first.
    pub addresses: Vec<Arc<str>>,
    /// The last wish for the list that it answers.
    pub answered: u64,
    /// The last wish for which the store was asked in vain.
    pub failed: u64,
}

impl StorageList {
    /// Returns the last wish for the list for which the store was asked, with or without success.
    fn last_read(&self) -> u64 {
        self.answered.max(self.failed)
    }
}

/// The storage VMs that this VM may use.
#[derive(Debug)]
pub(crate) struct StorageVms {
    list: watch::Receiver<StorageList>,
    clients: StorageClients,
    inputs: InputSender,
    /// Number of the last wish for the list.
    wishes: AtomicU64,
}

/// # Construction
impl StorageVms {
    /// Creates the clients of the VMs that `list` names; `inputs` leads to the control thread, which
    /// reads the list.
    pub fn new(list: watch::Receiver<StorageList>, inputs: InputSender) -> Self {
        Self {
            list,
            clients: StorageClients::new(),
            inputs,
            wishes: AtomicU64::new(0),
        }
    }
}

/// # List
impl StorageVms {
    /// Returns the number of storage VMs.
    pub fn len(&self) -> usize {
        self.list.borrow().addresses.len()
    }

    /// Returns the addresses of all storage VMs, as far as they are known.
    pub fn listed(&self) -> Vec<Arc<str>> {
        self.list.borrow().addresses.clone()
    }

    /// Returns a reader of the list.
    pub fn list(&self) -> watch::Receiver<StorageList> {
        self.list.clone()
    }

    /// Waits until storage VMs are known, after the start of this VM.
    pub async fn wait_for_list(&self) {
        let mut list = self.list.clone();
        // Fails only after the control thread has ended; the last list is used then.
        let _ = list.wait_for(|list| !list.addresses.is_empty()).await;
    }

    /// Waits until storage VMs are known, or until the store has answered or could not be read.
    async fn wait_for_first_read(&self) {
        if self.len() > 0 {
            return;
        }
        let mut list = self.list.clone();
        let number = self.request_list().await;
        let is_read = |list: &StorageList| !list.addresses.is_empty() || list.last_read() >= number;
        // Fails only after the control thread has ended; the last list is used then.
        let _ = list.wait_for(is_read).await;
    }

    /// Returns the addresses of all storage VMs, those that did not answer last.
    ///
    /// Waits for the list after the start of this VM, until the deadline at most.
    pub async fn addresses(&self, deadline: Instant) -> Vec<Arc<str>> {
        // Without a list in time there is no VM to use.
        let _ = timeout_at(deadline, self.wait_for_first_read()).await;
        let mut addresses = self.listed();
        self.clients.sort_by_health(&mut addresses);
        addresses
    }

    /// Returns whether the storage VM at an address is known to be lost.
    pub fn is_lost(&self, address: &str) -> bool {
        self.clients.is_lost(address)
    }

    /// Returns whether a storage VM is not known to be lost.
    pub fn has_living(&self) -> bool {
        let list = self.list.borrow();
        let mut addresses = list.addresses.iter();
        addresses.any(|address| !self.clients.is_lost(address))
    }

    /// Returns the addresses of the storage VMs that are not known to be lost; of all if none is.
    pub fn living(&self) -> Vec<Arc<str>> {
        let all = self.list.borrow().addresses.clone();
        let is_living = |address: &&Arc<str>| !self.clients.is_lost(address);
        let living: Vec<Arc<str>> = all.iter().filter(is_living).cloned().collect();
        if living.is_empty() { all } else { living }
    }

    /// Has the list read from the store; returns whether it is now as the store had it after this
    /// call. Ends when the store has answered or could not be read, or at the deadline.
    pub async fn read_list(&self, deadline: Instant) -> bool {
        let mut list = self.list.clone();
        let number = self.request_list().await;
        let read = list.wait_for(|list| list.last_read() >= number);
        match timeout_at(deadline, read).await {
            Ok(Ok(list)) => list.answered >= number,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Asks the control thread to read the list; returns the number of this wish.
    pub async fn request_list(&self) -> u64 {
        let number = self.wishes.fetch_add(1, Ordering::Relaxed) + 1;
        self.inputs
            .send_input(Input::ReadStorageVms { number })
            .await;
        number
    }
}

/// # Health
impl StorageVms {
    /// Returns how many storage VMs accept connections now, only those `allowed` if stated; stops
    /// when `needed` do.
    ///
    /// VMs that answered a moment ago count; others are probed. If too few answer, others may have
    /// taken their place, so that the list is read and they are tried.
    pub async fn count_reachable(
        &self,
        needed: usize,
        allowed: Option<&[Arc<str>]>,
        deadline: Instant,
    ) -> usize {
        let is_allowed = |address: &Arc<str>| allowed.is_none_or(|rows| rows.contains(address));
        let mut addresses = self.addresses(deadline).await;
        addresses.retain(is_allowed);
        let reachable = self.probe_until(&addresses, needed).await;
        if reachable >= needed || !self.read_list(deadline).await {
            return reachable;
        }
        let mut renewed = self.addresses(deadline).await;
        renewed.retain(is_allowed);
        if renewed == addresses {
            return reachable;
        }
        self.probe_until(&renewed, needed).await
    }

    /// Returns how many VMs at these addresses answer; stops when they are enough.
    async fn probe_until(&self, addresses: &[Arc<str>], needed: usize) -> usize {
        let mut unconfirmed = Vec::new();
        for address in addresses {
            if !self.clients.is_confirmed(address) {
                unconfirmed.push(Arc::clone(address));
            }
        }
        let mut reachable = addresses.len() - unconfirmed.len();
        let mut unconfirmed = unconfirmed.into_iter();
        let mut probes = FuturesUnordered::new();
        while reachable < needed {
            while probes.len() < needed + SPARE_PROBES
                && let Some(address) = unconfirmed.next()
            {
                probes.push(self.clients.probe(address));
            }
            let Some(is_reachable) = probes.next().await else {
                break;
            };
            reachable += usize::from(is_reachable);
        }
        reachable
    }

    /// Probes lost VMs and reads the list anew while some are lost, until the task is aborted.
    ///
    /// The intervals grow, since a VM that is gone for good stays in the list.
    pub async fn watch_lost(&self) {
        let [mut probe_interval, max_probe_interval] = PROBE_INTERVALS;
        let [mut read_interval, max_read_interval] = READ_INTERVALS;
        let mut read_due = Instant::now();
        let mut known: HashSet<Arc<str>> = HashSet::new();
        loop {
            let lost: HashSet<Arc<str>> = {
                let list = self.list.borrow();
                self.clients.lost_of(&list.addresses)
            };
            if lost.is_empty() {
                known.clear();
                self.clients.wait_for_loss().await;
                continue;
            }
            if !lost.is_subset(&known) {
                [probe_interval, _] = PROBE_INTERVALS;
                [read_interval, _] = READ_INTERVALS;
                read_due = read_due.min(Instant::now() + read_interval);
            }
            if read_due <= Instant::now() {
                self.request_list().await;
                read_due = Instant::now() + read_interval;
                read_interval = (read_interval * 2).min(max_read_interval);
            }
            let probes = lost.iter().cloned();
            join_all(probes.map(|address| self.clients.probe(address))).await;
            known = lost;
            tokio::select! {
                () = sleep(probe_interval) => {}
                () = self.clients.wait_for_loss() => {}
            }
            probe_interval = (probe_interval * 2).min(max_probe_interval);
        }
    }
}

/// # Requests
impl StorageVms {
    /// Sends a request to a VM; returns `None` and avoids the VM for a while if it fails.
    ///
    /// `purpose` is what the request is about, as a prefix of log lines.
    pub async fn request<T, F>(
        &self,
        purpose: &'static str,
        address: &Arc<str>,
        send: impl FnOnce(Arc<HttpClient>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        self.try_request(purpose, address, send).await.ok()
    }

    /// Does the same, and tells why it failed.
    pub async fn try_request<T, F>(
        &self,
        purpose: &'static str,
        address: &Arc<str>,
        send: impl FnOnce(Arc<HttpClient>) -> F,
    ) -> Result<T, RequestError>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        self.clients.request(purpose, address, None, send).await
    }

    /// Does the same as [`Self::request`], but waits for a late answer until a deadline, as long as
    /// the VM accepts connections.
    pub async fn request_until<T, F>(
        &self,
        purpose: &'static str,
        address: &Arc<str>,
        deadline: Instant,
        send: impl FnOnce(Arc<HttpClient>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let deadline = Some(deadline);
        let answer = self.clients.request(purpose, address, deadline, send).await;
        answer.ok()
    }
}
