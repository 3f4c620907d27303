//! Fleet configuration, collected from all files into one document.

use std::path::{Path, PathBuf};

use knapweeddale_core::{FleetConfig, Revision};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::error::ConfigErrorKind;
use crate::{AccountFile, ConfigError, KeysFile, ServiceFile};

/// Maximum size of an encoded document; the store accepts no larger value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Suffixes of the files that are collected; others are ignored.
const SUFFIXES: [&str; 3] = [".service.yaml", ".account.yaml", KeysFile::SUFFIX];

/// Configuration of the whole fleet, as stored under `fleet/config`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Client accounts, ordered by name.
    #[serde(default)]
    pub accounts: Vec<AccountFile>,
    /// Services, ordered by name.
    #[serde(default)]
    pub services: Vec<ServiceFile>,
}

/// # Reading
impl Document {
    /// Collects all `*.service.yaml`, `*.account.yaml` and `*.keys.yaml` files below a folder.
    ///
    /// # Errors
    ///
    /// Returns an error for each file that cannot be read or parsed.
    /// A folder that cannot be read ends the search with a single error.
    pub fn collect(folder: &Path) -> Result<Self, Vec<ConfigError>> {
        let mut files = Vec::new();
        find_files(folder, &mut files).map_err(|error| vec![error])?;
        files.sort();
        let mut document = Self::default();
        let mut errors = Vec::new();
        let (keys, others): (Vec<_>, Vec<_>) = files
            .into_iter()
            .partition(|file| file.to_string_lossy().ends_with(KeysFile::SUFFIX));
        // Keys files are read last, since their keys are added to accounts read before.
        for file in others.iter().chain(&keys) {
            if let Err(error) = document.add_file(file) {
                errors.push(error);
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        document.sort();
        Ok(document)
    }

    /// Parses a file by its suffix and adds its content to the document.
    fn add_file(&mut self, file: &Path) -> Result<(), ConfigError> {
        let name = file.to_string_lossy();
        let text =
            std::fs::read_to_string(file).map_err(|error| ConfigError::from_io(file, error))?;
        if name.ends_with(".service.yaml") {
            self.services.push(ServiceFile::parse(&name, &text)?);
        } else if name.ends_with(KeysFile::SUFFIX) {
            self.add_keys(&name, KeysFile::parse(&name, &text)?)?;
        } else {
            self.accounts.push(AccountFile::parse(&name, &text)?);
        }
        Ok(())
    }

    /// Adds the keys of a keys file to the account that it names.
    fn add_keys(&mut self, name: &str, keys: KeysFile) -> Result<(), ConfigError> {
        let account = self
            .accounts
            .iter_mut()
            .find(|account| account.account == keys.account)
            .ok_or_else(|| ConfigError {
                file: PathBuf::from(name),
                line: None,
                kind: ConfigErrorKind::UnknownAccount(keys.account.clone()),
            })?;
        account.keys.extend(keys.keys);
        Ok(())
    }

    /// Sorts accounts and services by name, so that the same entries always give the same document.
    fn sort(&mut self) {
        self.accounts.sort_by(|a, b| a.account.cmp(&b.account));
        self.services.sort_by(|a, b| a.service.cmp(&b.service));
    }
}

/// # Encoding
impl Document {
    /// Encodes the document as JSON, the form in which the store holds it.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is larger than [`MAX_DOCUMENT_BYTES`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, ConfigError> {
        let error = |kind| ConfigError {
            file: PathBuf::from("fleet/config"),
            line: None,
            kind,
        };
        let bytes =
            serde_json::to_vec(self).map_err(|e| error(ConfigErrorKind::Invalid(e.to_string())))?;
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(error(ConfigErrorKind::TooLarge {
                size_bytes: bytes.len(),
                limit_bytes: MAX_DOCUMENT_BYTES,
            }));
        }
        Ok(bytes)
    }

    /// Decodes a document that the store holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not JSON or do not match the schema.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ConfigError> {
        serde_json::from_slice(bytes).map_err(|error| ConfigError {
            file: PathBuf::from("fleet/config"),
            line: Some(error.line()),
            kind: ConfigErrorKind::Invalid(error.to_string()),
        })
    }

    /// Converts the document to the core's configuration.
    ///
    /// `revision` is the store's revision of the document.
    pub fn to_fleet(&self, revision: Revision) -> FleetConfig {
        FleetConfig {
            revision,
            accounts: self.accounts.iter().map(AccountFile::to_core).collect(),
            services: self.services.iter().map(ServiceFile::to_core).collect(),
            ..FleetConfig::default()
        }
    }

    /// Returns the JSON schema of a document, which includes service and account files.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Self).to_value()
    }
}

/// Appends all service, account and keys files below a folder, at any depth.
fn find_files(folder: &Path, files: &mut Vec<PathBuf>) -> Result<(), ConfigError> {
    let entries = std::fs::read_dir(folder).map_err(|error| ConfigError::from_io(folder, error))?;
    for entry in entries {
        let path = entry
            .map_err(|error| ConfigError::from_io(folder, error))?
            .path();
        let name = path.to_string_lossy();
        if path.is_dir() {
            find_files(&path, files)?;
        } else if SUFFIXES.iter().any(|suffix| name.ends_with(suffix)) {
            files.push(path);
        }
    }
    Ok(())
}
