//! Runs one entry VM with a fake platform, a fake engine and a fake plain service.
//!
//! Start it with `cargo run -p knapweeddale_testing --example demo` and paste
//! the commands that it prints into another terminal.

use std::error::Error;
use std::time::Duration;

use knapweeddale_config::{AccountFile, Document, KeyFile, LogFormat, ServiceFile, Settings};
use knapweeddale_entry::{Daemon, MonotonicClock, logs};
use knapweeddale_store::{CONFIG_KEY, HttpObjectApi, ObjectApi};
use knapweeddale_testing::http::{EngineOptions, FakeEngine, FakePlain};
use knapweeddale_testing::platform::Platform;
use knapweeddale_token::CallerKey;

/// Key of the demo's only account; it is not valid in any other fleet.
const KEY: &str = "kwd_demo_0123456789abcdefghijABCDEFGHIJ01";

/// Fleet secret of the demo, which has a single VM.
const SECRET: &[u8] = b"the secret of a demo on loopback";

#[rocket::main]
async fn main() -> Result<(), Box<dyn Error>> {
    logs::init(LogFormat::Text, "info")?;
    let platform = Platform::start(0).await;
    let options = EngineOptions {
        token_time: Duration::from_millis(100),
        ..EngineOptions::default()
    };
    let engine = FakeEngine::start(options).await?;
    let plain = FakePlain::start().await?;
    let api = || HttpObjectApi::builder().base_url(&platform.url()).build();
    let document = document(&engine.address().to_string(), &plain.address().to_string())?;
    api()?.put(CONFIG_KEY, document.to_bytes()?, 0).await?;
    let settings = Settings::parse(
        "demo.yaml",
        &format!(
            "vm: vm-1\nfailure_domain: north\nlisten: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\n\
             store: {}\nsecret_file: unused\ndrain_notice_ms: 0\n",
            platform.url()
        ),
    )?;
    let daemon = Daemon::start(settings, SECRET, api()?, MonotonicClock::start()).await?;
    daemon.wait_until_ready().await;
    print_commands(&format!("http://{}", daemon.address()));
    tokio::signal::ctrl_c().await?;
    daemon.stop().await;
    Ok(())
}

/// Returns the configuration: an account, an engine service and a plain service.
fn document(engine: &str, plain: &str) -> Result<Document, Box<dyn Error>> {
    let key: CallerKey = KEY.parse()?;
    let account = "account: demo\nrate_calls_per_s: 50\nburst_calls: 20\n";
    let mut account = AccountFile::parse("demo.account.yaml", account)?;
    account.keys.push(KeyFile {
        id: key.id().to_string(),
        sha256: key.digest_hex(),
        withdrawn: false,
    });
    let chat = format!(
        "service: chat\nkind: engine\nmodels: [small]\nupstreams:\n  \
         - {{name: engine-1, address: '{engine}', models: [small]}}\n"
    );
    let booking = format!(
        "service: booking\nkind: plain\nupstreams:\n  - {{name: booking-1, address: '{plain}'}}\n\
         routes:\n  - {{path: /search, methods: [GET, POST], idempotent: true}}\n  \
         - {{path: /pay, methods: [POST], idempotent: false}}\n"
    );
    Ok(Document {
        accounts: vec![account],
        services: vec![
            ServiceFile::parse("chat.service.yaml", &chat)?,
            ServiceFile::parse("booking.service.yaml", &booking)?,
        ],
    })
}

/// Prints the commands to paste into another terminal.
fn print_commands(url: &str) {
    println!(
        r#"
The VM is ready. Paste these lines into another terminal; docs/api.md has more.

export KWD={url}
export KEY={KEY}

curl -s $KWD/readyz
curl -s $KWD/v1/models
curl -s $KWD/v1/chat/completions -H "authorization: Bearer $KEY" \
  -d '{{"model":"small","max_tokens":8,"messages":[{{"role":"user","content":"plan oslo"}}]}}'
curl -sN $KWD/v1/chat/completions -H "authorization: Bearer $KEY" \
  -d '{{"model":"small","max_tokens":8,"stream":true,"messages":[{{"role":"user","content":"plan oslo"}}]}}'
curl -s $KWD/services/booking/search?hall=3 -H "authorization: Bearer $KEY"

Control-C stops the VM.
"#
    );
}
