//! Callers whose requests do not end, on real sockets: an instance reads them into a bound of its own, and goes on serving.

use {
    googletest::prelude::*,
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
    wellplank_standin::{
        client::Work,
        site::{Plan, Site, run},
    },
};

/// Time that anything may take before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// A megabyte.
const MB: u64 = 1 << 20;

/// Bytes that a request without end has here: more than any bound and what sockets hold besides.
const ENDLESS: u64 = 192 * MB;

/// Bytes that the sockets between two processes may hold besides what the reader took.
const SOCKETS: u64 = 16 * MB;

/// Guards against a body of a caller in chunks without an end that is kept beyond the bound of bodies.
#[gtest]
fn chunks_of_a_caller_without_end_are_refused_at_the_bound_of_bodies() {
    run(Plan::default(), async |site: Site| {
        let address = site.instances[0].callers;
        let sent = tokio::task::spawn_blocking(move || {
            let mut connection = TcpStream::connect(address).unwrap();
            connection.set_read_timeout(Some(PATIENCE)).unwrap();
            connection
                .write_all(
                    b"POST /once/1 HTTP/1.1\r\nhost: a.example\r\nauthorization: Token key-1\r\n\
                      wellplank-request-id: endless\r\ntransfer-encoding: chunked\r\n\r\n",
                )
                .unwrap();
            let chunk = [&b"10000\r\n"[..], &vec![b'z'; 64 << 10], b"\r\n"].concat();
            let mut sent = 0;
            while sent < ENDLESS && connection.write_all(&chunk).is_ok() {
                sent += chunk.len() as u64;
            }
            let mut answer = vec![0; 64];
            let length = connection.read(&mut answer).unwrap_or(0);
            answer.truncate(length);
            (sent, String::from_utf8_lossy(&answer).into_owned())
        });
        let (sent, _answer) = sent.await.unwrap();
        expect_that!(sent, le(SOCKETS));
        let (whole, asked) = site.bring(0, Work::Once, Duration::from_secs(1)).await;
        expect_that!(whole, eq(asked), "{}", site.shortfalls());
    });
}

/// Guards against a head of a caller without an end that is kept.
#[gtest]
fn head_of_a_caller_without_end_is_refused() {
    run(Plan::default(), async |site: Site| {
        for port in [site.instances[0].callers, site.instances[0].ready] {
            for line in [&b"x-a: b\r\n"[..], b"zzzzzzzz"] {
                let piece = line.repeat(8_192);
                let sent = tokio::task::spawn_blocking(move || {
                    let mut connection = TcpStream::connect(port).unwrap();
                    let first = b"POST /once/1 HTTP/1.1\r\nhost: a.example\r\nx-b: ";
                    connection.write_all(first).unwrap();
                    let mut sent = 0;
                    while sent < ENDLESS && connection.write_all(&piece).is_ok() {
                        sent += piece.len() as u64;
                    }
                    sent
                });
                expect_that!(sent.await.unwrap(), le(SOCKETS));
            }
        }
    });
}
