//! INI documents with the line of each section and key.

use std::fmt;

/// The result of parsing a document.
pub type Result<T> = std::result::Result<T, Error>;

/// A text that is not an INI document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Line of the fault, from 1.
    pub line: usize,
    /// What is wrong.
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
    /// The sections, repeated names included.
    pub sections: Vec<Section>,
}

/// A section with its entries; keys before the first section have the name `""`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name between the brackets.
    pub name: String,
    /// Line of the name, from 1.
    pub line: usize,
    /// The entries in the order of the text, repeated keys included.
    pub entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Line of the key, from 1.
    pub line: usize,
}

impl Document {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// The first line that is neither a section, an entry nor a comment.
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

/// Rejects a section header without its closing bracket; the parser would read on to the end of
/// the text and name the last line.
fn check_headers(text: &str) -> Result<()> {
    let open = |line: &str| line.trim_start().starts_with('[') && !line.contains(']');
    match text.lines().position(open) {
        Some(at) => Err(Error { line: at + 1, message: "section header without ]".to_owned() }),
        None => Ok(()),
    }
}

/// Finds lines again after parsing; the parser does not report them.
struct Lines<'a> {
    rest: Vec<(usize, &'a str)>,
    at: usize,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let rest = text.lines().enumerate().map(|(n, line)| (n + 1, line.trim())).collect();
        Self { rest, at: 0 }
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

    fn advance(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        let found = self.rest[self.at..].iter().position(|(_, line)| matches(line));
        if let Some(offset) = found {
            self.at += offset + 1;
        }
        self.at.max(1)
    }
}
