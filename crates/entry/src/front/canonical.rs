//! Canonical form of messages, which is the input of the signed history digest.

use serde_json::Value;

/// Returns the canonical form of a message: keys are sorted, and top-level fields that are null or
/// empty are left out, because callers may add or omit such fields when they repeat a message.
pub(crate) fn canonical_message(message: &Value) -> Vec<u8> {
    let mut text = Vec::new();
    write_canonical(message, true, &mut text);
    text
}

/// Appends a value; null and empty fields are left out only of the outermost object.
fn write_canonical(value: &Value, is_outermost: bool, text: &mut Vec<u8>) {
    match value {
        Value::Object(fields) => {
            let mut fields: Vec<_> = fields
                .iter()
                .filter(|(_, field)| !(is_outermost && is_empty(field)))
                .collect();
            fields.sort_by_key(|(name, _)| *name);
            text.push(b'{');
            for (name, field) in fields {
                text.extend(Value::from(name.as_str()).to_string().as_bytes());
                text.push(b':');
                write_canonical(field, false, text);
                text.push(b',');
            }
            text.push(b'}');
        }
        Value::Array(items) => {
            text.push(b'[');
            for item in items {
                write_canonical(item, false, text);
                text.push(b',');
            }
            text.push(b']');
        }
        plain => text.extend(plain.to_string().as_bytes()),
    }
}

/// Returns whether a value is null, an empty string or an empty list.
fn is_empty(field: &Value) -> bool {
    match field {
        Value::Null => true,
        Value::String(text) => text.is_empty(),
        Value::Array(items) => items.is_empty(),
        _ => false,
    }
}
