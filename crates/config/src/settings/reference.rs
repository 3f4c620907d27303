//! The page that documents the settings.

use std::fmt::Write as _;

use serde_json::Value;

use super::Settings;

/// Text before the table.
const PAGE_HEADER: &str = "# Settings of a VM

`knapweeddale-entry --settings FILE` reads these fields from a YAML file. Unknown fields are errors. `--check` checks a file and `--print-settings` prints it with all defaults filled in.

| Field | Default | Meaning |
|---|---|---|
";

impl Settings {
    /// Returns the reference of all settings as a Markdown page.
    pub fn reference() -> String {
        let schema = schemars::schema_for!(Self).to_value();
        let mut page = PAGE_HEADER.to_owned();
        let Some(properties) = schema["properties"].as_object() else {
            return page;
        };
        for (name, property) in properties {
            // Writing to a string cannot fail.
            let _ = writeln!(
                page,
                "| `{name}` | {} | {} |",
                format_default(property),
                format_description(property)
            );
        }
        page
    }
}

/// Formats the default of a field.
fn format_default(property: &Value) -> String {
    match property.get("default") {
        None => "required".to_owned(),
        Some(Value::Null) => "none".to_owned(),
        Some(value) => format!("`{value}`"),
    }
}

/// Returns the description of a field on one line.
fn format_description(property: &Value) -> String {
    let text = property["description"].as_str().unwrap_or_default();
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
