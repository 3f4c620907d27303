//! Sends the core's requests to the platform's store.

mod budgets;
mod registry;

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join;
use knapweeddale_core::tables::BudgetRecord;
use knapweeddale_core::{
    Evacuations, Input, SourceEvent, SourceRequest, SourceRequestKind, UpstreamList,
};
use knapweeddale_runtime::Clock;
use knapweeddale_store::StoreError;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::adapter::FleetStore;
use crate::control::InputSender;
use crate::metrics::Metrics;

pub(crate) use budgets::RecordCache;
pub(crate) use registry::{Registration, Role, keeper_addresses, register};

/// Time limit for a request; a slow store answers within a quarter of a second.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time limit for a registration, which reads the list of all VMs page by page; the core repeats it
/// after 2 s.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Time limit for reading the evacuations. It is shorter than that for the list, which is used
/// without them if they take longer.
const EVACUATIONS_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the core's requests to the store and returns the answers as inputs.
#[derive(Debug)]
pub(crate) struct SourceClient<S, C> {
    pub store: Arc<S>,
    pub clock: C,
    pub inputs: InputSender,
    pub metrics: Arc<Metrics>,
    pub registration: Registration,
    /// Whether the settings name other VMs.
    pub has_seeds: bool,
    /// Cache of the budget records that this VM has written.
    pub budget_records: RecordCache,
}

impl<S: FleetStore, C: Clock> SourceClient<S, C> {
    /// Handles requests concurrently until the control thread ends.
    pub async fn run(self, mut requests: mpsc::Receiver<SourceRequest>) {
        let source = Arc::new(self);
        while let Some(request) = requests.recv().await {
            let source = Arc::clone(&source);
            tokio::spawn(async move { source.handle_request(request).await });
        }
    }

    /// Handles one request and sends the answer to the core.
    async fn handle_request(&self, request: SourceRequest) {
        match &request {
            SourceRequest::MarkStopped {
                program,
                budget_tokens,
            } => return budgets::record_stop(&*self.store, program, *budget_tokens).await,
            SourceRequest::Release { program, tokens } => {
                let records = &self.budget_records;
                let released = budgets::release(&*self.store, program, *tokens, records);
                return match timeout(STORE_TIMEOUT, released).await {
                    Ok(Ok(())) => tracing::debug!(%program, tokens, "budgets: tokens given back"),
                    Ok(Err(error)) => {
                        tracing::info!(%program, tokens, "budgets: tokens not given back ({error})");
                    }
                    Err(_) => tracing::info!(%program, tokens, "budgets: tokens not given back"),
                };
            }
            _ => {}
        }
        let part = source_part(&request);
        let purpose = purpose_label(&part);
        let sent_us = self.clock.now_us();
        let started = Instant::now();
        let limit = time_limit(&part);
        let answer = timeout(limit, self.send_request(request, sent_us)).await;
        let took = started.elapsed();
        let event = match answer {
            Ok(Ok(event)) => {
                self.metrics.observe_store_request(purpose, true, took);
                tracing::debug!(purpose, "source: answered");
                event
            }
            Ok(Err(error)) => {
                self.metrics.observe_store_request(purpose, false, took);
                tracing::debug!(purpose, "source: request failed ({error})");
                SourceEvent::Failed(part)
            }
            Err(_) => {
                self.metrics.observe_store_request(purpose, false, took);
                tracing::debug!(purpose, "source: request timed out after {limit:?}");
                SourceEvent::Failed(part)
            }
        };
        self.inputs.send_input(Input::Source(event)).await;
    }

    /// Reads the evacuations; `None` if the store does not answer in time, which must hold back the
    /// list no longer than that.
    async fn read_evacuations(&self) -> Option<Evacuations> {
        let started = Instant::now();
        let read = timeout(EVACUATIONS_TIMEOUT, self.store.read_evacuations()).await;
        let took = started.elapsed();
        let is_answered = matches!(read, Ok(Ok(_)));
        let purpose = "evacuations";
        self.metrics
            .observe_store_request(purpose, is_answered, took);
        match read {
            Ok(Ok(evacuations)) => return Some(evacuations),
            Ok(Err(error)) => tracing::debug!(purpose, "source: request failed ({error})"),
            Err(_) => tracing::debug!(purpose, "source: timed out after {EVACUATIONS_TIMEOUT:?}"),
        }
        None
    }

    /// Builds the event of a list with its evacuations; if only these were read, they are sent alone.
    async fn to_list_event(
        &self,
        sent_us: u64,
        list: Result<Arc<UpstreamList>, StoreError>,
        evacuations: Option<Evacuations>,
    ) -> Result<SourceEvent, StoreError> {
        match (list, evacuations) {
            (Err(error), Some(evacuations)) => {
                let event = SourceEvent::Evacuations(evacuations);
                self.inputs.send_input(Input::Source(event)).await;
                Err(error)
            }
            (list, evacuations) => Ok(SourceEvent::Upstreams {
                sent_us,
                list: list?,
                evacuations,
            }),
        }
    }

    /// Sends a request to the store and returns its answer.
    async fn send_request(
        &self,
        request: SourceRequest,
        sent_us: u64,
    ) -> Result<SourceEvent, StoreError> {
        match request {
            SourceRequest::Config => Ok(SourceEvent::Config {
                sent_us,
                fleet: self.store.read_config().await?,
            }),
            SourceRequest::Upstreams { with_evacuations } => {
                let evacuations = async {
                    match with_evacuations {
                        true => self.read_evacuations().await,
                        false => None,
                    }
                };
                let (list, evacuations) = join(self.store.read_upstreams(), evacuations).await;
                self.to_list_event(sent_us, list, evacuations).await
            }
            SourceRequest::Vms => {
                let registered = register(&*self.store, &self.registration, self.has_seeds).await?;
                let (keepers, relays): (Vec<_>, Vec<_>) = registered
                    .into_iter()
                    .partition(|vm| vm.role == Role::Storage);
                Ok(SourceEvent::Vms {
                    relays: relays.into_iter().map(Registration::into_vm).collect(),
                    keepers: keepers.into_iter().map(Registration::into_keeper).collect(),
                })
            }
            // Handled by `handle_request`, since it has no answer.
            SourceRequest::MarkStopped { program, .. } | SourceRequest::Release { program, .. } => {
                Ok(SourceEvent::Failed(SourceRequestKind::Budget(program)))
            }
            SourceRequest::Losses => {
                let (losses, records) = budgets::recover(&*self.store).await?;
                Ok(SourceEvent::Losses { losses, records })
            }
            SourceRequest::Reserve {
                program,
                budget_tokens,
                taken_tokens,
                needed_tokens,
                has_record,
            } => {
                let new_record = BudgetRecord::new(program.clone(), budget_tokens, taken_tokens);
                let records = &self.budget_records;
                let tokens =
                    budgets::reserve(&*self.store, new_record, has_record, needed_tokens, records)
                        .await?;
                Ok(SourceEvent::Reserved { program, tokens })
            }
        }
    }
}

/// Returns the part of the store's data that a request concerns.
fn source_part(request: &SourceRequest) -> SourceRequestKind {
    match request {
        SourceRequest::Config => SourceRequestKind::Config,
        SourceRequest::Upstreams { .. } => SourceRequestKind::Upstreams,
        SourceRequest::Vms => SourceRequestKind::Vms,
        SourceRequest::Losses => SourceRequestKind::Losses,
        SourceRequest::Reserve { program, .. }
        | SourceRequest::MarkStopped { program, .. }
        | SourceRequest::Release { program, .. } => SourceRequestKind::Budget(program.clone()),
    }
}

/// Returns the time limit for a request.
fn time_limit(part: &SourceRequestKind) -> Duration {
    match part {
        SourceRequestKind::Vms => REGISTRATION_TIMEOUT,
        _ => STORE_TIMEOUT,
    }
}

/// Returns the label of a request in metrics and logs.
fn purpose_label(part: &SourceRequestKind) -> &'static str {
    match part {
        SourceRequestKind::Config => "config",
        SourceRequestKind::Upstreams => "upstreams",
        SourceRequestKind::Vms => "vms",
        SourceRequestKind::Losses => "losses",
        SourceRequestKind::Budget(_) => "budget",
    }
}
