//! JSON values, as far as the bodies of the platform need them.

/// A JSON value. Numbers are below 2^53.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    /// Parses a value; `Null` if the bytes are no JSON.
    pub fn parse(bytes: &[u8]) -> Json {
        let mut parser = Parser { bytes, at: 0 };
        parser.value().unwrap_or(Json::Null)
    }

    /// A member of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(members) => {
                members.iter().find(|(key, _)| key == name).map_or(&NULL, |(_, value)| value)
            }
            _ => &NULL,
        }
    }

    pub fn num(&self) -> Option<f64> {
        if let Json::Num(number) = self { Some(*number) } else { None }
    }

    pub fn str(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::Arr(items) = self { items } else { &[] }
    }

    /// The value as text.
    pub fn text(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Num(number) => number.to_string(),
            Json::Str(text) => quote(text),
            Json::Arr(items) => {
                format!("[{}]", items.iter().map(Json::text).collect::<Vec<_>>().join(","))
            }
            Json::Obj(members) => {
                let member = |(key, value): &(String, Json)| format!("{}:{}", quote(key), value.text());
                format!("{{{}}}", members.iter().map(member).collect::<Vec<_>>().join(","))
            }
        }
    }
}

/// A JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            letter if (letter as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut members = Vec::new();
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    self.take(b':')?;
                    members.push((key, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Obj(members))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Arr(items))
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut read = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(read).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => read.push(b'\n'),
                        b'r' => read.push(b'\r'),
                        b't' => read.push(b'\t'),
                        b'b' => read.push(8),
                        b'f' => read.push(12),
                        b'u' => {
                            let text = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(u32::from_str_radix(text, 16).ok()?)?;
                            read.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => read.push(other),
                    }
                }
                byte => read.push(byte),
            }
        }
    }
}
