//! Gets the turns of a lost disk back from other VMs, and hands turns over to them.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use knapweeddale_core::turns::StoredTurn;

use super::rpc::{AppendAnswer, TurnRpcClient, WireTurn};
use super::store::{AppendError, TurnStore};

/// Time limit for one page of turns.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Turns that are handed over in one request.
const HAND_OVER_TURNS: usize = 64;

/// Gets the turns of which this VM had a copy from the VM at `address`; returns their number.
///
/// # Errors
///
/// Fails if the other VM does not answer or the turns cannot be stored.
pub(crate) async fn recover(
    store: &Arc<TurnStore>,
    own_address: &str,
    address: &str,
) -> Result<usize, String> {
    let client = connect(address).map_err(|error| error.to_string())?;
    let mut from = 0;
    let mut count = 0;
    loop {
        let page = client.copies(own_address.to_owned(), from).await;
        let page = page.map_err(|error| error.to_string())?;
        count += page.turns.len();
        for turn in page.turns {
            match store.append(vec![StoredTurn::from(turn)]).await {
                Ok(()) => {}
                // Another VM may have the turn with its whole chain.
                Err(AppendError::Rejected(error)) => tracing::warn!("turns: skipped ({error})"),
                Err(error) => return Err(error.to_string()),
            }
        }
        match page.next {
            Some(next) if next > from => from = next,
            _ => return Ok(count),
        }
    }
}

/// Hands all turns of this VM over to the VM at `address`; returns their number.
///
/// # Errors
///
/// Fails if the other VM does not store all of them.
pub(crate) async fn hand_over(store: &TurnStore, address: &str) -> Result<usize, String> {
    let client = connect(address).map_err(|error| error.to_string())?;
    let turns = store.turns().all();
    for part in turns.chunks(HAND_OVER_TURNS) {
        let part = part.iter().map(WireTurn::from).collect();
        match client.append(part).await {
            Ok(AppendAnswer::Stored) => {}
            Ok(AppendAnswer::LacksPrevious) => {
                return Err("a turn lacks the one before it".to_owned());
            }
            Err(error) => return Err(error.to_string()),
        }
    }
    Ok(turns.len())
}

/// Creates a client of the VM at `address`.
fn connect(address: &str) -> Result<HttpClient, ClientError> {
    HttpClient::builder()
        .request_timeout(PAGE_TIMEOUT)
        .build(format!("http://{address}"))
}
