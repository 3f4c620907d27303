//! Simulates the upstreams that run the relays' attempts, and faults of their connections.

use knapweeddale_core::input::{
    AttemptOutcome, AttemptProgress, Failure, ProbeState, StatedRate, UpstreamStatement,
};
use knapweeddale_core::output::ProxyVm;
use knapweeddale_core::{AttemptEvent, AttemptId, Dispatch, Input, UpstreamName};

use super::outputs::LINK_US;
use super::{EventKey, ForwardedTokens, RelayFleet, Run};

/// Time after which a VM gives up connecting to an upstream that does not answer.
const CONNECT_TIMEOUT_US: u64 = 500_000;

/// Time after which a probe gives up.
const PROBE_TIMEOUT_US: u64 = 250_000;

/// Part of an attempt's run time after which its first event has been forwarded, as a divisor.
const FIRST_EVENT_DIVISOR: u64 = 4;

/// Status with which a full upstream rejects a call.
const FULL: u16 = 503;

/// How an upstream treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// Its process has ended: its connections are reset and new ones are refused.
    Crashed,
    /// It is cut off: its connections stay open without an answer, and new ones are not accepted.
    Silent,
}

/// What becomes of new connections over a lost link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// They get no answer.
    Silent,
    /// They are refused.
    Refused,
}

/// A running attempt and the event that ends it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningEvent {
    /// VM that sent the attempt.
    vm: usize,
    /// Key of the event that delivers its end.
    end: EventKey,
    /// Time at which its first event reaches the caller.
    first_event_us: u64,
}

/// # Attempts
impl RelayFleet {
    /// Records an attempt as run and schedules its end; ignores refused calls.
    pub(super) fn run_attempt(&mut self, vm: usize, dispatch: Dispatch) {
        let call = dispatch.attempt.call;
        let Some(open) = self.open.get(&call).cloned() else {
            return;
        };
        let proxy = dispatch.proxy.as_ref().map(|proxy| &*proxy.address);
        let Some(sender) = self.find_sender(vm, proxy) else {
            return self.fail_attempt(vm, LINK_US, dispatch.attempt, Failure::ProxyFailed);
        };
        match self.connection_state(sender, dispatch.upstream.as_str()) {
            Some(UpstreamState::Crashed) => {
                let failure = Failure::ConnectionRefused;
                return self.fail_attempt(vm, LINK_US, dispatch.attempt, failure);
            }
            Some(UpstreamState::Silent) => {
                let delay_us = CONNECT_TIMEOUT_US;
                return self.fail_attempt(vm, delay_us, dispatch.attempt, Failure::Unreachable);
            }
            None => {}
        }
        let upstream = dispatch.upstream.as_str();
        let percent = self.run_percents.get(upstream);
        let run_us = open.run_ms * 10 * percent.unwrap_or(&100);
        let Some(run_us) = self.capacities.accept(upstream, self.now_us, run_us) else {
            let failure = Failure::RefusedByUpstream { status: FULL };
            return self.fail_attempt(vm, 2 * LINK_US, dispatch.attempt, failure);
        };
        self.proxied_runs += u64::from(proxy.is_some());
        self.runs.push(Run {
            at_us: self.now_us,
            vm,
            call,
            account: open.account.clone(),
            upstream: dispatch.upstream.to_string(),
        });
        if let Some((program, ..)) = &open.turn {
            self.forwarded.push(ForwardedTokens {
                at_us: self.now_us,
                program: program.clone(),
                tokens: open.tokens,
            });
        }
        self.state_rate(vm, &dispatch);
        let event = AttemptEvent {
            attempt: dispatch.attempt,
            progress: AttemptProgress::Finished(AttemptOutcome {
                answer_tokens: open.tokens,
                ..AttemptOutcome::default()
            }),
        };
        // An answer that is no stream reaches the caller as a whole.
        let first_event_us = match dispatch.events {
            Some(_) => self.now_us + run_us / FIRST_EVENT_DIVISOR,
            None => u64::MAX,
        };
        let running = RunningEvent {
            vm,
            end: self.deliver(vm, run_us, Input::Attempt(event)),
            first_event_us,
        };
        self.running.insert(dispatch.attempt, running);
    }

    /// Reports the rate that an upstream states in the head of its response to an attempt.
    fn state_rate(&mut self, vm: usize, dispatch: &Dispatch) {
        let mcalls = self.stated_rates.get(dispatch.upstream.as_str());
        let rate = mcalls.map_or(StatedRate::Absent, |mcalls| StatedRate::PerSecond {
            mcalls: *mcalls,
        });
        let cold_ms = self.cold_ms.get(dispatch.upstream.as_str()).copied();
        if rate == StatedRate::Absent && !dispatch.is_rate_limited && cold_ms.is_none() {
            return;
        }
        let statement = UpstreamStatement {
            upstream: dispatch.upstream.clone(),
            started_unix_ms: dispatch.upstream_started_unix_ms,
            rate,
            cold_ms,
        };
        self.deliver(vm, LINK_US, Input::UpstreamRate(statement));
    }

    /// Returns how new connections of a VM to an upstream fail; `None` if they are accepted.
    fn connection_state(&self, vm: usize, upstream: &str) -> Option<UpstreamState> {
        let all = self.lost_links.get(&(vm, None));
        let link = all.or_else(|| self.lost_links.get(&(vm, Some(upstream.to_owned()))));
        let fault = link.map(|fault| match fault {
            LinkFault::Silent => UpstreamState::Silent,
            LinkFault::Refused => UpstreamState::Crashed,
        });
        fault.or_else(|| self.upstream_states.get(upstream).copied())
    }

    /// Reports the failure of an attempt to its VM.
    fn fail_attempt(&mut self, vm: usize, delay_us: u64, attempt: AttemptId, failure: Failure) {
        let progress = AttemptProgress::Failed(failure);
        let event = AttemptEvent { attempt, progress };
        self.deliver(vm, delay_us, Input::Attempt(event));
    }

    /// Answers a probe of an upstream.
    pub(super) fn probe_upstream(
        &mut self,
        vm: usize,
        upstream: UpstreamName,
        proxy: Option<ProxyVm>,
    ) {
        let sender = self.find_sender(vm, proxy.as_ref().map(|proxy| &*proxy.address));
        let state = sender.map(|sender| self.connection_state(sender, upstream.as_str()));
        let (delay_us, state) = match state {
            None => (LINK_US, ProbeState::ProxyFailed),
            Some(None) => (LINK_US, ProbeState::Up),
            Some(Some(UpstreamState::Crashed)) => (LINK_US, ProbeState::Down),
            Some(Some(UpstreamState::Silent)) => (PROBE_TIMEOUT_US, ProbeState::Silent),
        };
        let probed = Input::Probed {
            upstream,
            proxy: proxy.map(|proxy| proxy.vm),
            state,
        };
        self.deliver(vm, delay_us, probed);
    }

    /// Returns the VM that connects for an attempt or a probe: the proxy, if it can be reached, or
    /// the VM itself.
    fn find_sender(&self, vm: usize, proxy: Option<&str>) -> Option<usize> {
        match proxy {
            Some(address) => self.find_reachable(vm, address),
            None => Some(vm),
        }
    }
}

/// # Faults of upstreams
impl RelayFleet {
    /// Resets the connections of all attempts that a VM runs on an upstream, or on any one.
    ///
    /// Of each 100 attempts, `percent` are reset. The upstream goes on running.
    pub fn reset_connections(&mut self, vm: usize, upstream: Option<&str>, percent: u64) {
        for attempt in self.running_attempts(Some(vm), upstream) {
            if self.draw(100) < percent {
                self.end_attempt(attempt, |forwarded| Failure::ConnectionLost {
                    answer_tokens: 0,
                    forwarded,
                });
            }
        }
    }

    /// Lets the attempts that a VM runs on an upstream end without a response.
    pub fn silence_connections(&mut self, vm: usize, upstream: Option<&str>) {
        for attempt in self.running_attempts(Some(vm), upstream) {
            self.end_attempt(attempt, |forwarded| Failure::Silent {
                answer_tokens: 0,
                forwarded,
            });
        }
    }

    /// Lets an upstream pause: the attempts that a VM runs there are reported as silent, and end as
    /// they would have unless they are cancelled.
    pub fn pause_upstream(&mut self, vm: usize, upstream: Option<&str>) {
        for attempt in self.running_attempts(Some(vm), upstream) {
            let Some(row) = self.running.get(&attempt) else {
                continue;
            };
            let forwarded = self.now_us >= row.first_event_us;
            let progress = AttemptProgress::Silent { forwarded };
            self.deliver(
                vm,
                LINK_US,
                Input::Attempt(AttemptEvent { attempt, progress }),
            );
        }
    }

    /// Ends a cancelled attempt.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.end_attempt(attempt, |forwarded| Failure::Silent {
            answer_tokens: 0,
            forwarded,
        });
    }

    /// Spoils the responses of the attempts that a VM runs on an upstream, so that they cannot be
    /// read any further.
    pub fn spoil_responses(&mut self, vm: usize, upstream: Option<&str>) {
        for attempt in self.running_attempts(Some(vm), upstream) {
            self.end_attempt(attempt, |forwarded| Failure::InvalidResponse {
                answer_tokens: 0,
                forwarded,
            });
        }
    }

    /// Ends the process of an upstream, which resets its connections.
    pub fn crash_upstream(&mut self, upstream: &str) {
        self.set_upstream_state(upstream, Some(UpstreamState::Crashed));
        for attempt in self.running_attempts(None, Some(upstream)) {
            self.end_attempt(attempt, |forwarded| Failure::ConnectionLost {
                answer_tokens: 0,
                forwarded,
            });
        }
    }

    /// Sets how an upstream treats new connections; `None` if it runs normally.
    pub fn set_upstream_state(&mut self, upstream: &str, state: Option<UpstreamState>) {
        match state {
            Some(state) => self.upstream_states.insert(upstream.to_owned(), state),
            None => self.upstream_states.remove(upstream),
        };
    }

    /// Sets what becomes of new connections of a VM to one upstream, or to all; `None` if they work.
    pub fn set_link_fault(&mut self, vm: usize, upstream: Option<&str>, fault: Option<LinkFault>) {
        let key = (vm, upstream.map(str::to_owned));
        match fault {
            Some(fault) => self.lost_links.insert(key, fault),
            None => self.lost_links.remove(&key),
        };
    }

    /// Sets the rate that an upstream states in its responses, in thousandths of a call per second.
    pub fn set_stated_rate(&mut self, upstream: &str, mcalls_per_s: Option<u64>) {
        match mcalls_per_s {
            Some(mcalls) => self.stated_rates.insert(upstream.to_owned(), mcalls),
            None => self.stated_rates.remove(upstream),
        };
    }

    /// Sets how long calls run on an upstream, in percent of their normal time.
    pub fn set_run_percent(&mut self, upstream: &str, percent: u64) {
        self.run_percents.insert(upstream.to_owned(), percent);
    }

    /// Sets the cold time that an upstream states in its responses.
    pub fn set_cold_ms(&mut self, upstream: &str, cold_ms: Option<u64>) {
        match cold_ms {
            Some(cold_ms) => self.cold_ms.insert(upstream.to_owned(), cold_ms),
            None => self.cold_ms.remove(upstream),
        };
    }

    /// Returns the attempts that are running, of one VM or all, on one upstream or all.
    fn running_attempts(&self, vm: Option<usize>, upstream: Option<&str>) -> Vec<AttemptId> {
        let is_due = |row: &RunningEvent| self.events.contains_key(&row.end);
        let is_on = |attempt: &AttemptId| {
            let mut runs = self.runs.iter().rev();
            let run = runs.find(|run| run.call == attempt.call);
            run.is_some_and(|run| upstream.is_none_or(|upstream| run.upstream == upstream))
        };
        let rows = self.running.iter();
        rows.filter(|(attempt, row)| {
            vm.is_none_or(|vm| row.vm == vm) && is_due(row) && is_on(attempt)
        })
        .map(|(attempt, _)| *attempt)
        .collect()
    }

    /// Replaces the end of an attempt by a failure, which depends on whether the caller has
    /// received an event.
    fn end_attempt(&mut self, attempt: AttemptId, failure: impl FnOnce(bool) -> Failure) {
        let Some(row) = self.running.remove(&attempt) else {
            return;
        };
        self.events.remove(&row.end);
        let failure = failure(self.now_us >= row.first_event_us);
        self.fail_attempt(row.vm, LINK_US, attempt, failure);
    }
}
