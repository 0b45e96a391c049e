//! Reading files written by people: manifests of objects, and any other TOML
//! document, with errors that name file, line, field and cause.

mod document;
mod errors;
mod objects;

pub use document::{Document, read_document};
pub use errors::{FileError, FileErrors};
pub use objects::{LocatedObject, ManifestSet, read_manifests};
