//! A stand-in of a worker.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// One process of a worker.
struct Process {
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    version: String,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    behaviour: Mutex<Behaviour>,
    process: Mutex<Option<Arc<Process>>>,
    pub endless_answers: AtomicU64,
}

impl Worker {
    /// Starts a worker whose answers name its software version.
    pub fn start(id: &str, address: SocketAddr, behaviour: Behaviour, version: &str) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            behaviour: Mutex::new(behaviour),
            process: Mutex::new(None),
            endless_answers: AtomicU64::new(0),
        });
        worker.start_process(version);
        let accepting = Arc::clone(&worker);
        thread::spawn(move || accepting.accept());
        worker
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("a sound mutex") = behaviour;
    }

    /// Starts the process of the worker.
    pub fn start_process(self: &Arc<Self>, version: &str) {
        let process = Process {
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            version: version.to_owned(),
        };
        *self.process.lock().expect("a sound mutex") = Some(Arc::new(process));
    }

    /// Accepts connections for the process that runs. The port belongs to the supervisor of the
    /// worker, so that a connection waits while no process runs.
    fn accept(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("a free port for a worker");
        listener.set_nonblocking(true).expect("a listener");
        loop {
            let process = self.process.lock().expect("a sound mutex").clone();
            let accepted = process.and_then(|process| Some((process, listener.accept().ok()?)));
            match accepted {
                Some((process, (stream, _))) => self.serve(process, stream),
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Serves one connection in a thread of its own.
    fn serve(self: &Arc<Self>, process: Arc<Process>, stream: TcpStream) {
        // Fails only on a connection that has ended.
        let _ = stream.set_nonblocking(false);
        let Ok(copy) = stream.try_clone() else { return };
        process.connections.lock().expect("a sound mutex").push(copy);
        let worker = Arc::clone(self);
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(request) = connection.read_request() {
                if worker.handle(&process, &request, &mut connection.stream).is_err() {
                    return;
                }
            }
        });
    }

    /// Ends the process of the worker as a crash does: all its connections close at once.
    pub fn crash(&self) {
        let process = self.process.lock().expect("a sound mutex").take();
        let Some(process) = process else { return };
        process.has_ended.store(true, Ordering::Relaxed);
        for stream in process.connections.lock().expect("a sound mutex").drain(..) {
            // Fails if the connection has ended.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn handle(&self, process: &Process, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if process.has_ended.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
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
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id, process.version
        );
        let behaviour = *self.behaviour.lock().expect("a sound mutex");
        stream.write_all(head.as_bytes())?;
        match behaviour {
            Behaviour::Sound { events, gap_ms } => {
                let from = request.header("last-event-id").and_then(|id| id.parse().ok());
                for number in from.unwrap_or(0) + 1..=events {
                    thread::sleep(Duration::from_millis(gap_ms));
                    let event = format!("id: {number}\ndata: {number} of {}\n\n", process.version);
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
pub fn entry(service: &str, address: SocketAddr, zone: &str, version: &str, slots: u32, born: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","coldLeftMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":1,"born":{born}}}"#
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
    format!(
        r#"{{"version":{version},"routes":[{},{},{}],"services":[{{"name":"models","healthPath":"/health","maxConns":180,"protocol":"h1","tls":false,"engine":{{"slots":16,"kvCapacity":133601,"kvTokenBytes":262144,"linkMbps":2200000.0,"moves":true,"backups":true,"stride":11,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["3fexd9dnn2ctnfzs989a"],"priority":1,"ratePerS":305,"burst":305}}]}}"#,
        route("plan", "streaming", false, true),
        route("talk", "streaming", true, false),
        route("pay", "non_idempotent", false, false)
    )
}
