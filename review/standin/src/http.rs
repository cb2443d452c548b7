//! HTTP/1.1 as far as the stand-ins need it, on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub first_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line, or nothing.
    pub fn word(&self, at: usize) -> &str {
        self.first_line.split(' ').nth(at).unwrap_or_default()
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection that is read by lines and lengths.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { reader: BufReader::new(stream) }
    }

    /// Returns the socket.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a head; `None` if the connection ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                let is_clean = head.first_line.is_empty();
                let ended = io::ErrorKind::UnexpectedEof;
                return if is_clean { Ok(None) } else { Err(ended.into()) };
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                return Ok(Some(head));
            }
            if head.first_line.is_empty() {
                head.first_line = line.to_owned();
            } else if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                head.headers.push((name.to_ascii_lowercase(), value));
            }
        }
    }

    /// Reads the next part of a body with a length or in chunks; `None` at
    /// its end. `left` is what is left of a length.
    pub fn read_part(
        &mut self,
        head: &Head,
        left: &mut usize,
    ) -> io::Result<Option<Vec<u8>>> {
        let length = match head.is_chunked() {
            true => {
                let mut line = String::new();
                self.reader.read_line(&mut line)?;
                usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::ErrorKind::UnexpectedEof)?
            }
            false => *left,
        };
        let mut part = vec![0; length];
        self.reader.read_exact(&mut part)?;
        if head.is_chunked() {
            let mut end = [0; 2];
            self.reader.read_exact(&mut end)?;
        } else {
            *left = 0;
        }
        Ok((length > 0).then_some(part))
    }

    /// Reads a whole body with a length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut left = body_length(head);
        let mut body = Vec::new();
        while let Some(part) = self.read_part(head, &mut left)? {
            body.extend(part);
        }
        Ok(body)
    }
}

/// Returns the length that a head announces, or 0.
pub fn body_length(head: &Head) -> usize {
    let length = head.header("content-length");
    length.and_then(|length| length.parse().ok()).unwrap_or(0)
}

/// Returns a message with a body and its length.
pub fn message(
    first_line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}
