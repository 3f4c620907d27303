//! One connection to an upstream.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Body;

/// Longest head of a response.
const MAX_HEAD_BYTES: usize = 65_536;

/// Headers in a response.
const MAX_HEADERS: usize = 96;

/// Bytes that are read at once.
const READ_BUFFER_BYTES: usize = 16_384;

/// Why a response could not be read.
#[derive(Debug, Display, Error)]
pub(crate) enum ReadError {
    /// The connection broke.
    #[display("the connection broke ({source})")]
    Broken {
        /// The error of the system.
        source: std::io::Error,
    },
    /// The connection ended before the response did.
    #[display("the connection ended within the response")]
    Ended,
    /// The bytes are no HTTP/1.1 response.
    #[display("the response cannot be read ({reason})")]
    Malformed {
        /// What is wrong.
        reason: &'static str,
    },
}

impl ReadError {
    /// Makes the error of bytes that are no response.
    pub fn malformed(reason: &'static str) -> Self {
        Self::Malformed { reason }
    }
}

/// The head of a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers, as they came.
    pub headers: HeaderMap,
    /// Whether the connection may be used again.
    pub is_keep_alive: bool,
}

/// One connection to an upstream.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes that were read and belong to the response that comes next.
    pub(super) buffer: BytesMut,
}

/// A request that is sent and the head of its response.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The head of the response.
    pub head: ResponseHead,
    /// Whether the whole request was sent before the response came.
    pub is_request_complete: bool,
}

impl Connection {
    /// Takes over a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Returns whether an idle connection is open and no bytes have come.
    pub fn is_idle_and_open(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of the response that follows.
    ///
    /// An upstream may answer before it has read the whole request.
    pub async fn exchange(&mut self, request: &Bytes) -> Result<Exchange, ReadError> {
        let (mut reader, mut writer) = self.stream.split();
        let mut sent = 0;
        let mut write_error = None;
        while sent < request.len() && write_error.is_none() {
            self.buffer.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(0) => return Err(ReadError::Ended),
                    Ok(_) => break,
                    Err(source) => return Err(ReadError::Broken { source }),
                },
                written = writer.write(&request[sent..]) => match written {
                    Ok(written) => sent += written,
                    Err(error) => write_error = Some(error),
                }
            }
        }
        let is_sent = sent == request.len();
        match self.read_head().await {
            Ok(head) => Ok(Exchange {
                head,
                is_request_complete: is_sent,
            }),
            // Where both failed, the write failed first and says why.
            Err(error) => Err(write_error.map_or(error, |source| ReadError::Broken { source })),
        }
    }

    /// Reads the head of the next response.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ReadError> {
        loop {
            if let Some((head, bytes)) = parse_head(&self.buffer)? {
                let _ = self.buffer.split_to(bytes);
                // Interim responses announce the one that counts.
                if !head.status.is_informational() {
                    return Ok(head);
                }
                continue;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::malformed("the head is too long"));
            }
            if self.fill().await? == 0 {
                return Err(ReadError::Ended);
            }
        }
    }

    /// Returns the body of a response.
    pub fn body(&mut self, method: &Method, head: &ResponseHead) -> Result<Body<'_>, ReadError> {
        Body::new(self, method, head)
    }

    /// Reads more bytes; 0 at the end of the connection.
    pub(super) async fn fill(&mut self) -> Result<usize, ReadError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        self.stream
            .read_buf(&mut self.buffer)
            .await
            .map_err(|source| ReadError::Broken { source })
    }
}

/// Parses the head of a response; `None` if it is not complete.
fn parse_head(buffer: &[u8]) -> Result<Option<(ResponseHead, usize)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response
        .parse(buffer)
        .map_err(|_| ReadError::malformed("the head is no HTTP"))?;
    let httparse::Status::Complete(bytes) = parsed else {
        return Ok(None);
    };
    let status = response
        .code
        .and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(ReadError::malformed("the status is no number"))?;
    let mut map = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ReadError::malformed("a header cannot be read"));
        };
        map.append(name, value);
    }
    let is_http_1_1 = response.version == Some(1);
    let head = ResponseHead {
        status,
        is_keep_alive: is_http_1_1 && !has_close_option(&map),
        headers: map,
    };
    Ok(Some((head, bytes)))
}

/// Returns whether the sender closes the connection after the response.
fn has_close_option(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}
