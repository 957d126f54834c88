//! Text assembled from tokens that end inside characters.

use masticsill_generation::Utf8Assembler;
use masticsill_types::TokenIndex;

#[test]
fn text_ends_only_where_a_character_and_a_token_end() {
    let expected = "ถนน grüß".as_bytes();
    for cut in 0..=expected.len() {
        let mut assembler = Utf8Assembler::starting_at(TokenIndex(5));
        let (head, tail) = expected.split_at(cut);
        let text: String = [head, tail]
            .into_iter()
            .filter_map(|bytes| assembler.push(bytes))
            .collect();
        assert_eq!(text.as_bytes(), expected, "cut at {cut}");
        assert_eq!(assembler.next_index(), TokenIndex(7));
    }
}

#[test]
fn next_index_is_the_token_to_resume_from() {
    let mut assembler = Utf8Assembler::starting_at(TokenIndex(0));
    assert_eq!(assembler.push(b"a").as_deref(), Some("a"));
    assert_eq!(assembler.push(b"b\xc3"), None);
    assert_eq!(assembler.next_index(), TokenIndex(1));
    assert_eq!(assembler.push(b"\xbc").as_deref(), Some("bü"));
    assert_eq!(assembler.next_index(), TokenIndex(3));
}

#[test]
fn invalid_utf8_is_replaced() {
    let mut assembler = Utf8Assembler::starting_at(TokenIndex(0));
    assert_eq!(assembler.push(b"\xffa").as_deref(), Some("\u{fffd}a"));
    assert_eq!(assembler.push(b"\xe0\xb8"), None);
    assert_eq!(assembler.finish().as_deref(), Some("\u{fffd}"));
    assert_eq!(assembler.finish(), None);
}
