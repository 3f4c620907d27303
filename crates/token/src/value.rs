//! The values that can be signed.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{
    AccountName, Epoch, HistoryDigest, Incarnation, ProgramKey, ProgramName, VmName,
};

use crate::encoding::{Decoder, Encoder, EncodingError};

/// A value that callers carry under the fleet's signature.
pub trait SignedValue: Sized {
    /// Tells the kinds of values apart under one secret.
    const KIND: u8;

    /// The header that carries the value, for error messages.
    const HEADER: &'static str;

    /// Writes the fields.
    fn encode(&self, encoder: &mut Encoder);

    /// Reads the fields.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoding of the value.
    fn decode(decoder: &mut Decoder<'_>) -> Result<Self, EncodingError>;
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

    fn decode(decoder: &mut Decoder<'_>) -> Result<Self, EncodingError> {
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
            .u32(self.seq)
            .text(self.home.as_str())
            .u64(self.incarnation.0)
            .u64(self.epoch.0);
    }

    fn decode(decoder: &mut Decoder<'_>) -> Result<Self, EncodingError> {
        Ok(Self {
            program: decode_program(decoder)?,
            generation: decoder.u64()?,
            turn: decoder.u32()?,
            seq: decoder.u32()?,
            home: VmName::from(decoder.text()?),
            incarnation: Incarnation(decoder.u64()?),
            epoch: Epoch(decoder.u64()?),
        })
    }
}

/// Writes account and name of a program.
fn encode_program(program: &ProgramKey, encoder: &mut Encoder) {
    encoder.text(program.account.as_str());
    encoder.text(program.name.as_str());
}

/// Reads account and name of a program.
fn decode_program(decoder: &mut Decoder<'_>) -> Result<ProgramKey, EncodingError> {
    Ok(ProgramKey {
        account: AccountName::from(decoder.text()?),
        name: ProgramName::from(decoder.text()?),
    })
}
