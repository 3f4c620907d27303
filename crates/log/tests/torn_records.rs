//! Guards against records that are lost or invented when a log is cut, damaged or badly written.

use std::path::{Path, PathBuf};

use knapweeddale_log::{Log, LogError, MAX_RECORD_BYTES, Record, Recovered};
use proptest::prelude::*;
use rstest::rstest;

/// Opens the log in a folder and collects its records.
fn open(folder: &Path) -> (Log, Recovered) {
    let mut records = Vec::new();
    let visit = |segment, payload: &[u8]| {
        let payload = payload.to_vec();
        records.push(Record { segment, payload });
    };
    let (log, torn) = Log::open(folder, visit).expect("a usable folder");
    (log, Recovered { records, torn })
}

/// Returns the payloads of all recovered records.
fn payloads(recovered: &Recovered) -> Vec<Vec<u8>> {
    let records = recovered.records.iter();
    records.map(|record| record.payload.clone()).collect()
}

/// Returns the only segment file of a folder.
fn only_file(folder: &Path) -> PathBuf {
    let mut entries = std::fs::read_dir(folder).expect("a folder");
    let first = entries.next().expect("a file").expect("an entry");
    assert!(entries.next().is_none());
    first.path()
}

/// Writes three records and returns them with the bytes of their segment.
fn sample() -> (Vec<Vec<u8>>, Vec<u8>) {
    let folder = tempfile::tempdir().expect("a folder");
    let records = vec![b"first".to_vec(), Vec::new(), vec![7; 90]];
    let (mut log, _) = open(folder.path());
    log.append(&records[..1]).expect("a written record");
    log.append(&records[1..]).expect("written records");
    let bytes = std::fs::read(only_file(folder.path())).expect("a segment");
    (records, bytes)
}

/// Recovers a log whose only segment has these bytes.
fn recover(bytes: &[u8]) -> Recovered {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("00000000000000000001.log"), bytes).expect("a segment");
    open(folder.path()).1
}

/// Guards against a wrong record after the file was cut at any offset.
#[rstest]
fn cut_anywhere() {
    let (records, bytes) = sample();
    for len in 0..bytes.len() {
        let found = payloads(&recover(&bytes[..len]));
        assert_eq!(found, records[..found.len()], "cut at {len}");
        assert!(found.len() < records.len(), "cut at {len}");
    }
    assert_eq!(payloads(&recover(&bytes)), records);
}

/// Guards against a wrong record after any single byte was changed.
#[rstest]
fn flipped_anywhere() {
    let (records, bytes) = sample();
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            let found = payloads(&recover(&damaged));
            assert_eq!(found, records[..found.len()], "bit {bit} of byte {at}");
            assert!(found.len() < records.len(), "bit {bit} of byte {at}");
        }
    }
}

/// Guards against zeros, which a power loss may leave, that are read as records.
#[rstest]
fn zeros_after_end() {
    let (records, mut bytes) = sample();
    bytes.extend_from_slice(&[0; 64]);
    let recovered = recover(&bytes);
    assert_eq!(payloads(&recovered), records);
    assert_eq!(recovered.torn[0].lost_bytes, 64);
}

/// Guards against records that are lost because they were written behind a torn end.
#[rstest]
fn append_after_torn_end() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path());
    log.append(&[b"first".to_vec(), b"second".to_vec()])
        .expect("written records");
    drop(log);
    let file = only_file(folder.path());
    let bytes = std::fs::read(&file).expect("a segment");
    std::fs::write(&file, &bytes[..bytes.len() - 1]).expect("a torn segment");
    let (mut log, recovered) = open(folder.path());
    assert_eq!(payloads(&recovered), [b"first".to_vec()]);
    log.append(&[b"third".to_vec()]).expect("a written record");
    drop(log);
    let (_, recovered) = open(folder.path());
    assert_eq!(payloads(&recovered), [b"first".to_vec(), b"third".to_vec()]);
}

/// Guards against a log that grows for ever, and against the removal of the segment in use.
#[rstest]
fn removed_segments() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path());
    let large = vec![1; 5 * 1024 * 1024];
    let first = log.append(std::slice::from_ref(&large)).expect("a record");
    let second = log.append(&[b"last".to_vec()]).expect("a record");
    assert!(first < second);
    assert_eq!(log.active_segment(), Some(second));
    log.remove(first).expect("a removed segment");
    log.remove(second).expect("a segment that stays");
    drop(log);
    assert_eq!(payloads(&open(folder.path()).1), [b"last".to_vec()]);
}

/// Guards against a replaced segment whose records come in another order or are lost when the process
/// ends meanwhile, and against the replacement of the segment in use.
#[rstest]
fn replaced_segment() {
    let folder = tempfile::tempdir().expect("a folder");
    let large = vec![1; 5 * 1024 * 1024];
    let (mut log, _) = open(folder.path());
    let first = log.append(&[b"first".to_vec(), large]).expect("records");
    let last = log.append(&[b"last".to_vec()]).expect("a record");
    assert!(log.replace(first, &[b"first".to_vec()]).expect("a segment"));
    assert!(!log.replace(last, &[]).expect("a segment that stays"));
    drop(log);
    let unfinished = folder.path().join("00000000000000000001.new");
    std::fs::write(&unfinished, b"half").expect("a file");
    let kept = [b"first".to_vec(), b"last".to_vec()];
    assert_eq!(payloads(&open(folder.path()).1), kept);
    assert!(!unfinished.exists());
}

/// Guards against a failed write that makes later records unreadable.
#[rstest]
fn failed_write() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path());
    log.append(&[b"first".to_vec()]).expect("a record");
    let too_large = vec![0; MAX_RECORD_BYTES + 1];
    let error = log.append(&[too_large]).expect_err("a refused record");
    assert!(matches!(error, LogError::TooLarge { .. }), "{error}");
    log.append(&[b"second".to_vec()]).expect("a record");
    drop(log);
    assert_eq!(
        payloads(&open(folder.path()).1),
        [b"first".to_vec(), b"second".to_vec()]
    );
}

proptest! {
    /// Guards against a panic or an endless loop on arbitrary bytes.
    #[test]
    fn arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let recovered = recover(&bytes);
        let read: usize = recovered.records.iter().map(|row| row.payload.len() + 8).sum();
        let lost: u64 = recovered.torn.iter().map(|row| row.lost_bytes).sum();
        prop_assert_eq!(read as u64 + lost, bytes.len() as u64);
    }

    /// Guards against batches that come back changed or in another order.
    #[test]
    fn round_trip(batches in prop::collection::vec(
        prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 1..4), 1..6,
    )) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut log, _) = open(folder.path());
        for batch in &batches {
            log.append(batch).expect("written records");
        }
        drop(log);
        prop_assert_eq!(payloads(&open(folder.path()).1), batches.concat());
    }
}
