//! Generated reference page of the settings.

use std::fmt::Write as _;

use serde_json::Value;

use super::Settings;

/// Text above the rows of the table.
const PAGE_HEADER: &str = "# Settings of a VM

`knapweeddale-entry --settings FILE` reads these fields from a YAML file. Unknown fields are errors. `--check` checks a file and `--print-settings` prints it with all defaults filled in.

| Field | Default | Meaning |
|---|---|---|
";

/// Text below the table, on settings that the users' platform writes for the other daemon.
const PAGE_FOOTER: &str = "
## Settings of `knapweeddale-relay` that a deployment asks for

The platform writes the settings of `knapweeddale-relay`; each of these fields turns something on.

| Field | Default | Meaning |
|---|---|---|
| `bounds.evacuateMs` | none | Time after which an evacuated worker gets no more calls. Without it, `evacuations` are not read. They are read once a second at most, whatever the bound; it holds from about 3,000 on. |
| `zones` | `{}` | The region of each zone, for `allowedRegions` of routes and tenants. A zone that is missing is in no region. |
";

impl Settings {
    /// Generates a Markdown table of all fields with default and description, from the JSON schema.
    pub fn reference() -> String {
        let schema = schemars::schema_for!(Self).to_value();
        let mut page = PAGE_HEADER.to_owned();
        let Some(properties) = schema["properties"].as_object() else {
            return page;
        };
        for (name, property) in properties {
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                page,
                "| `{name}` | {} | {} |",
                format_default(property),
                format_description(property)
            );
        }
        page.push_str(PAGE_FOOTER);
        page
    }
}

/// Formats the default of a field; a field without one is required.
fn format_default(property: &Value) -> String {
    match property.get("default") {
        None => "required".to_owned(),
        Some(Value::Null) => "none".to_owned(),
        Some(value) => format!("`{value}`"),
    }
}

/// Joins the lines of a field's description, since a table cell holds one line.
fn format_description(property: &Value) -> String {
    let text = property["description"].as_str().unwrap_or_default();
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
