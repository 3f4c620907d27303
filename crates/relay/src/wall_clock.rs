//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time of this VM's clock in milliseconds, or 0 if the clock is before 1970.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(ms).unwrap_or(u64::MAX)
}
