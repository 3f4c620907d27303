//! The entry VM's side of claims on budgets.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::Input;
use knapweeddale_core::origins::choose_holders;
use knapweeddale_core::usage::{ClaimAnswer, ClaimResult, UsageClaim};
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::asked::AskedVms;
use super::proxy::ClaimProxyRpcClient;
use super::rpc::{RecordedClaim, UsageRpcClient};
use crate::control::InputSender;
use crate::metrics::Metrics;
use crate::storage_vms::{RequestError, StorageVms};

/// What requests are about, in log lines.
const PURPOSE: &str = "usage";

/// Storage VMs beside the needed ones that are asked if one of those does not answer.
const SPARE_VMS: usize = 3;

/// Time after which another storage VM is asked in place of one that has not answered.
const HEDGE_DELAY: Duration = Duration::from_millis(120);

/// Time limit for another entry VM to pass a claim on.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts to send a report to a storage VM, over about ten seconds: longer than its process takes
/// to start again.
const REPORT_ATTEMPTS: u32 = 6;

/// Delay before the second of these attempts; it doubles with each further one.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(300);

/// The part of a storage VM in a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// It decides about the turn.
    Decides,
    /// It keeps a copy.
    Copies,
}

/// A claim and the VMs that may pass it on.
#[derive(Debug)]
pub(crate) struct ClaimRequest {
    pub claim: Box<UsageClaim>,
    pub proxies: SmallVec<[Arc<str>; 2]>,
}

/// Sends claims to storage VMs and returns the answers as inputs.
#[derive(Debug)]
pub(crate) struct UsageClient {
    pub storage: Arc<StorageVms>,
    pub tolerated_losses: usize,
    pub inputs: InputSender,
    pub metrics: Arc<Metrics>,
    /// The storage VMs that get reports.
    pub asked: AskedVms,
    /// The VMs that passed claims on, and pass on the reports.
    pub asked_proxies: AskedVms,
}

impl UsageClient {
    /// Sends claims concurrently until the control thread ends.
    pub async fn run(self: Arc<Self>, mut claims: mpsc::Receiver<ClaimRequest>) {
        while let Some(request) = claims.recv().await {
            let client = Arc::clone(&self);
            tokio::spawn(async move { client.handle(request).await });
        }
    }

    /// Sends one claim and the answer to the core.
    async fn handle(&self, request: ClaimRequest) {
        let claim: Arc<UsageClaim> = Arc::from(request.claim);
        if claim.is_report() {
            self.report(&claim).await;
            return;
        }
        let program = claim.program.clone();
        let is_cut_off = self.storage.len() > 0 && !self.storage.has_living();
        let mut result = match is_cut_off {
            true => ClaimResult::Unanswered,
            false => self.record(Arc::clone(&claim)).await,
        };
        for address in &request.proxies {
            if result != ClaimResult::Unanswered {
                break;
            }
            self.asked_proxies.add(&program, address);
            result = pass_on(address, &claim).await;
        }
        self.metrics.count_claim(match &result {
            ClaimResult::Recorded(answer) if answer.is_granted => "granted",
            ClaimResult::Recorded(_) => "recorded",
            ClaimResult::Uncounted => "uncounted",
            ClaimResult::Unanswered => "unanswered",
        });
        self.inputs
            .send_input(Input::Claimed { program, result })
            .await;
    }

    /// Reports what ended turns have used to all VMs that may have recorded a claim on the budget.
    ///
    /// Those that do not answer may have recorded it nevertheless, so that they are asked again; a
    /// later claim that reaches them first replaces the report.
    pub async fn report(&self, claim: &Arc<UsageClaim>) {
        for address in self.asked_proxies.of(&claim.program) {
            pass_on(&address, claim).await;
        }
        let mut receivers = self.asked.of(&claim.program);
        if receivers.is_empty() {
            return;
        }
        let mut delay = MIN_REPORT_DELAY;
        for attempt in 0..REPORT_ATTEMPTS {
            if attempt > 0 {
                sleep(delay).await;
                delay *= 2;
            }
            let requests = receivers
                .into_iter()
                .map(|address| self.report_to(address, claim));
            receivers = join_all(requests).await.into_iter().flatten().collect();
            if receivers.is_empty() {
                self.metrics.count_claim("reported");
                return;
            }
        }
        self.metrics.count_claim("not_reported");
        tracing::warn!(program = %claim.program, vms = receivers.len(),
            "usage: use not reported, storage VMs do not answer");
    }

    /// Reports to one storage VM; returns its address if it does not answer. One that is known to be
    /// lost is not asked, so that reports do not take the place of other requests.
    async fn report_to(&self, address: Arc<str>, claim: &Arc<UsageClaim>) -> Option<Arc<str>> {
        if self.storage.is_lost(&address) {
            return Some(address);
        }
        // The part matters to claims of turns only.
        let request = self.record_at(Arc::clone(&address), Part::Copies, claim);
        let (_, answer) = request.await;
        matches!(answer, Err(RequestError::Failed)).then_some(address)
    }

    /// Has enough storage VMs record a claim; the first by rendezvous hashing decides.
    pub async fn record(&self, claim: Arc<UsageClaim>) -> ClaimResult {
        let vms = self.storage.len();
        if vms == 0 {
            return ClaimResult::Uncounted;
        }
        let needed = vms.min(self.tolerated_losses + 1);
        let holders = choose_holders(
            &holder_key(&claim),
            &self.storage.living(),
            needed + SPARE_VMS,
        );
        let mut holders = holders.into_iter();
        let mut requests = FuturesUnordered::new();
        for address in holders.by_ref().take(needed) {
            let part = match requests.is_empty() {
                true => Part::Decides,
                false => Part::Copies,
            };
            requests.push(self.record_at(address, part, &claim));
        }
        let mut answers = Answers::default();
        let mut is_hedged = false;
        while !answers.are_enough(needed) {
            let answer = match timeout(HEDGE_DELAY, requests.next()).await {
                Ok(Some(answer)) => answer,
                Ok(None) => break,
                Err(_) if is_hedged => continue,
                Err(_) => {
                    is_hedged = true;
                    if let Some(address) = holders.next() {
                        let part = answers.missing_part();
                        requests.push(self.record_at(address, part, &claim));
                    }
                    continue;
                }
            };
            let failed = answers.add(answer);
            if let (Some(part), Some(address)) = (failed, holders.next()) {
                requests.push(self.record_at(address, part, &claim));
            }
        }
        answers.conclude(needed)
    }

    /// Sends a claim to one storage VM.
    async fn record_at(
        &self,
        address: Arc<str>,
        part: Part,
        claim: &Arc<UsageClaim>,
    ) -> (Part, Result<RecordedClaim, RequestError>) {
        if !claim.is_report() {
            self.asked.add(&claim.program, &address);
        }
        let claim = UsageClaim::clone(claim);
        let record = |client: Arc<HttpClient>| async move {
            client.claim(claim, part == Part::Copies).await
        };
        let answer = self.storage.try_request(PURPOSE, &address, record).await;
        (part, answer)
    }
}

/// Has another entry VM pass a claim on.
async fn pass_on(address: &str, claim: &UsageClaim) -> ClaimResult {
    let client = HttpClient::builder()
        .request_timeout(PASS_ON_TIMEOUT)
        .build(format!("http://{address}"));
    let passed = match client {
        Ok(client) => client.pass_on(claim.clone()).await,
        Err(error) => Err(error),
    };
    passed.unwrap_or_else(|error| {
        tracing::debug!(address, "usage: claim not passed on ({error})");
        ClaimResult::Unanswered
    })
}

/// Returns the text by which the storage VMs of a program are chosen.
fn holder_key(claim: &UsageClaim) -> String {
    format!("{}/{}", claim.program.account, claim.program.name)
}

/// The answers to one claim.
#[derive(Debug, Default)]
struct Answers {
    decision: Option<RecordedClaim>,
    copies: Vec<RecordedClaim>,
    has_earlier_build: bool,
    has_failed: bool,
}

impl Answers {
    /// Adds an answer; returns the part of the VM if it did not record the claim.
    fn add(&mut self, (part, answer): (Part, Result<RecordedClaim, RequestError>)) -> Option<Part> {
        match answer {
            Ok(recorded) if part == Part::Decides && self.decision.is_none() => {
                self.decision = Some(recorded);
                return None;
            }
            Ok(recorded) => {
                self.copies.push(recorded);
                return None;
            }
            Err(RequestError::UnknownMethod) => self.has_earlier_build = true,
            Err(RequestError::Failed) => self.has_failed = true,
        }
        Some(part)
    }

    /// Returns the part that is missing if a VM does not answer.
    fn missing_part(&self) -> Part {
        match self.decision {
            Some(_) => Part::Copies,
            None => Part::Decides,
        }
    }

    fn are_enough(&self, needed: usize) -> bool {
        self.decision.is_some() && self.copies.len() + 1 >= needed
    }

    fn conclude(self, needed: usize) -> ClaimResult {
        let has_enough = self.are_enough(needed);
        let has_recorded = self.decision.is_some() || !self.copies.is_empty();
        let Some(decision) = self.decision.filter(|_| has_enough) else {
            return match self.has_earlier_build && !has_recorded && !self.has_failed {
                true => ClaimResult::Uncounted,
                false => ClaimResult::Unanswered,
            };
        };
        let mut answer = ClaimAnswer {
            is_granted: decision.is_granted,
            claims: decision.claims,
            ..ClaimAnswer::default()
        };
        for copy in self.copies {
            answer.add(copy.claims);
        }
        ClaimResult::Recorded(Box::new(answer))
    }
}
