//! The form of a message whose digest is signed.

use serde_json::Value;

/// Returns the canonical form of a message: keys in order, and no fields that
/// are null or empty, since callers add and leave out such fields at will.
pub(crate) fn canonical_message(message: &Value) -> Vec<u8> {
    let mut text = Vec::new();
    write_canonical(message, true, &mut text);
    text
}

/// Appends a value; empty fields are left out of the outermost object only.
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

/// Returns whether a field says nothing.
fn is_empty(field: &Value) -> bool {
    match field {
        Value::Null => true,
        Value::String(text) => text.is_empty(),
        Value::Array(items) => items.is_empty(),
        _ => false,
    }
}
