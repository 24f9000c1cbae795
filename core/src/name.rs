//! Validated names of teams, zones, targets and other items, as shared immutable strings.

use std::{borrow::Borrow, str::FromStr, sync::Arc};

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// The text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a name; use 1 to {MAX_NAME_LEN} letters, digits, '-', '_' or '.'"
))]
pub struct NameError {
    text: String,
}

fn validate(text: &str) -> Result<(), NameError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    ensure!(
        !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(allowed),
        NameSnafu { text }
    );
    Ok(())
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Serialize,
            Deserialize,
        )]
        #[as_ref(str)]
        #[serde(try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            ///
            /// Fails if `text` is empty, longer than [`MAX_NAME_LEN`] bytes or contains characters
            /// other than ASCII letters, digits, `-`, `_` and `.`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                let text = text.as_ref();
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }
    )*};
}

names! {
    /// Name of a team: a customer of the fleet with its own keys, weight and limits.
    TeamName;
    /// Name of an availability zone.
    ZoneName;
    /// Name of a region, a group of availability zones with low latency between them.
    RegionName;
    /// Name of a VM, as listed by the platform.
    VmName;
    /// Name of a target: one instance of a model engine or plain service.
    TargetName;
    /// Name of a model, as given in requests.
    ModelName;
    /// Version of a model.
    VersionName;
    /// Name of a plain service, which has one or more targets.
    ServiceName;
    /// Name of a route to a service.
    RouteName;
    /// Name of a version move of a model.
    MoveName;
    /// Name of an environment, such as trial or production.
    EnvironmentName;
    /// Author of a configuration change: an operator, or a process for renewals.
    OperatorName;
    /// Name of a process of the fleet.
    ProcessName;
}

impl From<ProcessName> for OperatorName {
    /// Makes a process the author of a configuration renewal.
    fn from(name: ProcessName) -> Self {
        Self(name.0)
    }
}

#[cfg(test)]
#[path = "../tests/unit/name.rs"]
mod tests;
