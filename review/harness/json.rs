//! JSON values and standard base64, as far as the platform's messages need them.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Number(text) => text.parse::<f64>().ok().map(|number| number as u64),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(flag) => write!(f, "{flag}"),
            Json::Number(number) => f.write_str(number),
            Json::Text(text) => f.write_str(&quote(text)),
            Json::List(list) => {
                f.write_str("[")?;
                for (index, item) in list.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Map(map) => {
                f.write_str("{")?;
                for (index, (key, item)) in map.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{}:{item}", quote(key))?;
                }
                f.write_str("}")
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, expected: u8) -> bool {
    space(bytes, at);
    let found = bytes.get(*at) == Some(&expected);
    *at += usize::from(found);
    found
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            if take(bytes, at, b'}') {
                return Some(Json::Map(map));
            }
            loop {
                space(bytes, at);
                let key = string(bytes, at)?;
                if !take(bytes, at, b':') {
                    return None;
                }
                map.insert(key, value(bytes, at)?);
                if take(bytes, at, b'}') {
                    return Some(Json::Map(map));
                }
                if !take(bytes, at, b',') {
                    return None;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            if take(bytes, at, b']') {
                return Some(Json::List(list));
            }
            loop {
                list.push(value(bytes, at)?);
                if take(bytes, at, b']') {
                    return Some(Json::List(list));
                }
                if !take(bytes, at, b',') {
                    return None;
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse::<f64>().ok().map(|_| Json::Number(number.to_owned())),
            }
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b'r' => text.push(b'\r'),
                    b't' => text.push(b'\t'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        text.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
            }
            other => {
                text.push(other);
                *at += 1;
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for digit in text.bytes().filter_map(|c| DIGITS.iter().position(|known| *known == c)) {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}
