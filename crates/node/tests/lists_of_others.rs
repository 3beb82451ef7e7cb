//! Lists of upstreams that other instances send: what one of them sends is read into a bound.

use {
    flate2::{Compression, write::DeflateEncoder},
    futures_util::{SinkExt, StreamExt},
    googletest::prelude::*,
    prost::Message,
    std::{io::Write, net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, time::timeout},
    tokio_util::codec::Framed,
    wellplank_node::exchange::fetch_list,
    wellplank_wire::{
        frame,
        peer::{Entries, Entry, Frame, ListPart, frame::Body},
    },
};

/// Time that a list may take here.
const PATIENCE: Duration = Duration::from_secs(20);

/// Parts that are sent at most, so that a reader without a bound ends.
const PARTS: usize = 400;

fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(bytes).unwrap();
    encoder.finish().unwrap()
}

/// A part of a list with these compressed entries.
fn part(entries: &[u8], has_more: bool) -> Frame {
    let part = ListPart {
        entries: entries.to_vec(),
        has_more,
        is_complete: true,
        to: 1,
        ..ListPart::default()
    };
    Frame {
        body: Some(Body::ListPart(part)),
    }
}

/// Some entries with names of so many bytes, encoded and compressed.
fn entries(count: usize, name_bytes: usize) -> Vec<u8> {
    let entry = |number| Entry {
        name: format!("{number:0name_bytes$}"),
        ..Entry::default()
    };
    let entries = Entries {
        entries: (0..count).map(entry).collect(),
    };
    compress(&entries.encode_to_vec())
}

/// An instance that answers one request for its list with a part, again and again, as the last one `has_more` says.
async fn start(entries: Vec<u8>, parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let mut frames = Framed::new(socket, frame::Codec::new());
        let _request = frames.next().await;
        for number in 1..=parts {
            let sent = frames.send(part(&entries, number < parts)).await;
            if sent.is_err() {
                return;
            }
        }
    });
    address
}

/// Number of changes that are read from an instance, or the error.
async fn read(entries: Vec<u8>, parts: usize) -> std::result::Result<usize, String> {
    let address = start(entries, parts).await;
    let list = timeout(PATIENCE, fetch_list(address, None, || ())).await;
    let list = list.map_err(|_| "too late".to_owned())?;
    list.map(|list| list.changes.len())
        .map_err(|error| error.to_string())
}

/// Guards against a list that is refused though it is the largest that fleets have.
#[gtest]
#[tokio::test]
async fn list_of_the_largest_fleet_is_read() {
    expect_that!(read(entries(2_000, 120), 10).await, ok(eq(&20_000)));
}

/// Guards against a list whose parts never end, and are all kept.
#[gtest]
#[tokio::test]
async fn parts_without_end_are_given_up_at_their_bound() {
    let error = read(entries(2_000, 20), PARTS).await;
    expect_that!(error, err(contains_substring("more than 25 parts")));
    let error = read(entries(0, 0), PARTS).await;
    expect_that!(error, err(contains_substring("more than 25 parts")));
}

/// Guards against compressed entries that take a thousand times their bytes once they are decompressed.
#[gtest]
#[tokio::test]
async fn entries_that_decompress_without_end_are_given_up_at_their_bound() {
    // A field that no instance knows, of 32 MB of zeros.
    let length = 32 << 20;
    let mut bytes = vec![0x7a];
    prost::encoding::encode_varint(length, &mut bytes);
    bytes.resize(bytes.len() + length as usize, 0);
    let error = read(compress(&bytes), 1).await;
    expect_that!(error, err(contains_substring("more than 16777216 bytes")));
}

/// Guards against entries that take a hundred times their bytes once they are decoded.
#[gtest]
#[tokio::test]
async fn empty_entries_without_end_are_not_decoded() {
    let bytes = [0x0a, 0x00].repeat(1 << 20);
    let error = read(compress(&bytes), 1).await;
    expect_that!(error, err(contains_substring("entries in one part")));
}
