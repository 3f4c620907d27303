//! Rows of the sections, as columns.
//!
//! The body of a section is the number of its rows, then each field as a column. A later version
//! appends columns, which a build that does not know them ignores.

use knapweeddale_core::PoolKey;
use knapweeddale_core::message::{PoolDemand, UpstreamPace, UpstreamReport};
use postcard::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Rows that have a section of their own.
pub(super) trait Columns: Sized {
    /// The number of the section.
    const NUMBER: u16;
    /// The version that this build writes.
    const VERSION: u8;

    /// Appends the columns of rows to a body.
    fn put_columns(rows: &[Self], body: &mut Body);

    /// Takes the columns that this build knows off a body.
    fn take_columns(body: &mut ColumnReader<'_>) -> Result<Vec<Self>, Error>;
}

/// The body of a section that is being written.
#[derive(Debug, Default)]
pub(super) struct Body(pub Vec<u8>);

impl Body {
    /// Appends a column.
    fn put<T: Serialize>(&mut self, values: impl Iterator<Item = T>) {
        for value in values {
            append(&mut self.0, &value);
        }
    }

    /// Appends a column of times of processes.
    ///
    /// Each is the difference from the one before, which is shorter: the processes of a fleet start
    /// within hours or days of each other.
    fn put_starts(&mut self, values: impl Iterator<Item = u64>) {
        let mut previous = 0_u64;
        self.put(values.map(|value| {
            let before = std::mem::replace(&mut previous, value);
            value.wrapping_sub(before).cast_signed()
        }));
    }
}

/// The columns of a received section.
#[derive(Debug)]
pub(super) struct ColumnReader<'a> {
    rows: usize,
    rest: &'a [u8],
}

impl<'a> ColumnReader<'a> {
    /// Reads the number of rows.
    ///
    /// A value takes a byte or more, so a number of rows beyond the length of the body is wrong and
    /// no memory is reserved for it.
    fn new(body: &'a [u8]) -> Result<Self, Error> {
        let (rows, rest): (u32, _) = postcard::take_from_bytes(body)?;
        let rows = rows as usize;
        match rows <= rest.len() {
            true => Ok(Self { rows, rest }),
            false => Err(Error::DeserializeUnexpectedEnd),
        }
    }

    /// Takes the next column.
    fn take<T: DeserializeOwned>(&mut self) -> Result<Vec<T>, Error> {
        let mut values = Vec::with_capacity(self.rows);
        for _ in 0..self.rows {
            let (value, rest) = postcard::take_from_bytes(self.rest)?;
            self.rest = rest;
            values.push(value);
        }
        Ok(values)
    }

    /// Takes the next column, which holds times of processes.
    fn take_starts(&mut self) -> Result<Vec<u64>, Error> {
        let differences = self.take::<i64>()?;
        let values = differences.into_iter().scan(0_u64, |previous, difference| {
            *previous = previous.wrapping_add_signed(difference);
            Some(*previous)
        });
        Ok(values.collect())
    }
}

/// Appends a value in the encoding of messages.
pub(super) fn append<T: Serialize>(bytes: &mut Vec<u8>, value: &T) {
    // Only types whose length is not known in advance fail, and sections hold none.
    if let Ok(encoded) = postcard::to_stdvec(value) {
        bytes.extend_from_slice(&encoded);
    }
}

/// Encodes rows as the body of a section.
pub(super) fn encode_columns<T: Columns>(rows: &[T]) -> Vec<u8> {
    let mut body = Body::default();
    append(&mut body.0, &rows.len());
    T::put_columns(rows, &mut body);
    body.0
}

/// Decodes the body of a section as far as this build knows its columns.
pub(super) fn decode_columns<T: Columns>(body: &[u8]) -> Result<Vec<T>, Error> {
    T::take_columns(&mut ColumnReader::new(body)?)
}

impl Columns for PoolDemand {
    const NUMBER: u16 = 1;
    const VERSION: u8 = 1;

    fn put_columns(rows: &[Self], body: &mut Body) {
        body.put(rows.iter().map(|row| &row.pool.service));
        body.put(rows.iter().map(|row| &row.pool.model));
        body.put(rows.iter().map(|row| row.timely_calls));
        body.put(rows.iter().map(|row| row.late_calls));
    }

    fn take_columns(body: &mut ColumnReader<'_>) -> Result<Vec<Self>, Error> {
        let services = body.take()?.into_iter();
        let models = body.take()?.into_iter();
        let timely_calls = body.take()?.into_iter();
        let late_calls = body.take()?.into_iter();
        let rows = services.zip(models).zip(timely_calls).zip(late_calls);
        let rows = rows.map(|(((service, model), timely_calls), late_calls)| Self {
            pool: PoolKey { service, model },
            timely_calls,
            late_calls,
        });
        Ok(rows.collect())
    }
}

impl Columns for UpstreamReport {
    const NUMBER: u16 = 2;
    const VERSION: u8 = 1;

    fn put_columns(rows: &[Self], body: &mut Body) {
        body.put(rows.iter().map(|row| &row.upstream));
        body.put_starts(rows.iter().map(|row| row.started_unix_ms));
        body.put(rows.iter().map(|row| row.responses));
        body.put(rows.iter().map(|row| row.busy_us));
        body.put(rows.iter().map(|row| row.read_tokens));
        body.put(rows.iter().map(|row| row.read_us));
        body.put(rows.iter().map(|row| row.rejections));
    }

    fn take_columns(body: &mut ColumnReader<'_>) -> Result<Vec<Self>, Error> {
        let upstreams = body.take()?;
        let starts = body.take_starts()?;
        let responses = body.take()?;
        let busy_us = body.take()?;
        let read_tokens = body.take()?;
        let read_us = body.take()?;
        let rejections = body.take()?;
        let rows = upstreams.into_iter().enumerate();
        let rows = rows.map(|(row, upstream)| Self {
            upstream,
            started_unix_ms: starts[row],
            responses: responses[row],
            busy_us: busy_us[row],
            read_tokens: read_tokens[row],
            read_us: read_us[row],
            rejections: rejections[row],
        });
        Ok(rows.collect())
    }
}

impl Columns for UpstreamPace {
    const NUMBER: u16 = 3;
    const VERSION: u8 = 1;

    fn put_columns(rows: &[Self], body: &mut Body) {
        body.put(rows.iter().map(|row| &row.upstream));
        body.put_starts(rows.iter().map(|row| row.started_unix_ms));
        body.put(rows.iter().map(|row| row.age_us));
        body.put(rows.iter().map(|row| row.responses));
        body.put(rows.iter().map(|row| row.setbacks));
    }

    fn take_columns(body: &mut ColumnReader<'_>) -> Result<Vec<Self>, Error> {
        let upstreams = body.take()?;
        let starts = body.take_starts()?;
        let ages_us = body.take()?;
        let responses = body.take()?;
        let setbacks = body.take()?;
        let rows = upstreams.into_iter().enumerate();
        let rows = rows.map(|(row, upstream)| Self {
            upstream,
            started_unix_ms: starts[row],
            age_us: ages_us[row],
            responses: responses[row],
            setbacks: setbacks[row],
        });
        Ok(rows.collect())
    }
}
