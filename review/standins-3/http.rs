//! HTTP/1.1 on blocking sockets: a server with a thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of a response that a client keeps; it reads the rest as well.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// A request that a stand-in received.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Returns the value of the first header with this name.
fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut rows = headers.iter();
    let row = rows.find(|(key, _)| key.eq_ignore_ascii_case(name));
    row.map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read ahead on it.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Fails only on a connection that has ended.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16_384];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let first = self.read_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok((first, headers));
            };
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a request; fails when the connection ends.
    pub fn read_request(&mut self) -> io::Result<Request> {
        let (first, headers) = self.read_head()?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let length = find_header(&headers, "content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = self.read_exact(length)?;
        Ok(Request { method, path, headers, body })
    }
}

/// Serves the requests of each connection with `handle` until it fails.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.read_request() {
                    if handle(&request, &mut connection.stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// How a response ended for a client.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the number of events in the body.
    pub fn events(&self) -> usize {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.split("\n\n").filter(|event| event.contains("data:")).count()
    }
}

/// Sends a request on a connection of its own and reads the response.
pub fn send(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> Response {
    let mut response = Response::default();
    // Whatever fails, the response tells how far it came.
    let _ = try_send(address, head, body, limit, &mut response);
    response
}

/// Sends requests one after the other on one connection until `head_of` returns none; returns how
/// many were answered with 200.
pub fn send_many(address: SocketAddr, mut head_of: impl FnMut() -> Option<String>) -> usize {
    let mut answered = 0;
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        let mut connection = Connection::new(stream);
        loop {
            let Some(head) = head_of() else { return answered };
            let text = format!("{head}Content-Length: 0\r\n\r\n");
            if connection.stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            let Ok((first, headers)) = connection.read_head() else { break };
            let length = find_header(&headers, "content-length");
            let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if connection.read_exact(length).is_err() {
                break;
            }
            answered += usize::from(first.contains(" 200 "));
        }
    }
    answered
}

fn try_send(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
    response: &mut Response,
) -> io::Result<()> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let text = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[text.as_bytes(), body].concat())?;
    let mut connection = Connection::new(stream);
    let (first, headers) = connection.read_head()?;
    response.status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    response.headers = headers;
    if response.header("transfer-encoding").is_none() {
        let length = response.header("content-length").and_then(|text| text.parse().ok());
        response.body = connection.read_exact(length.unwrap_or(0))?;
        response.is_complete = true;
        return Ok(());
    }
    loop {
        let line = connection.read_line()?;
        let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
        let part = connection.read_exact(length + 2)?;
        if length == 0 {
            response.is_complete = true;
            return Ok(());
        }
        if response.body.len() < MAX_KEPT_BYTES {
            response.body.extend_from_slice(&part[..length]);
        }
        if Instant::now() > until {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}
