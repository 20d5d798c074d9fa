//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client with one connection a call.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// A received request.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Status and body of an answer.
pub struct Reply(pub u16, pub Vec<u8>);

impl Reply {
    pub fn json(status: u16, body: String) -> Self {
        Self(status, body.into_bytes())
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Accepts connections, at most `max_connections` at a time; further ones wait until another is closed.
pub fn serve(listener: TcpListener, max_connections: usize, handler: Handler) {
    let open = Arc::new((Mutex::new(0_usize), Condvar::new()));
    thread::spawn(move || {
        loop {
            let guard = open.1.wait_while(open.0.lock().unwrap(), |open| *open >= max_connections);
            *guard.unwrap() += 1;
            let Ok((stream, _)) = listener.accept() else { return };
            let (open, handler) = (open.clone(), handler.clone());
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
                *open.0.lock().unwrap() -= 1;
                open.1.notify_one();
            });
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let Reply(status, body) = handler(request);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut answer = head.into_bytes();
        answer.extend(body);
        stream.write_all(&answer)?;
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    let read = reader.read_line(&mut line)?;
    Ok((read > 0).then(|| line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    while let Some(line) = read_line(reader)?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
    Ok(headers)
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let line = read_line(reader)?.unwrap_or_default();
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16).unwrap_or(0);
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), percent_decoded(value))).collect();
    Ok(Some(Request { method: method.to_owned(), path: path.to_owned(), query, headers, body }))
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = || u8::from_str_radix(text.get(at + 1..at + 3)?, 16).ok();
        match (bytes[at], hex()) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}Connection: close\r\n\r\n{body}").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let line = read_line(&mut reader)?.ok_or_else(broken)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).ok_or_else(broken)?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
