//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or response: its first line, its headers and its body.
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0_u8; 16384];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => rest.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while rest.len() < head_end + 4 + length {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => rest.extend_from_slice(&chunk[..count]),
        }
    }
    let body = String::from_utf8_lossy(&rest[head_end + 4..head_end + 4 + length]).into_owned();
    rest.drain(..head_end + 4 + length);
    Ok(Some(Message {
        start,
        headers,
        body,
    }))
}

/// Sends a request on a new connection; the error says why there is no response.
pub fn call(
    address: SocketAddr,
    request: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    stream
        .set_read_timeout(Some(timeout))
        .map_err(|e| e.to_string())?;
    let text = format!(
        "{request} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(text.as_bytes())
        .map_err(|e| e.to_string())?;
    let mut rest = Vec::new();
    match read_message(&mut stream, &mut rest) {
        Ok(Some(message)) => {
            let status = message.start.split(' ').nth(1);
            let status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
            Ok((status, message.body))
        }
        Ok(None) => Err("the connection ended without a response".into()),
        Err(error) => Err(error.to_string()),
    }
}
