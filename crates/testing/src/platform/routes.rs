//! HTTP routes of the platform fake.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::Responder;
use rocket::serde::json::Json;
use rocket::{Route, State, get, put, routes};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::objects::{Fault, Objects, Versioned, VmRow};

/// Maximum size of an object's value; a larger one is refused with 413.
const MAX_VALUE_BYTES: u64 = 1_000_000;

/// Returns all routes.
pub(super) fn all() -> Vec<Route> {
    routes![get_object, put_object, list_objects, list_vms]
}

/// Version that a write expects the object to have, from the header `if-version`.
struct IfVersion(u64);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for IfVersion {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let version = request.headers().get_one("if-version");
        match version.and_then(|text| text.parse().ok()) {
            Some(version) => Outcome::Success(Self(version)),
            None => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

/// Response with an object's value as body and its version in the header `version`.
#[derive(Responder)]
struct ObjectBody {
    value: Vec<u8>,
    version: Header<'static>,
}

impl From<Versioned> for ObjectBody {
    fn from((version, value): Versioned) -> Self {
        Self {
            value,
            version: Header::new("version", version.to_string()),
        }
    }
}

/// Counts a request and applies the faults that precede its handling.
async fn begin_request(objects: &Objects) -> Result<(), Status> {
    objects.record_request();
    match objects.fault() {
        Fault::Down => Err(Status::ServiceUnavailable),
        Fault::Slow { wait_ms } => {
            sleep(Duration::from_millis(wait_ms)).await;
            Ok(())
        }
        _ => Ok(()),
    }
}

#[get("/objects/<key..>?<after>&<wait_ms>")]
async fn get_object(
    key: PathBuf,
    after: Option<u64>,
    wait_ms: Option<u64>,
    objects: &State<Arc<Objects>>,
) -> Result<ObjectBody, Status> {
    begin_request(objects).await?;
    let key = key.to_string_lossy();
    let Some(after) = after else {
        return objects.get(&key).map(Into::into).ok_or(Status::NotFound);
    };
    if objects.fault() == Fault::UnansweredWatch {
        std::future::pending::<()>().await;
    }
    let wait = Duration::from_millis(wait_ms.unwrap_or(0));
    let newer = timeout(wait, wait_newer(objects, &key, after)).await;
    newer.map(Into::into).map_err(|_| Status::NoContent)
}

/// Waits until the version of an object is greater than `after`.
async fn wait_newer(objects: &Objects, key: &str, after: u64) -> Versioned {
    let mut changed = objects.subscribe();
    loop {
        match objects.get(key) {
            Some(object) if object.0 > after => return object,
            _ => {}
        }
        if changed.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

#[put("/objects/<key..>", data = "<body>")]
async fn put_object(
    key: PathBuf,
    expected: IfVersion,
    body: Data<'_>,
    objects: &State<Arc<Objects>>,
) -> Result<(Status, Json<Value>), Status> {
    begin_request(objects).await?;
    let value = body.open(MAX_VALUE_BYTES.bytes()).into_bytes().await;
    let value = value.map_err(|_| Status::BadRequest)?;
    if !value.is_complete() {
        return Err(Status::PayloadTooLarge);
    }
    let written = objects.put(&key.to_string_lossy(), value.into_inner(), expected.0);
    if objects.fault() == Fault::DropResponses {
        return Err(Status::GatewayTimeout);
    }
    Ok(match written {
        Ok(version) => (Status::Ok, Json(json!({ "version": version }))),
        Err(version) => (Status::Conflict, Json(json!({ "version": version }))),
    })
}

#[get("/objects?<prefix>")]
async fn list_objects(
    prefix: &str,
    objects: &State<Arc<Objects>>,
) -> Result<Json<Vec<Value>>, Status> {
    begin_request(objects).await?;
    let entries = objects.with_prefix(prefix).into_iter();
    Ok(Json(
        entries
            .map(|(key, version, _)| json!({ "key": key, "version": version }))
            .collect(),
    ))
}

#[get("/vms")]
async fn list_vms(objects: &State<Arc<Objects>>) -> Result<Json<Vec<VmRow>>, Status> {
    begin_request(objects).await?;
    Ok(Json(objects.vms()))
}
