//! The log: appending, recovery and removal of segments.

use std::path::{Path, PathBuf};

use crate::segment::{Segment, list_segments, segment_path, sync_folder};
use crate::{LogError, frame};

/// Size after which a new segment is started.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// The number of a segment; later segments have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// A record that was read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The segment that holds it.
    pub segment: SegmentId,
    /// Its content.
    pub payload: Vec<u8>,
}

/// A segment that ends with bytes that are no complete record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TornSegment {
    /// The segment whose end is torn.
    pub segment: SegmentId,
    /// Number of bytes after the last complete record.
    pub lost_bytes: u64,
}

/// What was found when a log was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// All records, in the order in which they were appended.
    pub records: Vec<Record>,
    /// Segments whose end was torn by a power loss.
    pub torn: Vec<TornSegment>,
}

/// An append-only log in a folder of its own.
#[derive(Debug)]
pub struct Log {
    folder: PathBuf,
    /// The segment in use; `None` before the first append and after a failed one.
    active: Option<Segment>,
    next_id: SegmentId,
}

impl Log {
    /// Opens the log in a folder, creating it if needed, and returns all of its records.
    ///
    /// Records are appended to a new segment, never behind the end of an old one, which may be
    /// torn. Segments without a record are removed.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), LogError> {
        std::fs::create_dir_all(folder).map_err(LogError::at(folder))?;
        let recovered = read(folder)?;
        let mut log = Self {
            folder: folder.to_owned(),
            active: None,
            next_id: SegmentId(1),
        };
        for (segment, _) in list_segments(folder)? {
            log.next_id = SegmentId(segment.0 + 1);
            if !recovered.records.iter().any(|row| row.segment == segment) {
                log.remove(segment)?;
            }
        }
        Ok((log, recovered))
    }

    /// Appends records and syncs them; returns the segment that holds them.
    ///
    /// # Errors
    ///
    /// Fails if a record is too large or the disk cannot be written. Then none of the records is
    /// confirmed, although some may be found when the log is opened again.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> Result<SegmentId, LogError> {
        let mut bytes = Vec::new();
        for payload in payloads {
            frame::encode(payload, &mut bytes)?;
        }
        // The segment is put back only after a success: a failed write may have torn its end.
        let mut segment = match self.active.take() {
            Some(segment) if segment.bytes < SEGMENT_BYTES => segment,
            _ => {
                let id = self.next_id;
                self.next_id = SegmentId(id.0 + 1);
                Segment::create(&self.folder, id)?
            }
        };
        segment.append(&bytes)?;
        let id = segment.id;
        self.active = Some(segment);
        Ok(id)
    }

    /// Removes a segment; does nothing to the one in use.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be removed.
    pub fn remove(&mut self, segment: SegmentId) -> Result<(), LogError> {
        if self
            .active
            .as_ref()
            .is_some_and(|active| active.id == segment)
        {
            return Ok(());
        }
        let path = segment_path(&self.folder, segment);
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                Err(LogError::at(&path)(error))
            }
            _ => sync_folder(&self.folder),
        }
    }

    /// Returns the segment to which the next records may be appended, which is never removed.
    pub fn active_segment(&self) -> Option<SegmentId> {
        self.active.as_ref().map(|segment| segment.id)
    }
}

/// Reads all records of the log in a folder without changing it.
///
/// # Errors
///
/// Fails if the folder cannot be read.
pub fn read(folder: &Path) -> Result<Recovered, LogError> {
    let mut recovered = Recovered::default();
    for (segment, path) in list_segments(folder)? {
        let bytes = std::fs::read(&path).map_err(LogError::at(&path))?;
        let read_bytes = read_records(segment, &bytes, &mut recovered.records);
        if read_bytes < bytes.len() {
            recovered.torn.push(TornSegment {
                segment,
                lost_bytes: (bytes.len() - read_bytes) as u64,
            });
        }
    }
    Ok(recovered)
}

/// Decodes the records of a segment; returns the number of bytes before the first one that is
/// incomplete or damaged.
fn read_records(segment: SegmentId, bytes: &[u8], records: &mut Vec<Record>) -> usize {
    let mut read_bytes = 0;
    while let Some((payload, record_bytes)) = frame::decode(&bytes[read_bytes..]) {
        records.push(Record {
            segment,
            payload: payload.to_vec(),
        });
        read_bytes += record_bytes;
    }
    read_bytes
}
