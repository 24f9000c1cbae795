//! Names of teams, zones, targets and the like, as shared immutable strings.

use std::{borrow::Borrow, str::FromStr, sync::Arc};

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Longest accepted name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// The text is not usable as a name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a name; use 1 to {MAX_NAME_LEN} letters, digits, '-', '_' or '.'"
))]
pub struct NameError {
    text: String,
}

fn check(text: &str) -> Result<(), NameError> {
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
            /// Checks `text` and wraps it.
            ///
            /// # Errors
            ///
            /// Fails when `text` is empty, too long or holds other characters than letters,
            /// digits, `-`, `_` and `.`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                let text = text.as_ref();
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
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
    /// A team: a customer of the fleet, with its own keys, weight and limits.
    TeamName;
    /// An availability zone.
    ZoneName;
    /// A region, made of availability zones with short links between them.
    RegionName;
    /// A VM on the platform's list.
    VmName;
    /// A target: one model engine or one plain service.
    TargetName;
    /// A model that callers ask for.
    ModelName;
    /// A version of a model.
    VersionName;
    /// A plain service, served by one or more targets.
    ServiceName;
    /// A route from a path and method to a plain service.
    RouteName;
    /// A declared move of a model from one version to another.
    MoveName;
    /// An environment, such as trial or production.
    EnvironmentName;
    /// An operator, as recorded with a configuration change.
    OperatorName;
    /// A process of the system.
    ProcessName;
}

impl From<ProcessName> for OperatorName {
    /// The author of a renewal is a process.
    fn from(name: ProcessName) -> Self {
        Self(name.0)
    }
}

#[cfg(test)]
#[path = "../tests/unit/name.rs"]
mod tests;
