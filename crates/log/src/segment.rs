//! The files of a log.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::LogError;
use crate::log::SegmentId;

/// Extension of the files of segments.
const EXTENSION: &str = "log";

/// Extension of files that are to replace one of a segment.
const NEW_EXTENSION: &str = "new";

/// The segment to which records are appended.
#[derive(Debug)]
pub(crate) struct Segment {
    pub id: SegmentId,
    pub bytes: u64,
    file: File,
    path: PathBuf,
}

impl Segment {
    /// Creates an empty segment, which survives a power loss.
    pub fn create(folder: &Path, id: SegmentId) -> Result<Self, LogError> {
        let path = segment_path(folder, id);
        let file = File::options().write(true).create_new(true).open(&path);
        let file = file.map_err(LogError::at(&path))?;
        file.sync_all().map_err(LogError::at(&path))?;
        sync_folder(folder)?;
        Ok(Self {
            id,
            bytes: 0,
            file,
            path,
        })
    }

    /// Appends bytes and syncs them.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        let written = self.file.write_all(bytes);
        let synced = written.and_then(|()| self.file.sync_data());
        synced.map_err(LogError::at(&self.path))?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }
}

/// Replaces the content of a segment; after a power loss, it has the earlier or the new one.
pub(crate) fn replace_segment(folder: &Path, id: SegmentId, bytes: &[u8]) -> Result<(), LogError> {
    let path = segment_path(folder, id);
    let new_path = path.with_extension(NEW_EXTENSION);
    let write = || {
        let mut file = File::create(&new_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&new_path, &path)
    };
    write().map_err(LogError::at(&new_path))?;
    sync_folder(folder)
}

/// Removes files that were to replace a segment when the process ended.
pub(crate) fn remove_unfinished(folder: &Path) -> Result<(), LogError> {
    for entry in std::fs::read_dir(folder).map_err(LogError::at(folder))? {
        let path = entry.map_err(LogError::at(folder))?.path();
        if path.extension().is_some_and(|found| found == NEW_EXTENSION) {
            std::fs::remove_file(&path).map_err(LogError::at(&path))?;
        }
    }
    Ok(())
}

/// Returns the path of a segment's file.
pub(crate) fn segment_path(folder: &Path, id: SegmentId) -> PathBuf {
    folder.join(format!("{:020}.{EXTENSION}", id.0))
}

/// Lists the segments in a folder, in the order of their ids; other files are ignored.
pub(crate) fn list_segments(folder: &Path) -> Result<Vec<(SegmentId, PathBuf)>, LogError> {
    let mut segments = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(LogError::at(folder))? {
        let path = entry.map_err(LogError::at(folder))?.path();
        if path.extension().is_none_or(|found| found != EXTENSION) {
            continue;
        }
        let number = path
            .file_stem()
            .and_then(|stem| stem.to_str()?.parse().ok());
        if let Some(number) = number {
            segments.push((SegmentId(number), path));
        }
    }
    segments.sort();
    Ok(segments)
}

/// Syncs a folder, after which files that were created or removed in it stay so.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), LogError> {
    let file = File::open(folder).map_err(LogError::at(folder))?;
    file.sync_all().map_err(LogError::at(folder))
}
