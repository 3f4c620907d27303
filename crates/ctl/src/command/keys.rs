//! Commands that manage the keys of client accounts.

use std::path::{Path, PathBuf};

use knapweeddale_config::{Document, KeyFile, KeysFile};
use knapweeddale_token::CallerKey;

use super::KeysCommand;
use crate::report::KeyRow;
use crate::{CtlError, Report};

/// Length of the secret part; 40 characters of 62 hold 238 random bits.
const SECRET_LEN: usize = 40;

/// Runs a `keys` subcommand.
pub(super) fn run(command: KeysCommand) -> Result<Report, CtlError> {
    match command {
        KeysCommand::Grant {
            account,
            id,
            folder,
        } => grant(&folder, &account, &id),
        KeysCommand::List { folder } => list(&folder),
        KeysCommand::Withdraw { id, folder } => withdraw(&folder, &id),
    }
}

/// Generates a key and appends its digest to the account's keys file.
///
/// The key itself is only in the report; no file contains it.
fn grant(folder: &Path, account: &str, id: &str) -> Result<Report, CtlError> {
    let document = Document::collect(folder)?;
    let mut accounts = document.accounts.iter();
    if !accounts.any(|file| file.account == account) {
        return Err(CtlError::UnknownAccount(account.to_owned()));
    }
    if key_ids(&document).any(|taken| taken == id) {
        return Err(CtlError::KeyId(id.to_owned()));
    }
    let text = format!("kwd_{id}_{}", random_secret()?);
    let key: CallerKey = text.parse().map_err(|_| CtlError::KeyId(id.to_owned()))?;
    let path = keys_file_path(folder, account);
    let mut file = KeysFile::load_or_new(&path, account)?;
    file.keys.push(KeyFile {
        id: id.to_owned(),
        sha256: key.digest_hex(),
        withdrawn: false,
    });
    file.save(&path)?;
    Ok(Report::KeyGranted {
        key: key.expose().to_owned(),
        file: path.display().to_string(),
    })
}

/// Lists the keys of all accounts in a folder.
fn list(folder: &Path) -> Result<Report, CtlError> {
    let document = Document::collect(folder)?;
    let rows = document.accounts.iter().flat_map(|account| {
        account.keys.iter().map(|key| KeyRow {
            account: account.account.clone(),
            id: key.id.clone(),
            withdrawn: key.withdrawn,
        })
    });
    Ok(Report::Keys(rows.collect()))
}

/// Marks a key as withdrawn in its keys file.
fn withdraw(folder: &Path, id: &str) -> Result<Report, CtlError> {
    let document = Document::collect(folder)?;
    for account in &document.accounts {
        let path = keys_file_path(folder, &account.account);
        let mut file = KeysFile::load_or_new(&path, &account.account)?;
        if let Some(key) = file.keys.iter_mut().find(|key| key.id == id) {
            key.withdrawn = true;
            file.save(&path)?;
            return Ok(Report::KeyWithdrawn {
                id: id.to_owned(),
                file: path.display().to_string(),
            });
        }
    }
    Err(CtlError::UnknownKey(id.to_owned()))
}

/// Returns the IDs (public parts) of all keys.
fn key_ids(document: &Document) -> impl Iterator<Item = &str> {
    let keys = document.accounts.iter().flat_map(|account| &account.keys);
    keys.map(|key| key.id.as_str())
}

/// Returns the path of an account's keys file.
fn keys_file_path(folder: &Path, account: &str) -> PathBuf {
    folder.join(format!("{account}{}", KeysFile::SUFFIX))
}

/// Generates the secret part of a key.
fn random_secret() -> Result<String, CtlError> {
    const ALPHABET: &[u8; 62] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    /// Bytes from this value on are discarded: 248 is the largest multiple of 62
    /// below 256, and the rest would bias the secret to the first characters.
    const REJECTED_FROM: u8 = 248;
    let mut secret = String::new();
    while secret.len() < SECRET_LEN {
        let mut bytes = [0; 64];
        getrandom::fill(&mut bytes).map_err(|error| CtlError::RandomSource(error.to_string()))?;
        let unbiased = bytes.iter().filter(|byte| **byte < REJECTED_FROM);
        let characters = unbiased.map(|byte| char::from(ALPHABET[usize::from(byte % 62)]));
        secret.extend(characters.take(SECRET_LEN - secret.len()));
    }
    Ok(secret)
}
