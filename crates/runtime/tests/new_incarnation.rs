//! Guards against a restarted process that other VMs ignore because its incarnation is lower.

use std::thread::sleep;
use std::time::Duration;

use knapweeddale_runtime::new_incarnation;

#[test]
fn ascends_within_a_second() {
    let mut last = new_incarnation();
    for _ in 0..100 {
        sleep(Duration::from_millis(2));
        let next = new_incarnation();
        assert!(next > last, "{next} after {last}");
        last = next;
    }
}
