//! Reading and writing HTTP/1.1 on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// The first line.
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; `None` if it is missing. `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    /// Returns a part of the first line: 0 is the method of a request, 1 its target or the
    /// status of an answer.
    pub fn part(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.part(1).parse().unwrap_or(0)
    }
}

fn closed() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads a head; an error if the connection ends before.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(closed());
        }
        let line = line.trim_end().to_owned();
        if !line.is_empty() {
            lines.push(line);
        } else if !lines.is_empty() {
            break;
        }
    }
    let headers = lines[1..].iter().filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Ok(Head {
        headers: headers.collect(),
        line: lines.swap_remove(0),
    })
}

/// Reads a whole body with a length or in chunks, and passes each part on as it comes. An error
/// if the connection ends before the end of the body.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<()> {
    if head.get("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(closed());
            }
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| closed())?;
            let mut part = vec![0; length + 2];
            reader.read_exact(&mut part)?;
            if length == 0 {
                return Ok(());
            }
            on_part(&part[..length]);
        }
    }
    let length = head.get("content-length").and_then(|length| length.parse().ok());
    let mut part = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut part)?;
    on_part(&part);
    Ok(())
}

/// Reads a whole body as text.
pub fn read_text(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<String> {
    let mut bytes = Vec::new();
    read_body(reader, head, |part| bytes.extend_from_slice(part))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Writes an answer with a length. `headers`: further lines, each with its line end.
pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all((head + body).as_bytes())
}

/// Writes one chunk of a body.
pub fn write_chunk(stream: &mut TcpStream, part: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())
}

/// Connects to `address` within a second.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Asks for `path` and returns the status of the answer; 0 if there is none within a second.
pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let ask = || -> io::Result<u16> {
        let mut stream = connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes())?;
        Ok(read_head(&mut BufReader::new(stream))?.status())
    };
    ask().unwrap_or(0)
}
