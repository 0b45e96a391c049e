//! Names of objects. Each kind of object has its own type, so that the compiler rejects a
//! name of the wrong kind.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAXIMUM_NAME_LENGTH: usize = 128;

/// Reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string has no characters; a name has at least one.
    #[error("name is empty")]
    Empty,
    /// The string is longer than `MAXIMUM_NAME_LENGTH` (128) bytes.
    #[error("name is longer than {MAXIMUM_NAME_LENGTH} bytes")]
    TooLong,
    /// The string contains this character, which is not one of `a-z A-Z 0-9 . _ : -`.
    #[error(
        "name contains the character {0:?}; only letters, digits, '.', '_', ':' and '-' are allowed"
    )]
    Character(char),
}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAXIMUM_NAME_LENGTH {
        return Err(NameError::TooLong);
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(NameError::Character(character)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the validated name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                validate(&text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;
            fn try_from(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(text.into()))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Name of a node, that is, of one process of barleyspar.
    NodeName;
    /// Name of a runner: a model engine or an instance of a plain service.
    RunnerName;
    /// Name of a model, as callers ask for it.
    ModelName;
    /// Name of an adapter, as callers ask for it in place of its base model.
    AdapterName;
    /// Name of a service: a group of interchangeable runners.
    ServiceName;
    /// Name of a zone in which nodes and runners are placed.
    ZoneName;
    /// Name of a customer: the party on whose behalf a caller sends requests.
    CustomerName;
    /// Name of a policy that decides how many replicas a model has.
    PolicyName;
    /// Name of an operator who submits specifications.
    OperatorName;
}
