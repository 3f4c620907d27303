//! A VM from which turns are copied, and what it offers.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::StorageVm;
use knapweeddale_core::turns::Offers;

use super::rpc::{Digests, OfferCursor, TurnRpcClient};
use crate::storage_clients::is_unknown_method;

/// Time limit for a list of offers or one page of turns.
pub(super) const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a VM offers, as far as its build can tell.
#[derive(Debug)]
pub(super) enum SourceOffers {
    /// Turns with the turns before them, and where the next offers start.
    Chains(Offers, OfferCursor),
    /// Digests of turns, of a build that always sends whole chains.
    Digests(Vec<u64>),
    /// Nothing, of a build that knows only which addresses its turns name.
    Unlisted,
}

/// A VM from which turns are copied.
#[derive(Debug)]
pub(crate) struct Source {
    pub(super) client: HttpClient,
    pub(super) address: String,
    pub(super) offers: SourceOffers,
    /// Addresses of the VMs that did not answer when it was asked.
    pub(super) lost: Vec<Arc<str>>,
}

impl Source {
    /// Asks the VM at `address` what it offers to the VM `asking`.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer.
    pub async fn list(
        address: &str,
        asking: &StorageVm,
        lost: Vec<Arc<str>>,
        cursor: Option<OfferCursor>,
    ) -> Result<Self, ClientError> {
        let client = connect(address, PAGE_TIMEOUT)?;
        let offers = list_offers(&client, asking, &lost, cursor).await?;
        Ok(Self {
            client,
            address: address.to_owned(),
            offers,
            lost,
        })
    }
}

/// Asks a VM for its offers in the newest way that its build knows.
async fn list_offers(
    client: &HttpClient,
    asking: &StorageVm,
    lost: &[Arc<str>],
    cursor: Option<OfferCursor>,
) -> Result<SourceOffers, ClientError> {
    let answer = client.offered_chains(asking.clone(), lost.to_vec(), cursor);
    match answer.await {
        Ok(offers) => {
            let cursor = offers.cursor;
            return Ok(SourceOffers::Chains(offers.into(), cursor));
        }
        Err(error) if is_unknown_method(&error) => {}
        Err(error) => return Err(error),
    }
    match client.offers(asking.clone(), lost.to_vec()).await {
        Ok(Digests(offers)) => Ok(SourceOffers::Digests(offers)),
        Err(error) if is_unknown_method(&error) => Ok(SourceOffers::Unlisted),
        Err(error) => Err(error),
    }
}

/// Creates a client of the VM at `address`.
pub(super) fn connect(address: &str, limit: Duration) -> Result<HttpClient, ClientError> {
    HttpClient::builder()
        .request_timeout(limit)
        .build(format!("http://{address}"))
}
