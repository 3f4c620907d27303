//! A stand-in of a worker.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};

/// What a worker does with the requests of streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends `events` events with this pause between them.
    Sound { events: u64, gap_ms: u64 },
    /// Sends the head of an answer, then bytes that are no answer, at this rate, until its
    /// connection is closed.
    Endless { mb_per_s: u64 },
}

pub struct Worker {
    pub id: String,
    behaviour: Mutex<Behaviour>,
    pub endless_answers: AtomicU64,
}

impl Worker {
    /// Starts a worker.
    pub fn start(id: &str, address: SocketAddr, behaviour: Behaviour) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            behaviour: Mutex::new(behaviour),
            endless_answers: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(address).expect("a free port for a worker");
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&serving);
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("a sound mutex") = behaviour;
    }

    /// Serves one connection.
    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_request() {
            if self.handle(&request, &mut connection.stream).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(text.as_bytes());
        }
        if request.path == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(text.as_bytes());
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.path.starts_with("/pay/") {
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}\r\n\
                 Content-Length: 800\r\n\r\n{}",
                self.id,
                "x".repeat(800)
            );
            return stream.write_all(text.as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let behaviour = *self.behaviour.lock().expect("a sound mutex");
        stream.write_all(head.as_bytes())?;
        match behaviour {
            Behaviour::Sound { events, gap_ms } => {
                let from = request.header("last-event-id").and_then(|id| id.parse().ok());
                for number in from.unwrap_or(0) + 1..=events {
                    thread::sleep(Duration::from_millis(gap_ms));
                    let event = format!("id: {number}\ndata: piece {number}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")
            }
            Behaviour::Endless { mb_per_s } => {
                self.endless_answers.fetch_add(1, Ordering::Relaxed);
                let block = format!("data: {}\n\n", "x".repeat(16 * 1_024));
                let chunk = format!("{:x}\r\n{block}\r\n", block.len());
                let started = Instant::now();
                let mut sent_bytes = 0;
                loop {
                    stream.write_all(chunk.as_bytes())?;
                    sent_bytes += chunk.len() as u64;
                    let due = Duration::from_micros(sent_bytes / mb_per_s.max(1));
                    thread::sleep(due.saturating_sub(started.elapsed()));
                }
            }
        }
    }
}

/// Returns the entry of a worker in the store.
pub fn entry(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"models","address":"{address}","zone":"za","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":1,"born":1796000000000}}"#
    )
}

/// Returns a desired state with a resumable streaming route `/plan/`, a route `/talk/` whose turns the
/// system keeps, and a route `/pay/` whose requests may run once.
pub fn desired_state(version: u64, retention_s: f64) -> String {
    let route = |prefix: &str, kind: &str, history: bool, resumable: bool| {
        format!(
            r#"{{"name":"r-{prefix}","host":"ficu95.example","pathPrefix":"/{prefix}/","kind":"{kind}","timeoutMs":3000,"sloMs":200,"priority":0,"service":"models","maxAttempts":1,"serverHistory":{history},"retentionS":{retention_s:.1},"public":false,"sticky":true,"resumable":{resumable},"targetGapMs":200}}"#
        )
    };
    // No limit for the tenant: the rates are not what the cases are about.
    format!(
        r#"{{"version":{version},"routes":[{},{},{}],"services":[{{"name":"models","healthPath":"/health","maxConns":180,"protocol":"h1","tls":false,"engine":{{"slots":16,"kvCapacity":133601,"kvTokenBytes":262144,"linkMbps":2200000.0,"moves":true,"backups":true,"stride":11,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["3fexd9dnn2ctnfzs989a"],"priority":1}}]}}"#,
        route("plan", "streaming", false, true),
        route("talk", "streaming", true, false),
        route("pay", "non_idempotent", false, false)
    )
}
