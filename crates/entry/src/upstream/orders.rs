//! Orders to engines to load and unload models.

use std::time::Duration;

use knapweeddale_core::input::OrderResult;
use knapweeddale_core::output::{Order, OrderAction};
use knapweeddale_core::{Input, ModelName};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::UpstreamClient;
use crate::control::InputSender;
use knapweeddale_runtime::Clock;

/// Sends orders until the control thread ends.
///
/// `order_ms` is the maximum time that an order may be in flight.
pub(crate) async fn serve_orders<C: Clock>(
    client: UpstreamClient,
    clock: C,
    order_ms: u64,
    mut orders: mpsc::Receiver<Order>,
    inputs: InputSender,
) {
    let timeout = Duration::from_millis(order_ms);
    while let Some(order) = orders.recv().await {
        let (client, clock, inputs) = (client.clone(), clock.clone(), inputs.clone());
        tokio::spawn(async move {
            // A VM that was paused until its lease expired must not send earlier orders.
            let result = if clock.now_us() < order.valid_until_us {
                send_order(&client, &order, timeout).await
            } else {
                OrderResult::Unknown
            };
            let input = Input::OrderResult {
                upstream: order.upstream,
                token: order.token,
                result,
            };
            inputs.send_input(input).await;
        });
    }
}

/// Sends one order and waits for its result.
async fn send_order(client: &UpstreamClient, order: &Order, timeout: Duration) -> OrderResult {
    let url = format!("http://{}/orders", order.address);
    let sent = client
        .http_client()
        .post(url)
        .timeout(timeout)
        .json(&encode_order(order));
    match sent.send().await.map(|response| response.status()) {
        Ok(status) if status.is_success() => OrderResult::Done,
        Ok(reqwest::StatusCode::CONFLICT) => OrderResult::Stale,
        _ => OrderResult::Unknown,
    }
}

/// Encodes an order as JSON.
fn encode_order(order: &Order) -> Value {
    let body = |action: &str, model: &ModelName| {
        json!({
            "action": action,
            "model": model.as_str(),
            "token": { "epoch": order.token.epoch.0, "seq": order.token.seq },
        })
    };
    match &order.action {
        OrderAction::Load(model) => body("load", model),
        OrderAction::Unload(model) => body("unload", model),
    }
}
