//! Guards against a page of settings that differs from the code.

use knapweeddale_config::Settings;

#[test]
fn page_equals_code() {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let reference = Settings::reference();
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(&page, &reference).expect("page is written");
    }
    let text = std::fs::read_to_string(&page).expect("page exists");
    assert_eq!(
        text, reference,
        "run the test with UPDATE_PAGES=1 to renew the page"
    );
}
