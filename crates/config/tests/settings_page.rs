//! Fails if `docs/settings.md` differs from the page generated from the code.

use knapweeddale_config::Settings;

#[test]
fn page_equals_code() {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let reference = Settings::reference();
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(&page, &reference).expect("docs/settings.md is writable");
    }
    let text = std::fs::read_to_string(&page).expect("docs/settings.md is readable");
    assert_eq!(
        text, reference,
        "docs/settings.md is out of date; run this test with UPDATE_PAGES=1 to regenerate it"
    );
}
