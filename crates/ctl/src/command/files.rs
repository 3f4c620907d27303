//! Commands that need no store: `check` and `schema`.

use std::path::Path;

use knapweeddale_config::Document;

use crate::{CtlError, Report};

/// Validates all files below a folder, including references between them.
pub(super) fn check(folder: &Path) -> Result<Report, CtlError> {
    let document = Document::collect(folder)?;
    let findings = document.check();
    Ok(Report::Checked { document, findings })
}

/// Returns the JSON schema of the service, account and keys files.
pub(super) fn schema() -> Report {
    Report::Schema(Document::schema())
}
