//! Guards against events that are decoded differently depending on how the network splits them into
//! chunks, and against events that grow without limit.

use bytes::Bytes;
use corneltrestle_wire::sse::{Decoder, Event};
use test_case::test_case;

fn event(id: &str, name: &str, data: &str) -> Event {
    let own = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    Event { id: own(id), name: own(name), data: own(data) }
}

fn decode<'a>(chunks: impl IntoIterator<Item = &'a str>) -> Vec<Event> {
    let mut events = Decoder::new(100);
    let mut found = Vec::new();
    for chunk in chunks {
        events.feed(Bytes::copy_from_slice(chunk.as_bytes()));
        found.extend(std::iter::from_fn(|| events.next().unwrap()));
    }
    found
}

#[test_case("id: r/0\ndata: a\n\ndata: b\n\n", &[event("r/0", "", "a"), event("", "", "b")]; "two events")]
#[test_case("id:r/0\r\ndata:a\r\n\r\n", &[event("r/0", "", "a")]; "crlf and no space")]
#[test_case(": wait\n\n\n\ndata: a\n\n", &[event("", "", "a")]; "comments and blank lines")]
#[test_case("data: a\ndata:\ndata: b\n\n", &[event("", "", "a\n\nb")]; "several data lines")]
#[test_case("event: error\nretry: 3\ndata: é: x\n\n", &[event("", "error", "é: x")]; "type and unknown field")]
#[test_case("data: a\n\ndata: b\n", &[event("", "", "a")]; "unfinished event")]
fn events_do_not_depend_on_the_chunks(text: &str, expected: &[Event]) {
    for at in (0..=text.len()).filter(|at| text.is_char_boundary(*at)) {
        assert_eq!(decode([&text[..at], &text[at..]]), expected, "split at {at}");
    }
    assert_eq!(decode(text.split_inclusive(|_| true)), expected, "split everywhere");
}

#[test]
fn event_in_one_chunk_is_not_copied() {
    let chunk = Bytes::from_static(b"id: r/0\ndata: abc\n\n");
    let mut events = Decoder::new(100);
    events.feed(chunk.clone());
    let data = events.next().unwrap().unwrap().data;
    assert_eq!(data.as_ptr(), chunk[14..].as_ptr());
}

#[test_case(&["data: 0123456789\n\n"]; "in one chunk")]
#[test_case(&["data: 01", "23456789\n\n"]; "in two chunks")]
#[test_case(&["data: 0123", "456789"]; "without end")]
fn event_above_the_limit_is_an_error(chunks: &[&'static str]) {
    let mut events = Decoder::new(12);
    let mut results = chunks.iter().map(|chunk| {
        events.feed(Bytes::from_static(chunk.as_bytes()));
        events.next()
    });
    assert!(results.any(|result| result.is_err()));
}
