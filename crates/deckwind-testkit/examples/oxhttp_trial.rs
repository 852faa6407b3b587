//! Measures when oxhttp sends the first byte of an answer of 80 tokens, produced
//! at one token every 25 ms. The result is the reason why callers' streams don't
//! use oxhttp.
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
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);

/// Reader that returns one token per read, at the speed of an engine.
struct Tokens(u32);

impl Read for Tokens {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == 0 {
            return Ok(0);
        }
        self.0 -= 1;
        std::thread::sleep(TOKEN_INTERVAL);
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
    let started = Instant::now();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
    let mut first = [0; 1];
    stream.read_exact(&mut first)?;
    println!("first byte after {:.2?}", started.elapsed());
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest)?;
    println!(
        "{} bytes, last byte after {:.2?}",
        rest.len() + 1,
        started.elapsed()
    );
    Ok(())
}
