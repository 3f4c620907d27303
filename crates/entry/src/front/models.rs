//! `GET /v1/models`.

use knapweeddale_core::ServiceKind;
use serde_json::json;

use super::shared::SharedState;
use crate::call::Reply;
use knapweeddale_runtime::Clock;

impl<C: Clock> SharedState<C> {
    /// Lists the models of the configuration in force.
    pub fn list_models(&self) -> Reply {
        let status = self.status.borrow();
        let models = status.fleet.services.iter().flat_map(|service| {
            let models = match &service.kind {
                ServiceKind::Engine(engine) => engine.models.as_slice(),
                ServiceKind::Plain => &[],
            };
            models.iter().map(|model| {
                json!({"id": model.as_str(), "object": "model", "owned_by": service.name.as_str()})
            })
        });
        let models: Vec<_> = models.collect();
        Reply::json(200, &json!({"object": "list", "data": models}))
    }
}
