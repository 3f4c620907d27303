//! The time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of this VM's wall clock in milliseconds; one before 1970 counts as 0.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(ms).unwrap_or(u64::MAX)
}
