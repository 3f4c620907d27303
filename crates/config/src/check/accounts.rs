//! Validation of client accounts.

use super::{Finding, check_names};
use crate::AccountFile;

/// Maximum rate of an account, well above the peak load of the largest fleet.
const MAX_RATE_CALLS_PER_S: f64 = 1_000_000.0;

/// Maximum burst of an account, so that the level of its token bucket fits in 64 bits.
const MAX_BURST_CALLS: u64 = 10_000_000;

/// Reports invalid names, limits and key digests of accounts.
pub(super) fn check(accounts: &[AccountFile], findings: &mut Vec<Finding>) {
    let names = accounts.iter().map(|account| account.account.as_str());
    check_names("account", names, findings);
    let key_ids = accounts
        .iter()
        .flat_map(|account| account.keys.iter().map(|key| key.id.as_str()));
    check_names("key", key_ids, findings);
    for account in accounts {
        check_limits(account, findings);
        for key in account.keys.iter().filter(|key| key.digest().is_none()) {
            findings.push(Finding::MalformedDigest {
                account: account.account.clone(),
                id: key.id.clone(),
            });
        }
    }
}

/// Reports limits of an account that are out of range.
fn check_limits(account: &AccountFile, findings: &mut Vec<Finding>) {
    let mut report_limit = |field, value: String, remedy| {
        findings.push(Finding::InvalidAccountLimit {
            account: account.account.clone(),
            field,
            value,
            remedy,
        });
    };
    let rate = account.rate_calls_per_s;
    if !(0.001..=MAX_RATE_CALLS_PER_S).contains(&rate) {
        report_limit("rate_calls_per_s", rate.to_string(), "0.001 to 1000000");
    }
    if !(1..=MAX_BURST_CALLS).contains(&account.burst_calls) {
        report_limit(
            "burst_calls",
            account.burst_calls.to_string(),
            "1 to 10000000",
        );
    }
    if account.weight_percent == 0 {
        report_limit("weight_percent", "0".to_owned(), "1 or more");
    }
    if account.program_turns == 0 {
        report_limit("program_turns", "0".to_owned(), "1 or more");
    }
    if account.program_tokens == 0 {
        report_limit("program_tokens", "0".to_owned(), "1 or more");
    }
}
