//! A stand-in of the platform's store: lists, conditional writes and watches.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::ops::Bound;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::Json;

/// Time of an answer; the sheet of danzanorte says 4 ms.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Objects on one page of a list.
const PAGE_LEN: usize = 500;

#[derive(Debug, Clone)]
struct Row {
    rev: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    rows: BTreeMap<(String, String), Row>,
    history: Vec<(u64, String, String, Option<Row>)>,
}

#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts an empty store at an address.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port for the store");
        let store = Arc::new(Self::default());
        let handler = Arc::clone(&store);
        http::serve(listener, move |request, stream| handler.handle(request, stream));
        store
    }

    /// Writes the value of an object, as the operator or a worker does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("valid JSON");
        self.put(kind, name, Some(spec), None);
    }

    /// Returns the state that the system reported for an object.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let state = self.state();
        let status = state.rows.get(&key).map(|row| row.status.field("state").text().to_owned());
        status.unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the state")
    }

    fn put(&self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.rows.get(&key).cloned();
        state.revision += 1;
        let rev = state.revision;
        let mut row = known.unwrap_or(Row { rev, created: rev, spec: Json::Null, status: Json::Null });
        row.rev = rev;
        row.spec = spec.unwrap_or(row.spec);
        row.status = status.unwrap_or(row.status);
        state.rows.insert(key, row.clone());
        state.history.push((rev, kind.to_owned(), name.to_owned(), Some(row)));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        thread::sleep(ANSWER_TIME);
        let (status, body) = self.execute(request);
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes())
    }

    fn execute(&self, request: &Request) -> (u16, Json) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return (404, Json::Null);
        };
        let parts: Vec<&str> = rest.split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let expected = body.field("metadata").field("rev").number();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match query_value(query, "watch") {
                Some(from) => self.watch(kind, from.parse().unwrap_or(0), query),
                None => self.list(kind, query),
            },
            ("GET", [kind, name]) => self.get(kind, name),
            ("POST", [kind]) => {
                let name = body.field("metadata").field("name").text().to_owned();
                let (status, object) = self.get(kind, &name);
                if status == 200 {
                    return (409, object);
                }
                self.put(kind, &name, Some(body.field("spec").clone()), None);
                self.get(kind, &name)
            }
            ("PUT", [kind, name]) => {
                let (status, object) = self.get(kind, name);
                if status != 200 {
                    return (404, Json::Null);
                }
                if expected.is_some() && expected != object.field("metadata").field("rev").number() {
                    return (409, object);
                }
                self.put(kind, name, Some(body.field("spec").clone()), None);
                self.get(kind, name)
            }
            ("PUT", [kind, name, "status"]) => {
                self.put(kind, name, None, Some(body.field("status").clone()));
                self.get(kind, name)
            }
            _ => (404, Json::Null),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Json) {
        let state = self.state();
        match state.rows.get(&(kind.to_owned(), name.to_owned())) {
            Some(row) => (200, to_json(name, row)),
            None => (404, Json::Null),
        }
    }

    fn list(&self, kind: &str, query: &str) -> (u16, Json) {
        let after = query_value(query, "after").unwrap_or_default();
        let state = self.state();
        let start = Bound::Excluded((kind.to_owned(), after));
        let rows = state.rows.range((start, Bound::Unbounded));
        let mut rows = rows.take_while(|((row_kind, _), _)| row_kind == kind);
        let items: Vec<Json> =
            rows.by_ref().take(PAGE_LEN).map(|((_, name), row)| to_json(name, row)).collect();
        let fields = vec![
            ("items".to_owned(), Json::List(items)),
            ("truncated".to_owned(), Json::Bool(rows.next().is_some())),
            ("storeRevision".to_owned(), Json::Number(state.revision.to_string())),
        ];
        (200, Json::Object(fields))
    }

    fn watch(&self, kind: &str, from: u64, query: &str) -> (u16, Json) {
        let wait_ms = query_value(query, "waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state();
        loop {
            let rows = state.history.iter();
            let rows = rows.filter(|(rev, row_kind, ..)| *rev > from && row_kind == kind);
            let events: Vec<Json> = rows
                .map(|(_, _, name, row)| {
                    let object = row.as_ref().map_or(Json::Null, |row| to_json(name, row));
                    let fields = vec![
                        ("object".to_owned(), object),
                        ("deleted".to_owned(), Json::Bool(row.is_none())),
                    ];
                    Json::Object(fields)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = Json::Number(state.revision.to_string());
                let fields = vec![
                    ("events".to_owned(), Json::List(events)),
                    ("storeRevision".to_owned(), revision),
                ];
                return (200, Json::Object(fields));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics with the state").0;
        }
    }
}

fn to_json(name: &str, row: &Row) -> Json {
    let number = |number: u64| Json::Number(number.to_string());
    let metadata = vec![
        ("name".to_owned(), Json::Text(name.to_owned())),
        ("rev".to_owned(), number(row.rev)),
        ("created".to_owned(), number(row.created)),
        ("finalizers".to_owned(), Json::List(Vec::new())),
        ("deleting".to_owned(), Json::Bool(false)),
    ];
    Json::Object(vec![
        ("metadata".to_owned(), Json::Object(metadata)),
        ("spec".to_owned(), row.spec.clone()),
        ("status".to_owned(), row.status.clone()),
    ])
}

/// Returns the value of a query parameter.
fn query_value(query: &str, name: &str) -> Option<String> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.to_owned())
    })
}
