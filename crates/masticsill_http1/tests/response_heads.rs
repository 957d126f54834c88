//! Which heads are responses, by RFC 9110 and RFC 9112.

use bytes::BytesMut;
use masticsill_http1::{Framing, ParseError, ResponseHead, parse_response};

const LIMIT_BYTES: usize = 4_096;

fn parse(method: &str, text: &[u8]) -> Result<Option<ResponseHead>, ParseError> {
    parse_response(&mut BytesMut::from(text), method, LIMIT_BYTES)
}

fn error(text: &str) -> ParseError {
    parse("GET", text.as_bytes()).expect_err(text)
}

fn head(method: &str, text: &str) -> ResponseHead {
    let parsed = parse(method, text.as_bytes()).expect(text);
    parsed.expect("the head is complete")
}

fn with_status(status: u16) -> String {
    format!("HTTP/1.1 {status:03} Some Reason\r\nContent-Length: 0\r\n\r\n")
}

#[test]
fn statuses_outside_the_valid_range_are_refused() {
    for status in (0..100).chain(600..1_000) {
        assert_eq!(error(&with_status(status)), ParseError::Status, "{status}");
    }
    for status in 200..600 {
        assert_eq!(head("GET", &with_status(status)).status, status);
    }
}

#[test]
fn status_lines_of_another_form_are_refused() {
    for line in [
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "\nHTTP/1.1 200 OK",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\x7fK",
        "HTTP/0.9 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.1.1 200 OK",
        "HTTP/11 200 OK",
        "http/1.1 200 OK",
        "ICY 200 OK",
        "200 OK",
    ] {
        let text = format!("{line}\r\nContent-Length: 0\r\n\r\n");
        assert!(parse("GET", text.as_bytes()).is_err(), "{line:?}");
    }
}

#[test]
fn reason_phrases_are_optional() {
    for line in [
        "HTTP/1.1 200 ",
        "HTTP/1.1 200",
        "HTTP/1.1 200 Tr\u{e8}s\tbien",
    ] {
        let text = format!("{line}\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(head("GET", &text).status, 200, "{line:?}");
    }
}

#[test]
fn names_that_are_no_tokens_are_refused() {
    for name in 0..=u8::MAX {
        let is_token =
            name.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&name) || name == b':';
        for line in [
            [b"X", [name].as_slice(), b"Y: z"].concat(),
            [[name].as_slice(), b"XY: z"].concat(),
            [b"XY", [name].as_slice(), b": z"].concat(),
        ] {
            let text = [
                b"HTTP/1.1 200 OK\r\nA: b\r\n",
                line.as_slice(),
                b"\r\nContent-Length: 0\r\n\r\n",
            ]
            .concat();
            let is_empty_name = line.starts_with(b":");
            let is_valid = is_token && !is_empty_name;
            let parsed = parse("GET", &text);
            assert_eq!(
                matches!(parsed, Ok(Some(_))),
                is_valid,
                "{:?}",
                line.escape_ascii().to_string()
            );
        }
    }
}

#[test]
fn values_with_control_bytes_are_refused() {
    for byte in (0..=0x1f).chain([0x7f]) {
        let text = [
            b"HTTP/1.1 200 OK\r\nX: a".as_slice(),
            &[byte],
            b"b\r\nContent-Length: 0\r\n\r\n",
        ]
        .concat();
        let is_valid = byte == b'\t';
        // A line end in a value begins a line without a colon.
        assert_eq!(parse("GET", &text).is_ok(), is_valid, "{byte:#x}");
    }
}

#[test]
fn lines_that_end_without_a_carriage_return_are_refused() {
    for text in [
        "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n",
        "HTTP/1.1 200 OK\r\n\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: a\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\r\n\r\n",
    ] {
        assert_eq!(error(text), ParseError::Head, "{text:?}");
    }
}

#[test]
fn contradicting_framing_is_refused() {
    for fields in [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3, 3",
        "Content-Length: +3",
        "Content-Length: 0x3",
        "Content-Length: ",
        "Content-Length: 18446744073709551616",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ] {
        for (method, status) in [("GET", 200), ("HEAD", 200), ("GET", 304), ("GET", 103)] {
            let text = format!("HTTP/1.1 {status} OK\r\n{fields}\r\n\r\n");
            assert!(parse(method, text.as_bytes()).is_err(), "{text:?}");
        }
    }
}

#[test]
fn chunks_of_http_1_0_are_refused() {
    let text = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(error(text), ParseError::Framing);
    let text = "HTTP/1.0 200 OK\r\n\r\n";
    assert_eq!(head("GET", text).framing, Framing::UntilClose);
}

#[test]
fn statuses_without_a_body_have_none() {
    for status in [103, 204] {
        for fields in ["Content-Length: 5", "Transfer-Encoding: chunked"] {
            let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n\r\n");
            assert_eq!(error(&text), ParseError::Framing, "{text:?}");
        }
    }
    for fields in ["", "Content-Length: 0\r\n"] {
        let text = format!("HTTP/1.1 204 No Content\r\n{fields}\r\n");
        assert_eq!(head("GET", &text).framing, Framing::Empty);
    }
    for (method, status) in [("HEAD", 200), ("GET", 304)] {
        for fields in ["Content-Length: 5", "Transfer-Encoding: chunked"] {
            let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n\r\n");
            assert_eq!(head(method, &text).framing, Framing::Empty);
        }
    }
}

#[test]
fn interim_responses_come_before_the_final_one() {
    let final_head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    let parsed = head("GET", &format!("{interim}{final_head}"));
    assert_eq!(parsed.status, 200);
    assert_eq!(parsed.headers.text("link"), None);
    assert_eq!(parse("GET", interim.as_bytes()), Ok(None));
    let body = "HTTP/1.1 103 Early Hints\r\n\r\nhello";
    assert_eq!(error(&format!("{body}{final_head}")), ParseError::Head);
}

#[test]
fn protocols_are_not_switched_unasked() {
    let text = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n";
    assert_eq!(error(text), ParseError::Status);
}
