//! Calls that show which upstreams a VM uses.

use super::{RelayCall, RelayFleet};

/// # Calls
impl RelayFleet {
    /// Sends calls of an account to a VM, 2 ms apart, and returns the names of the upstreams that
    /// they ran on.
    pub fn run_tool_calls(&mut self, vm: usize, account: &str, calls: usize) -> Vec<String> {
        let before = self.runs.len();
        for _ in 0..calls {
            self.call(vm, RelayCall::tool(account));
            self.run_ms(2);
        }
        let runs = &self.runs[before..];
        let mut names: Vec<String> = runs.iter().map(|run| run.upstream.clone()).collect();
        names.sort();
        names.dedup();
        names
    }
}
