//! Errors of policy programs.

use thiserror::Error;

/// Reason why a policy program cannot be compiled, or gives no valid decision.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PolicyError {
    /// The program does not parse, or does not define `decide`.
    #[error("syntax error: {cause}")]
    Syntax {
        /// Line in the program, 1-based; 0 if unknown.
        line: usize,
        /// Message of the parser.
        cause: String,
    },
    /// The program failed at run time, or exceeded its step limit.
    #[error("the program fails for {context}: {cause}")]
    Run {
        /// Line in the program, 1-based; 0 if unknown.
        line: usize,
        /// Model and hour for which the program failed.
        context: String,
        /// Message of the interpreter.
        cause: String,
    },
    /// The program's result has a wrong type, an unknown or missing field, or a value out
    /// of range.
    #[error("result field {field}: {cause}")]
    Result {
        /// Name of the invalid field, or `decide` if the result is not a map.
        field: String,
        /// Description of the invalid value.
        cause: String,
    },
}

impl PolicyError {
    /// Returns the line of the error in the program, 1-based; 0 if unknown.
    pub fn line(&self) -> usize {
        match self {
            Self::Syntax { line, .. } | Self::Run { line, .. } => *line,
            Self::Result { .. } => 0,
        }
    }
}
