//! A small JSON reader and writer. Numbers keep their text, so that none loses digits.

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is not valid JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    /// Returns the field of an object; `Null` if there is none.
    pub fn field(&self, name: &str) -> &Json {
        if let Json::Object(fields) = self
            && let Some((_, value)) = fields.iter().find(|(key, _)| key == name)
        {
            return value;
        }
        &Json::Null
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (number, item) in items.iter().enumerate() {
                    let comma = if number > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (number, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if number > 0 { "," } else { "" })?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if c < ' ' => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match bytes.get(*at)? {
        b'{' => parse_object(bytes, at),
        b'[' => parse_list(bytes, at),
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => parse_word(bytes, at, "true", Json::Bool(true)),
        b'f' => parse_word(bytes, at, "false", Json::Bool(false)),
        b'n' => parse_word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
            while bytes.get(*at).is_some_and(is_part) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            (!text.is_empty()).then(|| Json::Number(text.to_owned()))
        }
    }
}

fn parse_word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn parse_object(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut fields = Vec::new();
    loop {
        skip_blanks(bytes, at);
        match bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Object(fields));
            }
            b',' => *at += 1,
            _ => {
                let key = parse_text(bytes, at)?;
                skip_blanks(bytes, at);
                if bytes.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                fields.push((key, parse_value(bytes, at)?));
            }
        }
    }
}

fn parse_list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut items = Vec::new();
    loop {
        skip_blanks(bytes, at);
        match bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            b',' => *at += 1,
            _ => items.push(parse_value(bytes, at)?),
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('\u{fffd}');
                        text.extend_from_slice(c.to_string().as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
