//! Errors in files, in the form `FILE:LINE: field: cause`.

use std::fmt;

use thiserror::Error;

/// One error in one file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {field}: {cause}")]
pub struct FileError {
    /// The file's path as it was given.
    pub file: String,
    /// Line, 1-based.
    pub line: usize,
    /// Field, or the name of the object or document part.
    pub field: String,
    /// What is wrong.
    pub cause: String,
}

/// All errors found in a set of files, one a line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct FileErrors(pub Vec<FileError>);

impl fmt::Display for FileErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(FileError::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}
