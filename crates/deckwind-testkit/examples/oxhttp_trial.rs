//! Why callers' streams do not go by oxhttp: when does the first byte of an
//! 80-token answer come, one token each 25 ms?
//!
//! ```text
//! cargo run --release -p deckwind-testkit --example oxhttp_trial
//! ```

use anyhow::Result;
use oxhttp::Server;
use oxhttp::model::{Body, Response};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const TOKENS: u32 = 80;
const BETWEEN: Duration = Duration::from_millis(25);

/// A token at each read, as an engine makes them.
struct Tokens(u32);

impl Read for Tokens {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == 0 {
            return Ok(0);
        }
        self.0 -= 1;
        std::thread::sleep(BETWEEN);
        let event = b"data: token\n\n";
        buf[..event.len()].copy_from_slice(event);
        Ok(event.len())
    }
}

fn main() -> Result<()> {
    let address: SocketAddr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    Server::new(|_| Response::new(Body::from_read(Tokens(TOKENS))))
        .bind(address)
        .spawn()?;
    let mut stream = TcpStream::connect(address)?;
    let began = Instant::now();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
    let mut first = [0; 1];
    stream.read_exact(&mut first)?;
    println!("first byte after {:.2?}", began.elapsed());
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest)?;
    println!(
        "{} bytes, the last after {:.2?}",
        rest.len() + 1,
        began.elapsed()
    );
    Ok(())
}
