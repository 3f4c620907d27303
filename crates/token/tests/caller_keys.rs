//! Malformed keys are rejected, and debug output does not show the secret.

use knapweeddale_token::{CallerKey, KeyError};
use rstest::rstest;

const SECRET: &str = "0123456789abcdefghijABCDEFGHIJ01";

#[rstest]
#[case::no_prefix(format!("key_desk_{SECRET}"), KeyError::Prefix)]
#[case::no_secret("kwd_desk".to_owned(), KeyError::Secret)]
#[case::empty_id(format!("kwd__{SECRET}"), KeyError::Id)]
#[case::upper_id(format!("kwd_Desk_{SECRET}"), KeyError::Id)]
#[case::short_secret("kwd_desk_0123".to_owned(), KeyError::Secret)]
#[case::other_letters(format!("kwd_desk_{SECRET}_"), KeyError::Secret)]
fn malformed(#[case] text: String, #[case] error: KeyError) {
    assert_eq!(text.parse::<CallerKey>().unwrap_err(), error);
}

#[test]
fn secret_is_hidden() {
    let key: CallerKey = format!("kwd_desk_{SECRET}").parse().expect("key is valid");
    let shown = format!("{key:?} {:?}", key.presented());
    assert!(!shown.contains(SECRET), "{shown}");
}
