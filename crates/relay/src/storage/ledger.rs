//! The file of charge records on the disk of a VM, and the RPC server that fills it.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::task::spawn_blocking;

use crate::charges::{ChargeBatch, ChargeRecord, ChargeRpcServer};

/// Name of the file of charge records, which has one JSON object per line.
const FILE_NAME: &str = "charges.jsonl";

/// JSON-RPC error code for a batch that could not be written; the sender may retry.
const WRITE_FAILED_CODE: i32 = -32_001;

/// The append-only file of charge records.
#[derive(Debug)]
pub(super) struct Ledger {
    file: File,
    path: PathBuf,
    /// Number of the last batch stored, by sender.
    last_batches: HashMap<String, u64>,
}

impl Ledger {
    /// Opens or creates the file in a folder, creating the folder if needed.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(FILE_NAME);
        let mut file = OpenOptions::new().create(true).append(true).open(&path)?;
        // Without the line break, the next record would continue a line torn by a power loss and
        // be lost with it.
        if ends_mid_line(&path)? {
            tracing::warn!("charges: the last record is torn");
            file.write_all(b"\n")?;
        }
        file.sync_all()?;
        // A new file survives a power loss only if its directory entry has been synced.
        File::open(folder)?.sync_all()?;
        Ok(Self {
            file,
            path,
            last_batches: HashMap::new(),
        })
    }

    /// Appends a batch and syncs the file, unless the batch has been stored before.
    fn append(&mut self, batch: &ChargeBatch) -> io::Result<()> {
        let last = self
            .last_batches
            .get(&batch.sender)
            .copied()
            .unwrap_or_default();
        if batch.number <= last {
            return Ok(());
        }
        let mut lines = Vec::new();
        for record in &batch.records {
            serde_json::to_writer(&mut lines, record)?;
            lines.push(b'\n');
        }
        self.file.write_all(&lines)?;
        self.file.sync_data()?;
        self.last_batches.insert(batch.sender.clone(), batch.number);
        Ok(())
    }

    /// Reads all records, skipping lines torn by a power loss.
    pub fn read_records(&self) -> io::Result<Vec<ChargeRecord>> {
        let text = std::fs::read(&self.path)?;
        let lines = text.split(|byte| *byte == b'\n');
        let mut records = Vec::new();
        for line in lines.filter(|line| !line.is_empty()) {
            match serde_json::from_slice(line) {
                Ok(record) => records.push(record),
                Err(error) => tracing::warn!("charges: torn record skipped ({error})"),
            }
        }
        Ok(records)
    }
}

/// Returns whether the last line of a file is incomplete.
fn ends_mid_line(path: &Path) -> io::Result<bool> {
    let mut file = File::open(path)?;
    if file.seek(SeekFrom::End(0))? == 0 {
        return Ok(false);
    }
    file.seek(SeekFrom::End(-1))?;
    let mut last = [0];
    file.read_exact(&mut last)?;
    Ok(last != *b"\n")
}

/// The RPC server to which other VMs send charge records.
#[derive(Debug, Clone)]
pub(super) struct ChargeServer {
    pub ledger: Arc<Mutex<Ledger>>,
}

#[jsonrpsee::core::async_trait]
impl ChargeRpcServer for ChargeServer {
    async fn store_batch(&self, batch: ChargeBatch) -> RpcResult<()> {
        let ledger = Arc::clone(&self.ledger);
        let task = spawn_blocking(move || {
            let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.append(&batch)
        });
        let result = task
            .await
            .unwrap_or_else(|error| Err(io::Error::other(error)));
        result.map_err(|error| {
            tracing::error!("charges: batch not kept ({error})");
            ErrorObjectOwned::owned(WRITE_FAILED_CODE, error.to_string(), None::<()>)
        })
    }
}
