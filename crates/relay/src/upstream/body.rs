//! Decodes the body of a response: chunked, of a known length, or until the connection closes.

use bytes::{Buf, Bytes};
use http::{Method, StatusCode};
use knapweeddale_runtime::MemoryPermit;
use tokio::task::coop::consume_budget;

use super::grammar::{self, Framing, LINE_END};
use super::{Connection, ReadError, ResponseHead};

/// Limit for the size line of a chunk, and for a trailer.
const MAX_LINE_BYTES: usize = 8 * 1024;

/// What each response begins with.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Limit for the number of trailers.
const MAX_TRAILERS: usize = 64;

/// Limit for the size lines and line ends of the chunks of one body.
///
/// Without it, chunks of one byte let a body take six times its limit from the connection, and keep
/// the traffic thread from other calls for as long as they are parsed.
const MAX_FRAMING_BYTES: usize = 1_280 * 1024;

/// The part of a body that is still to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remaining {
    /// This many bytes.
    Length(u64),
    /// This many bytes of the current chunk, then its line end and the chunks after it.
    Chunk(u64),
    /// A chunk, from its size line on.
    ChunkSize,
    /// Trailers, up to the empty line.
    Trailers,
    /// All bytes until the connection closes.
    UntilClose,
    /// Nothing.
    Nothing,
}

/// What was read of a body.
#[derive(Debug)]
pub(crate) enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The start of the body, for the rest of which there is no memory.
    Start(Bytes),
}

/// Creates the error for a body that exceeds its limit.
fn too_long() -> ReadError {
    ReadError::malformed("the body exceeds the limit")
}

/// Reads the body of one response from its connection.
#[derive(Debug)]
pub(crate) struct Body<'a> {
    connection: &'a mut Connection,
    remaining: Remaining,
    is_close_delimited: bool,
    trailers: usize,
    /// Bytes of size lines and line ends so far.
    framing_bytes: usize,
}

impl<'a> Body<'a> {
    /// Starts to read the body that follows a head.
    pub fn new(
        connection: &'a mut Connection,
        method: &Method,
        head: &ResponseHead,
    ) -> Result<Self, ReadError> {
        let remaining = detect_framing(method, head)?;
        Ok(Self {
            connection,
            remaining,
            is_close_delimited: remaining == Remaining::UntilClose,
            trailers: 0,
            framing_bytes: 0,
        })
    }

    /// Returns whether the connection can be reused after the body was read.
    ///
    /// Bytes after the body belong to no request, so a connection with such bytes is not reused.
    pub fn allows_reuse(&self) -> bool {
        self.remaining == Remaining::Nothing
            && !self.is_close_delimited
            && self.connection.buffer.is_empty()
    }

    /// Returns whether bytes have arrived behind the body that do not begin another response, so that
    /// its stated length is not to be trusted.
    fn has_excess(&self) -> bool {
        let excess = &*self.connection.buffer;
        let start = &excess[..excess.len().min(RESPONSE_START.len())];
        self.remaining == Remaining::Nothing && !RESPONSE_START.starts_with(start)
    }

    /// Returns the next bytes of the body; `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.remaining {
                Remaining::Nothing => return Ok(None),
                Remaining::Length(0) => self.remaining = Remaining::Nothing,
                Remaining::Length(bytes) => {
                    let part = self.read_part(bytes).await?;
                    self.remaining = Remaining::Length(bytes - part.len() as u64);
                    return Ok(Some(part));
                }
                Remaining::UntilClose => return self.read_until_close().await,
                Remaining::ChunkSize => self.read_chunk_size().await?,
                Remaining::Chunk(0) => {
                    // Lets other tasks run between chunks: many tiny ones would keep the traffic
                    // thread from them.
                    consume_budget().await;
                    self.read_chunk_end().await?;
                }
                Remaining::Chunk(bytes) => {
                    let part = self.read_part(bytes).await?;
                    self.remaining = Remaining::Chunk(bytes - part.len() as u64);
                    return Ok(Some(part));
                }
                Remaining::Trailers => self.read_trailer().await?,
            }
        }
    }

    /// Reads the body as far as `permit` allows, up to a limit. The permit goes with the bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be read or exceeds the limit.
    pub async fn collect(
        &mut self,
        max_bytes: usize,
        mut permit: MemoryPermit,
    ) -> Result<Collected, ReadError> {
        self.check_stated_length(max_bytes)?;
        let Some(first) = self.next().await? else {
            return match self.has_excess() {
                true => Err(ReadError::malformed("bytes follow though it has no body")),
                false => Ok(Collected::Whole(Bytes::new())),
            };
        };
        let mut collected: Option<Vec<u8>> = None;
        while let Some(part) = self.next().await? {
            let collected = collected.get_or_insert_with(|| first.to_vec());
            self.check_length(collected.len() + part.len(), max_bytes)?;
            collected.extend_from_slice(&part);
            if permit.resize(collected.len()).is_err() {
                let collected = std::mem::take(collected);
                return Ok(Collected::Start(permit.attach(Bytes::from(collected))));
            }
        }
        let whole = collected.map_or(first, Bytes::from);
        if self.has_excess() {
            return Err(ReadError::malformed(
                "more bytes follow than its length says",
            ));
        }
        Ok(Collected::Whole(permit.attach(whole)))
    }

    /// Reads the rest of the body and drops it.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be read or exceeds the limit.
    pub async fn discard(&mut self, max_bytes: usize) -> Result<(), ReadError> {
        self.check_stated_length(max_bytes)?;
        let mut discarded_bytes = 0;
        while let Some(part) = self.next().await? {
            discarded_bytes += part.len();
            self.check_length(discarded_bytes, max_bytes)?;
        }
        Ok(())
    }

    /// Checks that the bytes of the body that were read, and the framing of its chunks, do not exceed
    /// their limits.
    pub fn check_length(&self, read_bytes: usize, max_bytes: usize) -> Result<(), ReadError> {
        if read_bytes > max_bytes || self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(too_long());
        }
        Ok(())
    }

    /// Checks that the stated length of the body, if there is one, does not exceed a limit.
    fn check_stated_length(&self, max_bytes: usize) -> Result<(), ReadError> {
        match self.remaining {
            Remaining::Length(bytes) if bytes > max_bytes as u64 => Err(too_long()),
            _ => Ok(()),
        }
    }

    /// Returns buffered bytes, at most `max_len`; waits for some if there are none.
    async fn read_part(&mut self, max_len: u64) -> Result<Bytes, ReadError> {
        if self.connection.buffer.is_empty() && self.connection.fill().await? == 0 {
            return Err(ReadError::Ended);
        }
        let max_len = usize::try_from(max_len).unwrap_or(usize::MAX);
        let bytes = self.connection.buffer.len().min(max_len);
        Ok(self.connection.buffer.split_to(bytes).freeze())
    }

    /// Returns the next bytes of a body that ends when its connection closes.
    async fn read_until_close(&mut self) -> Result<Option<Bytes>, ReadError> {
        if self.connection.buffer.is_empty() && self.connection.fill().await? == 0 {
            self.remaining = Remaining::Nothing;
            return Ok(None);
        }
        Ok(Some(self.connection.buffer.split().freeze()))
    }

    /// Reads the size line of a chunk.
    async fn read_chunk_size(&mut self) -> Result<(), ReadError> {
        self.remaining = match self.read_line(grammar::parse_chunk_size).await? {
            0 => Remaining::Trailers,
            bytes => Remaining::Chunk(bytes),
        };
        Ok(())
    }

    /// Reads more of a line that has no end yet.
    async fn fill_line(&mut self) -> Result<(), ReadError> {
        if self.connection.buffer.len() > MAX_LINE_BYTES {
            return Err(ReadError::malformed("a line exceeds the limit"));
        }
        match self.connection.fill().await? {
            0 => Err(ReadError::Ended),
            _ => Ok(()),
        }
    }

    /// Reads the line end after a chunk.
    async fn read_chunk_end(&mut self) -> Result<(), ReadError> {
        self.read_line(grammar::check_empty).await?;
        self.remaining = Remaining::ChunkSize;
        Ok(())
    }

    /// Reads one trailer, or the empty line that ends the body.
    async fn read_trailer(&mut self) -> Result<(), ReadError> {
        if self.read_line(grammar::check_trailer).await? {
            self.remaining = Remaining::Nothing;
            return Ok(());
        }
        self.trailers += 1;
        if self.trailers > MAX_TRAILERS {
            return Err(ReadError::malformed("there are too many trailers"));
        }
        Ok(())
    }

    /// Reads a line and returns what `parse` makes of it, without copying it: a body may have a
    /// chunk for each of its bytes.
    async fn read_line<T>(
        &mut self,
        parse: impl FnOnce(&[u8]) -> Result<T, &'static str>,
    ) -> Result<T, ReadError> {
        loop {
            let buffer = &mut self.connection.buffer;
            let Some(at) = buffer.iter().position(|byte| *byte == b'\n') else {
                self.fill_line().await?;
                continue;
            };
            let text = buffer[..=at].strip_suffix(LINE_END);
            let text = text.ok_or("a line of the body does not end with CR and LF");
            let parsed = text.and_then(parse).map_err(ReadError::malformed)?;
            buffer.advance(at + 1);
            self.framing_bytes += at + 1;
            return Ok(parsed);
        }
    }
}

/// Determines how the body is delimited, from the request method and the response head.
fn detect_framing(method: &Method, head: &ResponseHead) -> Result<Remaining, ReadError> {
    let framing = grammar::framing(&head.headers, head.is_http_1_1);
    let framing = framing.map_err(ReadError::malformed)?;
    if head.status == StatusCode::NO_CONTENT {
        grammar::check_no_body(&head.headers).map_err(ReadError::malformed)?;
        return Ok(Remaining::Nothing);
    }
    if method == Method::HEAD || head.status == StatusCode::NOT_MODIFIED {
        return Ok(Remaining::Nothing);
    }
    Ok(match framing {
        Framing::Chunked => Remaining::ChunkSize,
        Framing::Length(bytes) => Remaining::Length(bytes),
        Framing::UntilClose => Remaining::UntilClose,
    })
}
