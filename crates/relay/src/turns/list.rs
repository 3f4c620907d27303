//! Lists and checks a folder of kept turns offline.

use std::path::Path;

use knapweeddale_core::turns::StoredTurn;
use knapweeddale_log::LogError;

/// What a folder of kept turns holds.
#[derive(Debug, Default)]
pub struct TurnList {
    /// The turns, in the order in which they were stored.
    pub turns: Vec<StoredTurn>,
    /// Records that are intact but cannot be decoded.
    pub undecodable: usize,
    /// Segments whose end was torn by a power loss.
    pub torn_segments: usize,
}

/// Reads a folder of kept turns without changing it.
///
/// # Errors
///
/// Fails if the folder cannot be read.
pub fn list_turns(folder: &Path) -> Result<TurnList, LogError> {
    let recovered = knapweeddale_log::read(folder)?;
    let mut list = TurnList {
        torn_segments: recovered.torn.len(),
        ..TurnList::default()
    };
    for record in &recovered.records {
        match postcard::from_bytes(&record.payload) {
            Ok(turn) => list.turns.push(turn),
            Err(_) => list.undecodable += 1,
        }
    }
    Ok(list)
}
