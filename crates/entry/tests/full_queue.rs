//! Guards against calls that wait without limit while the control thread is blocked.

mod support;

use std::sync::{Arc, Condvar, Mutex};

use knapweeddale_entry::{Clock, MonotonicClock};
use support::{EntryUnderTest, KEY, bearer, completion_body};

/// A clock that can block the control thread, which reads it before each tick.
#[derive(Debug, Clone)]
struct StoppableClock {
    clock: MonotonicClock,
    stopped: Arc<(Mutex<bool>, Condvar)>,
}

impl StoppableClock {
    fn set_stopped(&self, stopped: bool) {
        *self.stopped.0.lock().expect("lock") = stopped;
        self.stopped.1.notify_all();
    }
}

impl Clock for StoppableClock {
    fn now_us(&self) -> u64 {
        if std::thread::current().name() == Some("control") {
            let stopped = self.stopped.0.lock().expect("lock");
            drop(
                self.stopped
                    .1
                    .wait_while(stopped, |stopped| *stopped)
                    .expect("lock"),
            );
        }
        self.clock.now_us()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_refused() {
    let clock = StoppableClock {
        clock: MonotonicClock::start(),
        stopped: Arc::default(),
    };
    let queue_len = 4;
    let entry = EntryUnderTest::start_with_clock(clock.clone(), |settings, _| {
        settings.input_queue_len = queue_len;
    })
    .await;
    let entry = Arc::new(entry);
    clock.set_stopped(true);
    let calls: Vec<_> = (0..3 * queue_len)
        .map(|_| {
            let entry = Arc::clone(&entry);
            tokio::spawn(async move {
                let key = bearer(KEY);
                let headers = [("authorization", key.as_str())];
                let response = entry
                    .complete(&headers, &completion_body(&[("user", "oslo")], false))
                    .await;
                (
                    response.status().as_u16(),
                    response.text().await.expect("text"),
                )
            })
        })
        .collect();
    support::wait_until(|| calls.iter().filter(|call| call.is_finished()).count() >= queue_len)
        .await;
    clock.set_stopped(false);
    let mut refused = 0;
    for call in calls {
        let (status, body) = call.await.expect("the call ends");
        if status == 503 {
            assert!(
                body.contains(r#""kind":"overloaded""#) && body.contains(r#""ran":"not_run""#),
                "{body}"
            );
            refused += 1;
        }
    }
    let ran = 3 * queue_len as u64 - refused;
    assert_eq!(entry.engine.handler().total_executions(), ran);
    assert!(refused >= queue_len as u64);
}
