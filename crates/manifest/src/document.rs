//! A TOML document with the places of its parts.

use std::ops::Range;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::FileError;

/// Largest file that is read, in bytes.
const MAXIMUM_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// The text of a file and its path, for locating errors.
#[derive(Debug, Clone)]
pub struct Document {
    /// Path as it was given.
    pub file: String,
    /// Content.
    pub text: String,
}

impl Document {
    /// Reads `path`; the file must be UTF-8 and not larger than 16 MiB.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let file = path.display().to_string();
        let refuse = |cause: String| FileError {
            file: file.clone(),
            line: 1,
            field: "file".to_owned(),
            cause,
        };
        let metadata = std::fs::metadata(path).map_err(|error| refuse(error.to_string()))?;
        if metadata.len() > MAXIMUM_FILE_BYTES {
            return Err(refuse(format!("is larger than {MAXIMUM_FILE_BYTES} bytes")));
        }
        let bytes = std::fs::read(path).map_err(|error| refuse(error.to_string()))?;
        let text = String::from_utf8(bytes)
            .map_err(|error| refuse(format!("is not UTF-8 text: {}", error.utf8_error())))?;
        Ok(Self { file, text })
    }

    /// Parses the document into `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, FileError> {
        if self.text.trim().is_empty() {
            return Err(self.error(0, "file", "is empty"));
        }
        toml::from_str(&self.text).map_err(|error| self.locate(&error))
    }

    /// An error at byte `offset`.
    pub fn error(&self, offset: usize, field: &str, cause: impl Into<String>) -> FileError {
        FileError {
            file: self.file.clone(),
            line: self.line_at(offset),
            field: field.to_owned(),
            cause: cause.into(),
        }
    }

    /// Line, 1-based, of byte `offset`.
    pub fn line_at(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        1 + self.text.as_bytes()[..end]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
    }

    /// Line, 1-based, on which `field` is set inside `span`; the span's first
    /// line if it is not set there.
    pub fn line_of_field(&self, span: &Range<usize>, field: &str) -> usize {
        let first = self.line_at(span.start);
        self.text
            .lines()
            .enumerate()
            .skip(first - 1)
            .take_while(|(index, line)| *index < first || !line.starts_with("[["))
            .find(|(_, line)| key_of(line) == Some(field))
            .map_or(first, |(index, _)| index + 1)
    }

    fn locate(&self, error: &toml::de::Error) -> FileError {
        let offset = error.span().map_or(0, |span| span.start);
        let cause = error.message().replace('\n', " ");
        let field = quoted_field(&cause)
            .or_else(|| self.field_at(offset))
            .unwrap_or_else(|| "file".to_owned());
        self.error(offset, &field, cause)
    }

    fn field_at(&self, offset: usize) -> Option<String> {
        let line = self.text.lines().nth(self.line_at(offset) - 1)?;
        let header = line.trim().trim_start_matches('[').trim_end_matches(']');
        let name = key_of(line).unwrap_or(header).trim();
        (!name.is_empty()).then(|| name.chars().take(64).collect())
    }
}

fn key_of(line: &str) -> Option<&str> {
    line.split_once('=').map(|(key, _)| key.trim())
}

/// The field named in a message such as ``unknown field `x` ``.
fn quoted_field(message: &str) -> Option<String> {
    let named = ["unknown field `", "missing field `", "duplicate field `"];
    let start = named.iter().find_map(|prefix| message.split_once(prefix))?;
    start.1.split_once('`').map(|(field, _)| field.to_owned())
}

/// Reads and parses the TOML file at `path`.
pub fn read_document<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    Document::read(path)?.parse()
}
