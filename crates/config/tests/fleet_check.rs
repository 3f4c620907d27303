//! Invalid or contradictory files must not be published: each violation is
//! reported with its remedy, and a valid document survives encoding.

use knapweeddale_config::{AccountFile, Document, ServiceFile};

fn service(text: &str) -> ServiceFile {
    ServiceFile::parse("s.service.yaml", text).expect("service file is valid")
}

fn account(text: &str) -> AccountFile {
    AccountFile::parse("a.account.yaml", text).expect("account file is valid")
}

#[test]
fn findings_name_remedies() {
    let document = Document {
        accounts: vec![
            account("{account: aller, rate_calls_per_s: 0, burst_calls: 0}"),
            account(
                "{account: aller, rate_calls_per_s: 1, burst_calls: 1, keys: [{id: k1, sha256: zz}]}",
            ),
            account("{account: 'a b', rate_calls_per_s: 1, burst_calls: 1, weight_percent: 0}"),
        ],
        services: vec![
            service(
                "{service: chat, kind: engine, models: [m, n], routes: [{path: /x}], upstreams: [{name: e1, address: 'host:1', models: [m, q]}]}",
            ),
            service(
                "{service: pay, kind: plain, models: [m], upstreams: [{name: e1, address: '127.0.0.1:1', min_running_calls: 3, max_running_calls: 2}], routes: [{path: pay}, {path: pay}]}",
            ),
        ],
    };
    let findings: Vec<String> = document.check().iter().map(ToString::to_string).collect();
    insta::assert_yaml_snapshot!(findings);
}

#[test]
fn examples_pass() {
    for deployment in ["consorcio", "alliance"] {
        let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(deployment);
        let document = Document::collect(&folder).expect("example files are valid");
        assert!(!document.services.is_empty() && !document.accounts.is_empty());
        assert_eq!(document.check(), Vec::new());
    }
}

#[test]
fn document_round_trip() {
    let document = Document {
        accounts: vec![account(
            "{account: aller, rate_calls_per_s: 2.5, burst_calls: 7}",
        )],
        services: vec![],
    };
    let bytes = document.to_bytes().expect("document is encoded");
    assert_eq!(
        Document::from_bytes(&bytes).expect("document is decoded"),
        document
    );
}
