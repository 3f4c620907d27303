//! `/healthz`, `/readyz`, `/status` and `/metrics`.

use bytes::Bytes;
use serde_json::json;

use super::shared::SharedState;
use crate::call::Reply;
use knapweeddale_runtime::Clock;

impl<C: Clock> SharedState<C> {
    /// Reports that the process answers requests.
    pub fn health_response(&self) -> Reply {
        Reply::json(200, &json!({"healthy": true}))
    }

    /// Reports whether the load balancer should send calls, and the reasons if it should not.
    pub fn readiness_response(&self) -> Reply {
        let reasons = self.unready_reasons();
        let status = if reasons.is_empty() { 200 } else { 503 };
        let body = json!({"ready": reasons.is_empty(), "reasons": reasons});
        Reply::json(status, &body)
    }

    /// Returns the state of this VM, for the operator command.
    pub fn state_response(&self) -> Reply {
        let status = self.status.borrow().clone();
        let members = status.view.members.iter();
        let body = json!({
            "vm": self.vm.as_str(),
            "ready": self.unready_reasons().is_empty(),
            "epoch": status.view.epoch.0,
            "revision": status.fleet.revision.0,
            "members": members.map(|member| member.vm.as_str()).collect::<Vec<_>>(),
        });
        Reply::json(200, &body)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn metrics_response(&self) -> Reply {
        self.metrics.set_peer_counts(&self.peer_counts.snapshot());
        match self.metrics.to_text() {
            Ok(text) => Reply {
                status: 200,
                headers: vec![(
                    "content-type".to_owned(),
                    "text/plain; version=0.0.4".to_owned(),
                )],
                body: Bytes::from(text),
            },
            Err(error) => Reply::json(500, &json!({"error": error.to_string()})),
        }
    }
}
