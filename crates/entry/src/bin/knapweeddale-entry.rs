//! The entry daemon's binary.

use std::process::ExitCode;

use knapweeddale_config::Settings;
use knapweeddale_entry::{Daemon, MonotonicClock, Options, logs, read_secret};
use knapweeddale_runtime::Signals;
use knapweeddale_store::HttpObjectApi;

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
    if options.print_settings {
        let settings = Settings::load(&options.settings)?;
        print!("{}", settings.to_yaml());
        return Ok(ExitCode::SUCCESS);
    }
    if options.check {
        let settings = Settings::load(&options.settings)?;
        read_secret(&settings)?;
        println!("{} can be used", options.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let signals = {
        let _context = runtime.enter();
        Signals::install()?
    };
    let settings = Settings::load(&options.settings)?;
    let secret = read_secret(&settings)?;
    logs::init(settings.log_format, &settings.log_filter)?;
    runtime.block_on(serve(settings, secret, signals))
}

/// Runs the daemon until a signal arrives, then shuts down gracefully; a second signal ends the
/// process at once.
async fn serve(
    settings: Settings,
    secret: Vec<u8>,
    mut signals: Signals,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let api = HttpObjectApi::builder().base_url(&settings.store).build()?;
    let daemon = Daemon::start(settings, &secret, api, MonotonicClock::start()).await?;
    signals.wait_for_stop(report_reload).await;
    let unfinished = daemon.unfinished_calls();
    tokio::select! {
        () = daemon.stop() => Ok(ExitCode::SUCCESS),
        () = signals.wait_for_stop(report_reload) => {
            unfinished.log("a second signal");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Logs a request to reload; the running process keeps its settings.
fn report_reload() {
    tracing::info!("reload: changed settings take effect at the next start");
}
