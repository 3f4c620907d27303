//! An HTTP/1.1 connection to an upstream.

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use knapweeddale_runtime::{MemoryExhausted, MemoryPermit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{Body, Transport, grammar};

/// Limit for the head of a response.
const MAX_HEAD_BYTES: usize = 65_536;

/// Limit for the number of headers in a response.
const MAX_HEADERS: usize = 96;

/// Limit for the number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 16_384;

/// Why a response could not be read.
#[derive(Debug, Display, Error)]
pub(crate) enum ReadError {
    /// Reading or writing failed.
    #[display("the connection broke ({source})")]
    Broken {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The upstream closed the connection before the response was complete.
    #[display("the connection ended within the response")]
    Ended,
    /// The bytes are not a valid HTTP/1.1 response, or exceed a limit.
    #[display("the response cannot be read ({reason})")]
    Malformed {
        /// Which rule or limit the bytes violate.
        reason: &'static str,
    },
    /// The response is longer than this VM has memory for.
    #[display("the response cannot be kept ({source})")]
    OutOfMemory {
        /// The limit that was reached.
        source: MemoryExhausted,
    },
}

impl From<MemoryExhausted> for ReadError {
    fn from(source: MemoryExhausted) -> Self {
        Self::OutOfMemory { source }
    }
}

impl ReadError {
    /// Creates the error for a response that violates a rule or limit.
    pub fn malformed(reason: &'static str) -> Self {
        Self::Malformed { reason }
    }
}

/// The head of a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    pub status: StatusCode,
    pub is_http_1_1: bool,
    /// All headers, hop-by-hop ones included.
    pub headers: HeaderMap,
    /// Whether the upstream keeps the connection open after the response.
    pub is_keep_alive: bool,
}

/// A request that is sent to an upstream, or the rest of it: the head and the body.
pub(crate) type OutgoingRequest = Chain<Bytes, Bytes>;

/// One connection to an upstream, with the bytes read ahead on it.
#[derive(Debug)]
pub(crate) struct Connection {
    transport: Transport,
    /// Bytes that were read but not parsed yet.
    pub(super) buffer: BytesMut,
    /// The permit for `buffer`.
    permit: MemoryPermit,
    /// Whether the head of a final response was read on this connection.
    has_responded: bool,
}

/// The result of sending a request.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The head of the response that followed.
    pub head: ResponseHead,
    /// The rest of the request, which was not sent when the response started.
    pub unsent: OutgoingRequest,
    /// Whether this is the first response on its connection, so that it repeats no earlier one.
    pub is_first_response: bool,
}

impl Connection {
    /// Wraps a connected stream; `permit` is for the bytes that are read ahead on it.
    pub fn new(transport: Transport, permit: MemoryPermit) -> Self {
        Self {
            transport,
            buffer: BytesMut::new(),
            permit,
            has_responded: false,
        }
    }

    /// Frees the memory for reading; called when the connection becomes idle.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Returns whether the connection is open and has received no unexpected bytes.
    pub fn is_idle_and_open(&self) -> bool {
        self.buffer.is_empty() && self.transport.is_idle_and_open()
    }

    /// Tells the proxy VM, if the connection goes through one, which request follows.
    pub fn announce_request(&mut self, request_id: &str) {
        self.transport.announce_request(request_id);
    }

    /// Sends a request and reads the head of its response.
    ///
    /// Stops sending when the upstream responds before it has read the whole request. If that
    /// response belongs to another request, this is called again with the rest.
    pub async fn exchange(&mut self, mut request: OutgoingRequest) -> Result<Exchange, ReadError> {
        let (mut reader, mut writer) = tokio::io::split(&mut self.transport);
        let mut write_error = None;
        while request.has_remaining() && self.buffer.is_empty() && write_error.is_none() {
            self.buffer.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(0) => return Err(ReadError::Ended),
                    Ok(_) => {}
                    Err(source) => return Err(ReadError::Broken { source }),
                },
                written = writer.write(request.chunk()) => match written {
                    Ok(written) => request.advance(written),
                    Err(error) => write_error = Some(error),
                }
            }
        }
        if write_error.is_none() {
            write_error = writer.flush().await.err();
        }
        let is_first_response = !self.has_responded;
        match self.read_head().await {
            Ok(head) => Ok(Exchange {
                head,
                unsent: request,
                is_first_response,
            }),
            // If both failed, the write failed first and shows the cause.
            Err(error) => Err(write_error.map_or(error, |source| ReadError::Broken { source })),
        }
    }

    /// Reads the head of the next response.
    async fn read_head(&mut self) -> Result<ResponseHead, ReadError> {
        let mut interim_responses = 0;
        loop {
            if let Some((head, bytes)) = parse_head(&self.buffer)? {
                let _ = self.buffer.split_to(bytes);
                if !head.status.is_informational() {
                    self.has_responded = true;
                    return Ok(head);
                }
                grammar::check_no_body(&head.headers).map_err(ReadError::malformed)?;
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ReadError::malformed("there are too many interim responses"));
                }
                continue;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::malformed("the head exceeds the limit"));
            }
            if self.fill().await? == 0 {
                return Err(ReadError::Ended);
            }
        }
    }

    /// Returns a reader for the body that follows a head.
    pub fn body(&mut self, method: &Method, head: &ResponseHead) -> Result<Body<'_>, ReadError> {
        Body::new(self, method, head)
    }

    /// Reads more bytes into the buffer; returns their number, 0 when the connection is closed.
    pub(super) async fn fill(&mut self) -> Result<usize, ReadError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let read = self.transport.read_buf(&mut self.buffer).await;
        let read = read.map_err(|source| ReadError::Broken { source })?;
        self.permit.resize(self.buffer.len())?;
        Ok(read)
    }
}

/// Parses the head of a response and returns its length; `None` if it is incomplete.
fn parse_head(buffer: &[u8]) -> Result<Option<(ResponseHead, usize)>, ReadError> {
    let Some(bytes) = grammar::check_head(buffer).map_err(ReadError::malformed)? else {
        return Ok(None);
    };
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(&buffer[..bytes]);
    let is_whole = parsed.is_ok_and(|status| status == httparse::Status::Complete(bytes));
    if !is_whole {
        return Err(ReadError::malformed("the head is not valid HTTP"));
    }
    let status = response
        .code
        .and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(ReadError::malformed("the status code is not valid"))?;
    grammar::check_status(status).map_err(ReadError::malformed)?;
    let mut map = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ReadError::malformed(
                "a header has an invalid name or value",
            ));
        };
        map.append(name, value);
    }
    let is_http_1_1 = response.version == Some(1);
    let head = ResponseHead {
        status,
        is_http_1_1,
        is_keep_alive: is_http_1_1 && !has_close_option(&map),
        headers: map,
    };
    Ok(Some((head, bytes)))
}

/// Returns whether the headers contain `connection: close`.
fn has_close_option(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}
