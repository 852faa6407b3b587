//! Answers to operators that are lost or cut: the change may be in force.

use deckwind::context::{Exit, exit_of};
use deckwind::ops::ControlApi;
use deckwind_core::state::{ApplyRequest, Change};
use deckwind_testkit::account;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use yare::parameterized;

/// Longest request head and body of these tests, bytes.
const MAX_REQUEST: usize = 64 * 1024;

/// Starts a control replica that receives requests and answers each with these bytes.
fn answering(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut buf = vec![0; MAX_REQUEST];
            let received = stream.read(&mut buf).expect("a request");
            assert!(received > 0, "a request arrives");
            stream.write_all(bytes).expect("the caller reads");
        }
    });
    address
}

/// Guards against a change that was sent and whose answer never came whole: the command line
/// exited as if nothing was changed. Arguments: bytes of the answer before the connection
/// closes.
#[parameterized(
    no_answer = { b"" },
    head_cut = { b"HTTP/1.1 200 OK\r\nContent-Le" },
    body_cut = { b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"rev" },
    unframed_body_cut = { b"HTTP/1.1 200 OK\r\n\r\n{\"rev" },
)]
fn a_change_whose_answer_is_lost_may_be_in_force(bytes: &'static [u8]) {
    let timeout = Duration::from_millis(1);
    let api = ControlApi::new(vec![answering(bytes)], None).with_find_leader_timeout(timeout);
    let request = ApplyRequest {
        request_id: "r".into(),
        expected: None,
        change: Change::Account(account("a", "key")),
    };
    let error = api.apply(&request, Duration::ZERO).expect_err("no answer");
    assert_eq!(exit_of(&error), Exit::Unknown, "{error:#}");
    assert!(format!("{error:#}").contains("send the change again"));
}

/// A change that no replica can have received was not made.
#[test]
fn a_change_that_nobody_receives_is_not_made() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let timeout = Duration::from_millis(1);
    let api = ControlApi::new(vec![address], None).with_find_leader_timeout(timeout);
    let request = ApplyRequest {
        request_id: "r".into(),
        expected: None,
        change: Change::Account(account("a", "key")),
    };
    let error = api.apply(&request, Duration::ZERO).expect_err("no answer");
    assert_eq!(exit_of(&error), Exit::Failed, "{error:#}");
}
