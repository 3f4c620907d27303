//! Guards against mistyped fields that are ignored, errors that do not name
//! the line, and defaults that differ from those of the core.

use knapweeddale_config::Settings;
use knapweeddale_core::{CoreSettings, DomainName, Incarnation, VmName};

const MINIMAL: &str = "vm: vm-1
failure_domain: north
listen: 127.0.0.1:8080
peer_listen: 127.0.0.1:8081
store: http://127.0.0.1:8090
secret_file: fleet.secret
";

#[test]
fn defaults_equal_core() {
    let settings = Settings::parse("vm.yaml", MINIMAL).expect("minimal settings are valid");
    let core = CoreSettings::builder()
        .vm(VmName::from("vm-1"))
        .incarnation(Incarnation(3))
        .failure_domain(DomainName::from("north"))
        .address("127.0.0.1:8081".to_owned())
        .build();
    let converted = settings.to_core(Incarnation(3));
    assert_eq!(format!("{converted:?}"), format!("{core:?}"));
}

#[test]
fn unknown_field_names_line() {
    let text = format!("{MINIMAL}leese_ms: 4\n");
    let error = Settings::parse("vm.yaml", &text).expect_err("unknown field is an error");
    insta::assert_snapshot!(
        error
            .to_string()
            .split(", expected")
            .next()
            .unwrap_or_default()
    );
    assert_eq!(error.line, Some(7));
}

#[test]
fn printed_settings_parse() {
    let settings = Settings::parse("vm.yaml", MINIMAL).expect("minimal settings are valid");
    let reparsed = Settings::parse("printed", &settings.to_yaml()).expect("printed settings parse");
    assert_eq!(settings, reparsed);
}
