//! The log: appending, recovery and removal of segments.

use std::fs::File;
use std::io::{BufReader, ErrorKind};
use std::path::{Path, PathBuf};

use crate::segment::{
    Segment, list_segments, remove_unfinished, replace_segment, segment_path, sync_folder,
};
use crate::{LogError, frame};

/// Size after which a new segment is started.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Bytes of a segment that are read at once.
const READ_BYTES: usize = 64 * 1024;

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

/// What a log holds.
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
    /// Opens the log in a folder, creating it if needed, and passes each of its records to `visit`,
    /// in the order in which they were appended; returns the segments whose end is torn.
    ///
    /// Only one record at a time is in memory. Records are appended to a new segment, never behind
    /// the end of an old one, which may be torn. Segments without a record are removed.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written.
    pub fn open(
        folder: &Path,
        mut visit: impl FnMut(SegmentId, &[u8]),
    ) -> Result<(Self, Vec<TornSegment>), LogError> {
        std::fs::create_dir_all(folder).map_err(LogError::at(folder))?;
        remove_unfinished(folder)?;
        let mut log = Self {
            folder: folder.to_owned(),
            active: None,
            next_id: SegmentId(1),
        };
        let mut torn = Vec::new();
        for (segment, path) in list_segments(folder)? {
            log.next_id = SegmentId(segment.0 + 1);
            let (records, end) = read_segment(segment, &path, &mut visit)?;
            torn.extend(end);
            if records == 0 {
                log.remove(segment)?;
            }
        }
        Ok((log, torn))
    }

    /// Appends records and syncs them; returns the segment that holds them.
    ///
    /// # Errors
    ///
    /// Fails if a record is too large or the disk cannot be written. Then none of the records is
    /// confirmed, although some may be found when the log is opened again.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> Result<SegmentId, LogError> {
        let bytes = encode_all(payloads)?;
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

    /// Replaces the records of a segment, which stay behind those of earlier segments; does nothing
    /// to the one in use. Returns whether they were replaced.
    ///
    /// # Errors
    ///
    /// Fails if a record is too large or the disk cannot be written. Then the earlier records stay.
    pub fn replace(&mut self, segment: SegmentId, payloads: &[Vec<u8>]) -> Result<bool, LogError> {
        if self.active_segment() == Some(segment) {
            return Ok(false);
        }
        replace_segment(&self.folder, segment, &encode_all(payloads)?)?;
        Ok(true)
    }

    /// Removes a segment; does nothing to the one in use.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be removed.
    pub fn remove(&mut self, segment: SegmentId) -> Result<(), LogError> {
        if self.active_segment() == Some(segment) {
            return Ok(());
        }
        let path = segment_path(&self.folder, segment);
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(LogError::at(&path)(error)),
            _ => sync_folder(&self.folder),
        }
    }

    /// Returns the segment to which the next records may be appended, which is never removed.
    pub fn active_segment(&self) -> Option<SegmentId> {
        self.active.as_ref().map(|segment| segment.id)
    }
}

/// Encodes records one after the other.
fn encode_all(payloads: &[Vec<u8>]) -> Result<Vec<u8>, LogError> {
    let all_bytes: u64 = payloads.iter().map(|row| frame::record_bytes(row)).sum();
    let mut bytes = Vec::with_capacity(all_bytes as usize);
    for payload in payloads {
        frame::encode(payload, &mut bytes)?;
    }
    Ok(bytes)
}

/// Reads all records of the log in a folder without changing it.
///
/// # Errors
///
/// Fails if the folder cannot be read.
pub fn read(folder: &Path) -> Result<Recovered, LogError> {
    let mut recovered = Recovered::default();
    for (segment, path) in list_segments(folder)? {
        let visit = &mut |segment, payload: &[u8]| {
            let payload = payload.to_vec();
            recovered.records.push(Record { segment, payload });
        };
        let (_, end) = read_segment(segment, &path, visit)?;
        recovered.torn.extend(end);
    }
    Ok(recovered)
}

/// Passes the records of a segment to `visit`, up to the first one that is incomplete or damaged;
/// returns their number, and the end of the segment if it is torn.
fn read_segment(
    segment: SegmentId,
    path: &Path,
    visit: &mut impl FnMut(SegmentId, &[u8]),
) -> Result<(usize, Option<TornSegment>), LogError> {
    let file = File::open(path).map_err(LogError::at(path))?;
    let mut rest_bytes = file.metadata().map_err(LogError::at(path))?.len();
    let mut reader = BufReader::with_capacity(READ_BYTES, file);
    let mut payload = Vec::new();
    let mut records = 0;
    while frame::read_next(&mut reader, rest_bytes, &mut payload).map_err(LogError::at(path))? {
        rest_bytes -= frame::record_bytes(&payload);
        records += 1;
        visit(segment, &payload);
    }
    let torn = (rest_bytes > 0).then_some(TornSegment {
        segment,
        lost_bytes: rest_bytes,
    });
    Ok((records, torn))
}
