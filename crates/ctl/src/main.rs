//! The `knapweeddale` command.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = knapweeddale_ctl::options().run();
    let format = options.output;
    match knapweeddale_ctl::run(options).await {
        Ok(report) => {
            println!("{}", report.format(format));
            report.exit_status().into()
        }
        Err(error) => {
            eprintln!("knapweeddale: {error}");
            error.exit_status().into()
        }
    }
}
