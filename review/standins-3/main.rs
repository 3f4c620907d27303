//! Stand-ins for the scripts of this review: a store, workers and clients around the project's own
//! programs. The first argument names the case, the second its folder.

mod claims;
mod endless;
mod fleet;
mod http;
mod json;
mod record;
mod retirement;
mod store;
mod worker;

use std::panic::{self, AssertUnwindSafe};
use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not run.
    Unable,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {case}, trouble {has_trouble}"));
    // A mistake of the script is no broken rule; the deployment ends while the panic unwinds.
    let outcome = panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "claims" => claims::run(&mut record, has_trouble),
        "endless" => endless::run(&mut record, has_trouble),
        "retirement" => retirement::run(&mut record, has_trouble),
        _ => Outcome::Unable,
    }))
    .unwrap_or(Outcome::Unable);
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::Unable => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    ExitCode::from(code)
}
