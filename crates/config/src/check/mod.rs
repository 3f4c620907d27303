//! Checks over all files of the fleet together.

mod accounts;
mod services;

use derive_more::Display;

use crate::Document;

/// Something in a document that keeps it from being published.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Two entries have the same name.
    #[display("{kind} {name:?} is defined twice; rename or remove one")]
    DuplicateName {
        /// What is defined, such as `service`.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A name is empty or has characters that routes and logs cannot carry.
    #[display("{kind} name {name:?} is malformed; use letters, digits, `-`, `_` and `.`")]
    MalformedName {
        /// What is named.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A model is offered by two services.
    #[display("model {model:?} is offered by {first:?} and {second:?}; keep it in one service")]
    DuplicateModel {
        /// The model.
        model: String,
        /// The first service.
        first: String,
        /// The second service.
        second: String,
    },
    /// An upstream has a model that its service does not offer.
    #[display(
        "upstream {upstream:?} loads model {model:?}, which its service does not offer; add it to `models`"
    )]
    ModelNotOffered {
        /// The upstream.
        upstream: String,
        /// The model.
        model: String,
    },
    /// A model has no upstream.
    #[display(
        "model {model:?} of service {service:?} has no upstream; add one or remove the model"
    )]
    ModelWithoutUpstream {
        /// The service.
        service: String,
        /// The model.
        model: String,
    },
    /// An address is not `ip:port`.
    #[display(
        "address {address:?} of upstream {upstream:?} is not `ip:port`; write an IP number and a port"
    )]
    MalformedAddress {
        /// The upstream.
        upstream: String,
        /// The address.
        address: String,
    },
    /// The limits of an upstream contradict each other.
    #[display(
        "upstream {upstream:?} has min_running_calls {min_calls} and max_running_calls {max_calls}; use 1 <= min <= max"
    )]
    InvalidRunningLimits {
        /// The upstream.
        upstream: String,
        /// The lowest limit.
        min_calls: u32,
        /// The highest limit.
        max_calls: u32,
    },
    /// Two routes match the same requests.
    #[display("service {service:?} has two routes for {method} {path:?}; merge them")]
    DuplicateRoute {
        /// The service.
        service: String,
        /// The method, or `any method`.
        method: String,
        /// The path.
        path: String,
    },
    /// A path does not start with a slash.
    #[display("path {path:?} of service {service:?} does not start with `/`; add it")]
    MalformedPath {
        /// The service.
        service: String,
        /// The path.
        path: String,
    },
    /// A field does not fit the kind of the service.
    #[display(
        "service {service:?} has `{field}`, which only {kind} services have; remove it or change `kind`"
    )]
    InapplicableField {
        /// The service.
        service: String,
        /// The field.
        field: &'static str,
        /// The kind that has the field.
        kind: &'static str,
    },
    /// A limit of an account can never admit a call.
    #[display("account {account:?} has {field} {value}; use {remedy}")]
    InvalidAccountLimit {
        /// The account.
        account: String,
        /// The field.
        field: &'static str,
        /// The value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
    /// A key's digest is malformed.
    #[display(
        "key {id:?} of account {account:?} has a malformed sha256; write 64 hexadecimal digits"
    )]
    MalformedDigest {
        /// The account.
        account: String,
        /// The key.
        id: String,
    },
}

impl Document {
    /// Checks all files together and returns everything that is wrong.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        accounts::check(&self.accounts, &mut findings);
        services::check(&self.services, &mut findings);
        findings
    }
}

/// Returns names that occur more than once or are malformed.
fn check_names<'a>(
    kind: &'static str,
    names: impl Iterator<Item = &'a str>,
    findings: &mut Vec<Finding>,
) {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || !name.chars().all(is_allowed) {
            let name = name.to_owned();
            findings.push(Finding::MalformedName { kind, name });
        } else if !seen.insert(name) {
            let name = name.to_owned();
            findings.push(Finding::DuplicateName { kind, name });
        }
    }
}
