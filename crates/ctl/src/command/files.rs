//! Commands that only read files.

use std::path::Path;

use knapweeddale_config::Document;

use crate::{CtlError, Report};

/// Checks all files below a folder together.
pub(super) fn check(folder: &Path) -> Result<Report, CtlError> {
    let document = Document::collect(folder)?;
    let findings = document.check();
    Ok(Report::Checked { document, findings })
}

/// Returns the JSON schema of the files.
pub(super) fn schema() -> Report {
    Report::Schema(Document::schema())
}
