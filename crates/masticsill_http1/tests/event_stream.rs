//! Splitting of event streams into complete events.

use masticsill_http1::EventSplitter;

#[test]
fn an_event_is_returned_only_when_complete() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\ndata: a");
    assert_eq!(splitter.next_event(), None);
    splitter.push(b"b\n");
    assert_eq!(splitter.next_event(), None);
    splitter.push(b"\nid: 5\r\n");
    let event = splitter.next_event().unwrap();
    assert_eq!(event.id, Some(4));
    assert_eq!(&event.bytes[..], b"id: 4\ndata: ab\n\n");
    assert_eq!(splitter.next_event(), None);
    splitter.push(b"data: c\r\n\r");
    assert_eq!(splitter.next_event(), None);
    splitter.push(b"\n");
    assert_eq!(splitter.next_event().unwrap().id, Some(5));
    assert_eq!(splitter.pending_bytes(), 0);
}

#[test]
fn a_stream_split_at_any_byte_yields_the_same_events() {
    let text = b"id: 1\ndata: x\n\nid: 2\ndata: y\ndata: z\n\n: note\n\nid: 3\n\n";
    for cut in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut joined = Vec::new();
        let mut ids = Vec::new();
        for part in [&text[..cut], &text[cut..]] {
            splitter.push(part);
            while let Some(event) = splitter.next_event() {
                joined.extend_from_slice(&event.bytes);
                ids.push(event.id);
            }
        }
        assert_eq!(joined, text);
        assert_eq!(ids, [Some(1), Some(2), None, Some(3)]);
    }
}

#[test]
fn reset_drops_an_incomplete_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: bro");
    splitter.reset();
    splitter.push(b"id: 7\ndata: whole\n\n");
    assert_eq!(
        &splitter.next_event().unwrap().bytes[..],
        b"id: 7\ndata: whole\n\n"
    );
}
