//! The entry daemon's binary.

use std::process::ExitCode;

use knapweeddale_config::Settings;
use knapweeddale_entry::{Daemon, MonotonicClock, Options, logs, read_secret};
use knapweeddale_store::HttpObjectApi;
use tokio::signal::unix::{Signal, SignalKind, signal};

fn main() -> ExitCode {
    let options = Options::from_command_line();
    match run(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("knapweeddale-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints or checks the settings, or runs the daemon.
fn run(options: &Options) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let settings = Settings::load(&options.settings)?;
    if options.print_settings {
        print!("{}", settings.to_yaml());
        return Ok(ExitCode::SUCCESS);
    }
    let secret = read_secret(&settings)?;
    if options.check {
        println!("{} can be used", options.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    logs::init(settings.log_format, &settings.log_filter)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings, secret))
}

/// Runs the daemon until a signal arrives, then shuts down gracefully; a second signal ends the
/// process at once.
async fn serve(
    settings: Settings,
    secret: Vec<u8>,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let api = HttpObjectApi::builder().base_url(&settings.store).build()?;
    let daemon = Daemon::start(settings, &secret, api, MonotonicClock::start()).await?;
    wait_for_signal(&mut terminate, &mut interrupt).await;
    let unfinished = daemon.unfinished_calls();
    tokio::select! {
        () = daemon.stop() => Ok(ExitCode::SUCCESS),
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            unfinished.log("a second signal");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
