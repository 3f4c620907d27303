//! Tokens that this fleet did not sign, and tokens of another kind, are rejected.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{Epoch, HistoryDigest, ProgramKey};
use knapweeddale_token::{Signer, TokenError};
use proptest::prelude::*;

fn signer() -> Signer {
    Signer::new(&[7; 32]).expect("secret is long enough")
}

fn continuation(account: String, name: String, turn: u32, number: u64) -> Continuation {
    Continuation {
        program: ProgramKey {
            account: account.into(),
            name: name.into(),
        },
        generation: number,
        turn,
        history: HistoryDigest([turn as u8; 32]),
        spent_tokens: number,
        age_ms: number / 2,
        epoch: Epoch(number),
    }
}

proptest! {
    #[test]
    fn value_round_trips(account in ".{0,40}", name in ".{0,40}", turn: u32, number: u64) {
        let value = continuation(account, name, turn, number);
        let token = signer().sign(&value);
        prop_assert_eq!(signer().verify::<Continuation>(&token), Ok(value));
    }

    #[test]
    fn changed_token_fails(position in 0usize..150, letter in "[A-Za-z0-9_-]") {
        let token = signer().sign(&continuation("aller".into(), "tour".into(), 3, 9));
        let position = position % token.len();
        let mut changed = token.clone();
        changed.replace_range(position..=position, &letter);
        prop_assume!(changed != token);
        prop_assert!(signer().verify::<Continuation>(&changed).is_err());
    }
}

#[test]
fn other_secret_fails() {
    let token = signer().sign(&continuation("aller".into(), "tour".into(), 3, 9));
    let other = Signer::new(&[8; 32]).expect("secret is long enough");
    let header = "kwd-continuation";
    assert_eq!(
        other.verify::<Continuation>(&token),
        Err(TokenError::Signature { header })
    );
}

#[test]
fn other_kind_fails() {
    let token = signer().sign(&continuation("aller".into(), "tour".into(), 3, 9));
    let header = "kwd-permit";
    assert_eq!(
        signer().verify::<Permit>(&token),
        Err(TokenError::Kind { header })
    );
}
