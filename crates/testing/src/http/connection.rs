//! Server side of one HTTP/1.1 connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request as it was received.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Request target: path and query string.
    pub path: String,
    /// Raw request line and headers, with the empty line that ends them.
    pub head: Vec<u8>,
    /// Body of `content-length` bytes; empty without that header.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the trimmed value of a header; its name is matched without regard to case.
    pub fn header(&self, name: &str) -> Option<String> {
        let head = String::from_utf8_lossy(&self.head);
        head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
    }
}

/// A connection that a client opened to a fake.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns the address of the client.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Reads the next request; `None` when the client has closed the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the request is malformed.
    pub async fn read_request(&mut self) -> io::Result<Option<Request>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut start = text.split_ascii_whitespace();
        let (Some(method), Some(path)) = (start.next(), start.next()) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let mut request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            head,
            body: Vec::new(),
        };
        let len = request.header("content-length");
        let len = len.and_then(|len| len.parse().ok()).unwrap_or(0);
        while self.buffer.len() < len {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
        request.body = self.buffer.drain(..len).collect();
        Ok(Some(request))
    }

    /// Sends raw bytes without HTTP framing.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends a complete response with content type `kind`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn respond(&mut self, status: u16, kind: &str, body: &[u8]) -> io::Result<()> {
        let len = body.len();
        let head = format!(
            "HTTP/1.1 {status} fake\r\ncontent-type: {kind}\r\ncontent-length: {len}\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes()).await?;
        self.stream.write_all(body).await
    }

    /// Sends the head of a chunked response of server-sent events.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn start_events(&mut self) -> io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        self.stream.write_all(head.as_bytes()).await
    }

    /// Sends one server-sent event as one chunk.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn send_event(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.stream.write_all(chunk.as_bytes()).await
    }

    /// Sends the last chunk of a response of server-sent events.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn end_events(&mut self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n").await
    }

    /// Makes the connection end with a reset instead of an orderly close when it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the socket option cannot be set.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Waits until the client closes the connection or it breaks.
    pub async fn wait_closed(&mut self) {
        while !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(0) | Err(_)) {}
    }
}
