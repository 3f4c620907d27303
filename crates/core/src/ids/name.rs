//! Names of entities, as shared immutable strings.

use std::fmt;
use std::sync::Arc;

/// Defines name types, each a shared immutable string.
macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        ///
        /// Clones share the text, so cloning is cheap.
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    )+};
}

names! {
    /// The name of a client account.
    AccountName,
    /// The name of a failure domain.
    DomainName,
    /// The public part of a caller's key.
    KeyId,
    /// The name of a model.
    ModelName,
    /// The name of a program within its client account, as `root/child` for sub-agents.
    ProgramName,
    /// The name of a region, which has one or more failure domains.
    RegionName,
    /// The name of a service.
    ServiceName,
    /// The version of an upstream's software, not of the model weights that it has loaded.
    SoftwareVersion,
    /// The caller's ID of a turn that the system keeps.
    TurnId,
    /// The name of an upstream.
    UpstreamName,
    /// The name of a VM.
    VmName,
}

impl ProgramName {
    /// Returns the name of the root program; a root program's name is cloned without copying.
    #[must_use]
    pub fn root_name(&self) -> Self {
        if self.is_root() {
            return self.clone();
        }
        Self::from(self.root())
    }

    /// Returns whether this is the name of a root program.
    pub fn is_root(&self) -> bool {
        !self.as_str().contains('/')
    }

    /// Returns whether this program is `other` or one of its sub-agents.
    pub fn is_within(&self, other: &Self) -> bool {
        self.as_str()
            .strip_prefix(other.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Returns the first segment, which names the root program.
    ///
    /// # Examples
    ///
    /// ```
    /// use knapweeddale_core::ProgramName;
    ///
    /// assert_eq!(ProgramName::from("tour/hotel").root(), "tour");
    /// assert_eq!(ProgramName::from("tour").root(), "tour");
    /// ```
    pub fn root(&self) -> &str {
        self.as_str().split('/').next().unwrap_or_default()
    }
}
