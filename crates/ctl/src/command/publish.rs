//! Publishes a folder by a conditional write to the store.

use std::path::Path;

use knapweeddale_config::{Change, Document};
use knapweeddale_store::{CONFIG_KEY, HttpObjectApi, ObjectApi, StoreError};

use crate::{CtlError, Report};

/// Compares a folder with the published configuration.
pub(super) async fn diff(store: &str, folder: &Path) -> Result<Report, CtlError> {
    let document = Document::collect(folder)?;
    let api = HttpObjectApi::builder().base_url(store).build()?;
    let (revision, published) = read_published(&api).await?;
    let changes = knapweeddale_config::diff(&published, &document);
    Ok(Report::Diff { revision, changes })
}

/// Validates a folder and writes it on condition that the store's revision has not changed
/// since the comparison.
///
/// Nothing is written if there are findings or no changes.
pub(super) async fn publish(
    store: &str,
    expect: Option<u64>,
    folder: &Path,
) -> Result<Report, CtlError> {
    let document = Document::collect(folder)?;
    let findings = document.check();
    if !findings.is_empty() {
        return Ok(Report::Checked { document, findings });
    }
    let api = HttpObjectApi::builder().base_url(store).build()?;
    let (revision, before) = read_published(&api).await?;
    if let Some(expected) = expect.filter(|expected| *expected != revision) {
        return Err(CtlError::Conflict {
            revision,
            changes: format!("the store has revision {revision}, not {expected}"),
        });
    }
    let changes = knapweeddale_config::diff(&before, &document);
    if changes.is_empty() {
        return Ok(Report::Diff { revision, changes });
    }
    let value = document.to_bytes()?;
    match api.put(CONFIG_KEY, value.clone(), revision).await {
        Ok(revision) => Ok(Report::Published { revision, changes }),
        Err(StoreError::Conflict { .. }) => Err(conflict_error(&api, &before).await?),
        Err(error) => confirm_write(&api, &value, &before, error, changes).await,
    }
}

/// Reads the configuration back after a failed write, as the write may have taken effect
/// although its response was lost.
async fn confirm_write(
    api: &HttpObjectApi,
    value: &[u8],
    before: &Document,
    error: StoreError,
    changes: Vec<Change>,
) -> Result<Report, CtlError> {
    let Some(object) = api.get(CONFIG_KEY).await? else {
        return Err(error.into());
    };
    if object.value == value {
        let revision = object.version;
        return Ok(Report::Published { revision, changes });
    }
    if object.value == before.to_bytes()? {
        return Err(error.into());
    }
    Err(conflict_error(api, before).await?)
}

/// Builds the conflict error, which lists what another operator has changed.
async fn conflict_error(api: &HttpObjectApi, before: &Document) -> Result<CtlError, CtlError> {
    let (revision, theirs) = read_published(api).await?;
    let changes = knapweeddale_config::diff(before, &theirs);
    let changes: Vec<String> = changes.iter().map(Change::to_string).collect();
    Ok(CtlError::Conflict {
        revision,
        changes: changes.join("\n"),
    })
}

/// Reads the published configuration; revision 0 and an empty document if there is none.
pub(super) async fn read_published(api: &HttpObjectApi) -> Result<(u64, Document), CtlError> {
    match api.get(CONFIG_KEY).await? {
        Some(object) => Ok((object.version, Document::from_bytes(&object.value)?)),
        None => Ok((0, Document::default())),
    }
}
