//! INI documents, with the line numbers of sections and keys for error messages.

use std::fmt;

/// The result of parsing a document.
pub type Result<T> = std::result::Result<T, Error>;

/// The error of parsing a text that is not an INI document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Line number of the first invalid line, from 1.
    pub line: usize,
    /// Why the line is invalid.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for Error {}

/// A parsed document: its sections in the order of the text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// The sections; a name that is repeated in the text is repeated here.
    pub sections: Vec<Section>,
}

/// A section with its entries. Keys before the first header are in a section with an empty name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name in the header, without brackets.
    pub name: String,
    /// Line number of the header, from 1.
    pub line: usize,
    /// The entries in the order of the text; a key that is repeated in the text is repeated here.
    pub entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name before the `=`.
    pub key: String,
    /// Text after the `=`, without escape processing.
    pub value: String,
    /// Line number of the key, from 1.
    pub line: usize,
}

impl Document {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// On the first line that is neither a section header, an entry nor a comment.
    ///
    /// # Examples
    ///
    /// ```
    /// use corneltrestle_kernel::ini::Document;
    ///
    /// let doc = Document::parse("[node]\nid = a\n").unwrap();
    /// assert_eq!(doc.sections[0].entries[0].value, "a");
    /// assert_eq!(doc.sections[0].entries[0].line, 2);
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        check_headers(text)?;
        let parsed = ini::Ini::load_from_str_noescape(text)
            .map_err(|e| Error { line: e.line, message: e.msg.into_owned() })?;
        let mut lines = Lines::new(text);
        let mut sections = Vec::new();
        for (name, properties) in parsed.iter() {
            if name.is_none() && properties.is_empty() {
                continue;
            }
            let line = name.map_or(1, |name| lines.section(name));
            let entries = properties
                .iter()
                .map(|(key, value)| Entry {
                    key: key.to_owned(),
                    value: value.to_owned(),
                    line: lines.key(key),
                })
                .collect();
            sections.push(Section { name: name.unwrap_or("").to_owned(), line, entries });
        }
        Ok(Self { sections })
    }

    /// The sections named `name`.
    pub fn named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections.iter().filter(move |section| section.name == name)
    }
}

impl Section {
    /// The first entry with this key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// Rejects section headers without a closing bracket. The parser would read such a header to the
/// end of the text and report the last line instead.
fn check_headers(text: &str) -> Result<()> {
    let open = |line: &str| line.trim_start().starts_with('[') && !line.contains(']');
    match text.lines().position(open) {
        Some(at) => Err(Error { line: at + 1, message: "section header without ]".to_owned() }),
        None => Ok(()),
    }
}

/// Finds the line numbers of sections and keys, which the parser does not report. They must be
/// looked up in the order of the text.
struct Lines<'a> {
    /// Line number and trimmed text of each line.
    lines: Vec<(usize, &'a str)>,
    /// Index of the line after the one found last.
    next: usize,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let lines = text.lines().enumerate().map(|(n, line)| (n + 1, line.trim())).collect();
        Self { lines, next: 0 }
    }

    fn section(&mut self, name: &str) -> usize {
        self.advance(|line| {
            line.strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
                .is_some_and(|found| found.trim() == name)
        })
    }

    fn key(&mut self, key: &str) -> usize {
        self.advance(|line| {
            let found = line.split(['=', ':']).next().unwrap_or("");
            !line.starts_with(['#', ';', '[']) && found.trim() == key
        })
    }

    /// Moves past the next matching line and returns its number; without a match, that of the line
    /// found last, or 1.
    fn advance(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        let found = self.lines[self.next..].iter().position(|(_, line)| matches(line));
        if let Some(offset) = found {
            self.next += offset + 1;
        }
        self.next.max(1)
    }
}
