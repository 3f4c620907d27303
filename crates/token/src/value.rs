//! The values that can be signed, and their fields on the wire.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{
    AccountName, Epoch, HistoryDigest, Incarnation, ProgramKey, ProgramName, VmName,
};

use crate::encoding::{DecodeError, Decoder, Encoder};

/// A value that is given to callers in a signed token.
pub trait SignedValue: Sized {
    /// Number of the kind of value, which keeps a token of one kind from being accepted as another.
    const KIND: u8;

    /// The header that carries the value, for error messages.
    const HEADER: &'static str;

    /// Encodes the fields.
    fn encode(&self, encoder: &mut Encoder);

    /// Decodes the fields.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoding of the value.
    fn decode(decoder: &mut Decoder<'_>) -> Result<Self, DecodeError>;
}

impl SignedValue for Continuation {
    const KIND: u8 = 1;
    const HEADER: &'static str = "kwd-continuation";

    fn encode(&self, encoder: &mut Encoder) {
        encode_program(&self.program, encoder);
        encoder
            .u64(self.generation)
            .u32(self.turn)
            .bytes(&self.history.0)
            .u64(self.spent_tokens)
            .u64(self.age_ms)
            .u64(self.epoch.0);
    }

    fn decode(decoder: &mut Decoder<'_>) -> Result<Self, DecodeError> {
        Ok(Self {
            program: decode_program(decoder)?,
            generation: decoder.u64()?,
            turn: decoder.u32()?,
            history: HistoryDigest(decoder.array()?),
            spent_tokens: decoder.u64()?,
            age_ms: decoder.u64()?,
            epoch: Epoch(decoder.u64()?),
        })
    }
}

impl SignedValue for Permit {
    const KIND: u8 = 2;
    const HEADER: &'static str = "kwd-permit";

    fn encode(&self, encoder: &mut Encoder) {
        encode_program(&self.program, encoder);
        encoder
            .u64(self.generation)
            .u32(self.turn)
            .u64(self.seq)
            .text(self.home.as_str())
            .u64(self.incarnation.0)
            .u64(self.epoch.0);
    }

    fn decode(decoder: &mut Decoder<'_>) -> Result<Self, DecodeError> {
        Ok(Self {
            program: decode_program(decoder)?,
            generation: decoder.u64()?,
            turn: decoder.u32()?,
            seq: decoder.u64()?,
            home: VmName::from(decoder.text()?),
            incarnation: Incarnation(decoder.u64()?),
            epoch: Epoch(decoder.u64()?),
        })
    }
}

/// Encodes the account and name of a program.
fn encode_program(program: &ProgramKey, encoder: &mut Encoder) {
    encoder.text(program.account.as_str());
    encoder.text(program.name.as_str());
}

/// Decodes the account and name of a program.
fn decode_program(decoder: &mut Decoder<'_>) -> Result<ProgramKey, DecodeError> {
    Ok(ProgramKey {
        account: AccountName::from(decoder.text()?),
        name: ProgramName::from(decoder.text()?),
    })
}
