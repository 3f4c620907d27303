//! Keys files, written by the operator command.

use std::path::Path;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ConfigError, KeyFile};

/// Keys of a client account, as in `*.keys.yaml`.
///
/// Keys are kept apart from the account's file, because the operator command
/// rewrites them and would lose the comments of a file edited by hand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeysFile {
    /// The account that the keys belong to.
    pub account: String,
    /// The keys, by digest.
    #[serde(default)]
    pub keys: Vec<KeyFile>,
}

impl KeysFile {
    /// The end of the names of keys files.
    pub const SUFFIX: &'static str = ".keys.yaml";

    /// Reads keys from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns the line of the first field that is unknown, missing or of the wrong type.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        serde_norway::from_str(text).map_err(|error| ConfigError::from_yaml(file, &error))
    }

    /// Reads a keys file, or makes an empty one if there is none.
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

    /// Writes the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn save(&self, file: &Path) -> Result<(), ConfigError> {
        let text = serde_norway::to_string(self)
            .map_err(|error| ConfigError::from_yaml(&file.to_string_lossy(), &error))?;
        // A crash between the two steps leaves the old file whole.
        let partial = file.with_extension("yaml.partial");
        std::fs::write(&partial, text)
            .and_then(|()| std::fs::rename(&partial, file))
            .map_err(|error| ConfigError::from_io(file, error))
    }
}
