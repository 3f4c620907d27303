//! Keys files (`*.keys.yaml`), written by the operator command.

use std::path::Path;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ConfigError, KeyFile};

/// Keys of a client account, as in `*.keys.yaml`.
///
/// Keys have a file of their own because the operator command rewrites it,
/// which would drop the comments of a file edited by hand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeysFile {
    /// Name of the account that the keys belong to.
    pub account: String,
    /// Keys of the account, including withdrawn ones.
    #[serde(default)]
    pub keys: Vec<KeyFile>,
}

impl KeysFile {
    /// Suffix of the names of keys files.
    pub const SUFFIX: &'static str = ".keys.yaml";

    /// Parses the text of a keys file; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns an error with the line of the first unknown, missing or mistyped field.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        serde_norway::from_str(text).map_err(|error| ConfigError::from_yaml(file, &error))
    }

    /// Reads a keys file; if it does not exist, returns one without keys for `account`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed.
    pub fn load_or_new(file: &Path, account: &str) -> Result<Self, ConfigError> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(&file.to_string_lossy(), &text),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Self {
                account: account.to_owned(),
                keys: Vec::new(),
            }),
            Err(error) => Err(ConfigError::from_io(file, error)),
        }
    }

    /// Writes the keys to `file`, replacing it atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn save(&self, file: &Path) -> Result<(), ConfigError> {
        let text = serde_norway::to_string(self)
            .map_err(|error| ConfigError::from_yaml(&file.to_string_lossy(), &error))?;
        // Written to a temporary file and renamed, so that a crash leaves the old file intact.
        let partial = file.with_extension("yaml.partial");
        std::fs::write(&partial, text)
            .and_then(|()| std::fs::rename(&partial, file))
            .map_err(|error| ConfigError::from_io(file, error))
    }
}
