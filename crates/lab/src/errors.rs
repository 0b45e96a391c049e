//! Errors of the lab.

use barleyspar_manifest::FileError;
use thiserror::Error;

/// Why a command of the lab ended early.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file is bad.
    #[error(transparent)]
    File(#[from] FileError),
    /// A socket or file failed.
    #[error("barleyspar-lab: {0}")]
    Io(#[from] std::io::Error),
    /// Something else failed.
    #[error("barleyspar-lab: {0}")]
    Failed(String),
}
