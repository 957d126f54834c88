//! Message framing, including messages with ambiguous or malformed boundaries.

use bytes::BytesMut;
use masticsill_http1::{BodyDecoder, BodyStep, Framing, ParseError, parse_request, parse_response};

const LIMIT_BYTES: usize = 4_096;

fn request_error(text: &str) -> ParseError {
    let mut buffer = BytesMut::from(text);
    parse_request(&mut buffer, LIMIT_BYTES).expect_err("the head must be refused")
}

fn whole_body(framing: Framing, text: &str) -> (Vec<u8>, usize) {
    let mut buffer = BytesMut::from(text);
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        match decoder.step(&mut buffer).expect("the body is well-formed") {
            BodyStep::Data(data) => body.extend_from_slice(&data),
            BodyStep::End | BodyStep::NeedMore => return (body, buffer.len()),
        }
    }
}

#[test]
fn a_head_is_parsed_only_when_complete() {
    let mut buffer = BytesMut::from("POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Len");
    assert_eq!(parse_request(&mut buffer, LIMIT_BYTES), Ok(None));
    buffer.extend_from_slice(b"gth: 3\r\n\r\nabc");
    let head = parse_request(&mut buffer, LIMIT_BYTES).unwrap().unwrap();
    assert_eq!(head.target, "/a/b?c=1");
    assert_eq!(head.framing, Framing::Length(3));
    assert!(head.is_keep_alive);
    assert_eq!(&buffer[..], b"abc");
}

#[test]
fn ambiguous_body_lengths_are_refused() {
    let two = "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(request_error(two), ParseError::Framing);
    let both = "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(request_error(both), ParseError::Framing);
    let signed = "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n";
    assert_eq!(request_error(signed), ParseError::Framing);
}

#[test]
fn other_transfer_codings_are_refused() {
    let coded = "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
    assert_eq!(request_error(coded), ParseError::TransferCoding);
    let twice = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n";
    assert_eq!(request_error(twice), ParseError::TransferCoding);
}

#[test]
fn folded_headers_and_spaces_before_the_colon_are_refused() {
    let folded = "POST / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n";
    assert_eq!(request_error(folded), ParseError::Head);
    let spaced = "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n";
    assert_eq!(request_error(spaced), ParseError::Head);
}

#[test]
fn a_head_beyond_the_limit_is_refused() {
    let long = format!("POST / HTTP/1.1\r\nA: {}", "b".repeat(LIMIT_BYTES));
    assert_eq!(request_error(&long), ParseError::HeadTooLong);
}

#[test]
fn a_chunked_body_ends_after_the_trailers_of_the_empty_chunk() {
    let text = "3\r\nabc\r\n2 ; x=\"y z\"\r\nde\r\n000\r\nT: v\r\nU:\r\n\r\nrest";
    let (body, left) = whole_body(Framing::Chunked, text);
    assert_eq!(body, b"abcde");
    assert_eq!(left, "rest".len());
}

#[test]
fn a_truncated_chunked_body_is_not_complete() {
    let mut buffer = BytesMut::from("3\r\nab");
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    while let BodyStep::Data(_) = decoder.step(&mut buffer).unwrap() {}
    assert!(!decoder.is_done());
    assert!(!decoder.ends_with_connection());
}

#[test]
fn malformed_chunks_are_refused() {
    for text in [
        "x\r\nabc",
        "3\r\nabcd\r\n",
        "\r\n",
        "-1\r\n",
        "3 \r\nabc\r\n",
        " 3\r\nabc\r\n",
        "3;a\nb\r\nabc\r\n",
        "3;a\0\r\nabc\r\n",
        "10000000000000003\r\nabc\r\n",
        "0\r\nno field\r\n\r\n",
        "0\r\nX Y: z\r\n\r\n",
        "0\r\n: z\r\n\r\n",
        "0\r\nX: \x01\r\n\r\n",
        "0\r\nX: a\r\n folded\r\n\r\n",
    ] {
        let mut buffer = BytesMut::from(text);
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let error = loop {
            match decoder.step(&mut buffer) {
                Ok(BodyStep::Data(_)) => {}
                Ok(step) => panic!("{text:?} gave {step:?}"),
                Err(error) => break error,
            }
        };
        assert_eq!(error, ParseError::Chunk);
    }
}

#[test]
fn interim_responses_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let mut buffer = BytesMut::from(text);
    let head = parse_response(&mut buffer, "GET", LIMIT_BYTES)
        .unwrap()
        .unwrap();
    assert_eq!(head.status, 200);
    assert_eq!(head.framing, Framing::Empty);
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc");
    let head = parse_response(&mut buffer, "GET", LIMIT_BYTES)
        .unwrap()
        .unwrap();
    assert_eq!(head.framing, Framing::UntilClose);
    assert!(!head.is_keep_alive);
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let text = "GET / HTTP/1.1\r\nConnection: X-Own, close\r\nX-Own: 1\r\nTE: a\r\nKeep: 2\r\n\r\n";
    let mut buffer = BytesMut::from(text);
    let head = parse_request(&mut buffer, LIMIT_BYTES).unwrap().unwrap();
    let names: Vec<&str> = head
        .headers
        .end_to_end()
        .map(|it| it.name.as_str())
        .collect();
    assert_eq!(names, ["Keep"]);
    assert!(!head.is_keep_alive);
}
