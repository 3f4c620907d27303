//! Validation of a document: rules within and across files.

mod accounts;
mod services;

use derive_more::Display;

use crate::Document;

/// Violation of a rule, which prevents the document from being published.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Two entries of one kind have the same name.
    #[display("{kind} {name:?} is defined twice; rename or remove one")]
    DuplicateName {
        /// Kind of the entry, such as `service`.
        kind: &'static str,
        /// Name of the entry.
        name: String,
    },
    /// A name is empty or has characters that are not allowed in routes and logs.
    #[display("{kind} name {name:?} is malformed; use letters, digits, `-`, `_` and `.`")]
    MalformedName {
        /// Kind of the entry, such as `service`.
        kind: &'static str,
        /// Name of the entry.
        name: String,
    },
    /// A model is offered by two services.
    #[display("model {model:?} is offered by {first:?} and {second:?}; keep it in one service")]
    DuplicateModel {
        /// Name of the model.
        model: String,
        /// Service that offers the model first.
        first: String,
        /// Another service that offers it.
        second: String,
    },
    /// An upstream loads a model that its service does not offer.
    #[display(
        "upstream {upstream:?} loads model {model:?}, which its service does not offer; add it to `models`"
    )]
    ModelNotOffered {
        /// Name of the upstream.
        upstream: String,
        /// Name of the model.
        model: String,
    },
    /// No upstream of the service loads one of its models.
    #[display(
        "model {model:?} of service {service:?} has no upstream; add one or remove the model"
    )]
    ModelWithoutUpstream {
        /// Name of the service.
        service: String,
        /// Name of the model.
        model: String,
    },
    /// An address is not `ip:port`.
    #[display(
        "address {address:?} of upstream {upstream:?} is not `ip:port`; write an IP number and a port"
    )]
    MalformedAddress {
        /// Name of the upstream.
        upstream: String,
        /// Address as written in the file.
        address: String,
    },
    /// The call limits of an upstream are zero or contradict each other.
    #[display(
        "upstream {upstream:?} has min_running_calls {min_calls} and max_running_calls {max_calls}; use 1 <= min <= max"
    )]
    InvalidRunningLimits {
        /// Name of the upstream.
        upstream: String,
        /// Value of `min_running_calls`.
        min_calls: u32,
        /// Value of `max_running_calls`.
        max_calls: u32,
    },
    /// Two routes of a service have the same method and path.
    #[display("service {service:?} has two routes for {method} {path:?}; merge them")]
    DuplicateRoute {
        /// Name of the service.
        service: String,
        /// HTTP method, or `any method` for a route without methods.
        method: String,
        /// Path of the route.
        path: String,
    },
    /// The path of a route does not start with a slash.
    #[display("path {path:?} of service {service:?} does not start with `/`; add it")]
    MalformedPath {
        /// Name of the service.
        service: String,
        /// Path of the route.
        path: String,
    },
    /// A field does not apply to services of this kind.
    #[display(
        "service {service:?} has `{field}`, which only {kind} services have; remove it or change `kind`"
    )]
    InapplicableField {
        /// Name of the service.
        service: String,
        /// Name of the field.
        field: &'static str,
        /// Kind of service to which the field applies.
        kind: &'static str,
    },
    /// A limit of an account is out of range.
    #[display("account {account:?} has {field} {value}; use {remedy}")]
    InvalidAccountLimit {
        /// Name of the account.
        account: String,
        /// Name of the field.
        field: &'static str,
        /// Value as written in the file.
        value: String,
        /// Range of allowed values.
        remedy: &'static str,
    },
    /// The digest of a key is not 64 hexadecimal digits.
    #[display(
        "key {id:?} of account {account:?} has a malformed sha256; write 64 hexadecimal digits"
    )]
    MalformedDigest {
        /// Name of the account.
        account: String,
        /// Identifier of the key.
        id: String,
    },
}

impl Document {
    /// Validates the document and returns all violations.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        accounts::check(&self.accounts, &mut findings);
        services::check(&self.services, &mut findings);
        findings
    }
}

/// Reports names that are malformed or occur more than once.
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
