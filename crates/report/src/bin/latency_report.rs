//! Measures the latency that an entry VM adds to a call.
//!
//! Each run sends pairs of calls to a fake engine at a fixed rate: one directly and
//! one through an entry VM, which runs as a separate process. Usage:
//!
//! `cargo build --release -p knapweeddale_entry && cargo run --release -p
//! knapweeddale_report --bin latency_report -- --entry
//! target/release/knapweeddale-entry`

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use knapweeddale_config::{AccountFile, Document, KeyFile, ServiceFile};
use knapweeddale_store::{CONFIG_KEY, HttpObjectApi, ObjectApi};
use knapweeddale_testing::http::{EngineOptions, FakeEngine};
use knapweeddale_testing::platform::Platform;
use knapweeddale_token::CallerKey;
use reqwest::Client;
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Key of the account that makes the calls; only the configuration of this report accepts it.
const CALLER_KEY: &str = "kwd_load_0123456789abcdefghijABCDEFGHIJ01";

/// Measures the latency that an entry VM adds to a call.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Path of the entry daemon's binary
    #[bpaf(long, argument("FILE"))]
    entry: PathBuf,
    /// Duration of each run, after one second of warm-up
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Calls per second; may be repeated; 50, 300 and 1000 if absent
    #[bpaf(long, argument("RATE"))]
    rate: Vec<u64>,
}

/// Latencies over one path (direct or through the entry VM), in microseconds.
type Latencies = Arc<Mutex<Histogram<u64>>>;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = options().run();
    let platform = Platform::start(0).await;
    let engine = FakeEngine::start(EngineOptions {
        batch_limit: 4_096,
        ..EngineOptions::default()
    })
    .await?;
    let api = HttpObjectApi::builder().base_url(&platform.url()).build()?;
    let document = build_document(&engine.address().to_string())?;
    api.put(CONFIG_KEY, document.to_bytes()?, 0).await?;
    let folder = std::env::temp_dir().join(format!("kwd-latency-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let listen = free_address()?;
    let mut vm = start_vm(&options.entry, &folder, &platform.url(), &listen)?;
    wait_ready(&listen).await?;
    let direct = format!("http://{}/v1/chat/completions", engine.address());
    let via_entry = format!("http://{listen}/v1/chat/completions");
    let rates = match options.rate.as_slice() {
        [] => vec![50, 300, 1_000],
        rates => rates.to_vec(),
    };
    println!("calls/s  direct p50/p99 us  through p50/p99 us  added p50/p99 us  failed");
    for rate in rates {
        let line = measure_rate(rate, options.seconds, &direct, &via_entry).await?;
        println!("{line}");
    }
    vm.kill().await?;
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Sends pairs of calls at a rate and returns a row of the table.
async fn measure_rate(
    rate: u64,
    seconds: u64,
    direct: &str,
    via_entry: &str,
) -> Result<String, Box<dyn Error>> {
    let client = Client::builder().retry(reqwest::retry::never()).build()?;
    let histograms: [Latencies; 2] = [new_latencies()?, new_latencies()?];
    let failed = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let mut ticks = interval(Duration::from_micros(1_000_000 / rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    // The first second opens the connections and is not measured.
    let warm_up = rate;
    for number in 0..warm_up + rate * seconds {
        ticks.tick().await;
        for (url, latencies) in [direct, via_entry].iter().zip(&histograms) {
            let (client, url) = (client.clone(), (*url).to_owned());
            let (latencies, failed) = (Arc::clone(latencies), Arc::clone(&failed));
            let is_measured = number >= warm_up;
            calls.spawn(async move {
                match time_call(&client, &url).await {
                    Some(latency_us) if is_measured => {
                        let mut latencies =
                            latencies.lock().unwrap_or_else(PoisonError::into_inner);
                        latencies.saturating_record(latency_us);
                    }
                    Some(_) => {}
                    None => {
                        failed.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    }
                }
            });
        }
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let [direct, via_entry] = histograms.map(|h| quantiles(&h));
    Ok(format!(
        "{rate:7}  {:>8}/{:<8}  {:>9}/{:<8}  {:>7}/{:<8}  {}",
        direct.0,
        direct.1,
        via_entry.0,
        via_entry.1,
        via_entry.0 as i64 - direct.0 as i64,
        via_entry.1 as i64 - direct.1 as i64,
        failed.load(std::sync::atomic::Ordering::Relaxed)
    ))
}

fn new_latencies() -> Result<Latencies, Box<dyn Error>> {
    Ok(Arc::new(Mutex::new(Histogram::new_with_max(
        60_000_000, 3,
    )?)))
}

/// Returns the median and the 99th percentile, in microseconds.
fn quantiles(latencies: &Latencies) -> (u64, u64) {
    let latencies = latencies.lock().unwrap_or_else(PoisonError::into_inner);
    (
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    )
}

/// Sends one call and returns its latency in microseconds; `None` if it failed.
async fn time_call(client: &Client, url: &str) -> Option<u64> {
    let body = json!({
        "model": "small",
        "max_tokens": 4,
        "messages": [{"role": "user", "content": "plan the rehearsals"}],
    });
    let started = Instant::now();
    let request = client.post(url).bearer_auth(CALLER_KEY).json(&body);
    let response = request.send().await.ok()?.error_for_status().ok()?;
    response.bytes().await.ok()?;
    u64::try_from(started.elapsed().as_micros()).ok()
}

/// Builds a configuration with one engine and an account whose limits are practically unlimited.
fn build_document(engine: &str) -> Result<Document, Box<dyn Error>> {
    let key: CallerKey = CALLER_KEY.parse()?;
    let account = "account: load\nrate_calls_per_s: 100000\nburst_calls: 100000\n";
    let mut account = AccountFile::parse("load.account.yaml", account)?;
    account.keys.push(KeyFile {
        id: key.id().to_string(),
        sha256: key.digest_hex(),
        withdrawn: false,
    });
    let chat = format!(
        "service: chat\nkind: engine\nmodels: [small]\nupstreams:\n  \
         - {{name: engine-1, address: '{engine}', min_running_calls: 2048, max_running_calls: 4096}}\n"
    );
    Ok(Document {
        accounts: vec![account],
        services: vec![ServiceFile::parse("chat.service.yaml", &chat)?],
    })
}

/// Returns a loopback address with an unused port.
///
/// The port is released before it is returned, so another process may still take it.
fn free_address() -> std::io::Result<String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}

/// Starts the entry daemon with a settings file in `folder`.
fn start_vm(entry: &Path, folder: &Path, store: &str, listen: &str) -> std::io::Result<Child> {
    let secret = folder.join("secret");
    std::fs::write(&secret, "the secret of a fleet of one VM for measurements")?;
    let settings = format!(
        "vm: vm-1\nfailure_domain: north\nlisten: {listen}\npeer_listen: {}\n\
         store: {store}\nsecret_file: {}\nlog_filter: warn\n",
        free_address()?,
        secret.display()
    );
    let file = folder.join("vm.yaml");
    std::fs::write(&file, settings)?;
    Command::new(entry)
        .arg("--settings")
        .arg(file)
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
}

/// Polls `/readyz` until the VM is ready, for at most 10 s.
async fn wait_ready(listen: &str) -> Result<(), Box<dyn Error>> {
    let client = Client::new();
    for _ in 0..200 {
        let response = client.get(format!("http://{listen}/readyz")).send().await;
        if response.is_ok_and(|response| response.status().is_success()) {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err("the VM is not ready after 10 s; check its log".into())
}
