//! Header fields in the order in which they were received.

use bytes::Bytes;

/// Fields that apply to a single connection and must not be forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The name as received.
    pub name: String,
    /// The value without surrounding whitespace.
    pub value: Bytes,
}

impl Header {
    /// Returns whether the field has this name, ignoring ASCII case.
    #[must_use]
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// The header fields of a message in the order received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeaderList {
    fields: Vec<Header>,
}

impl HeaderList {
    pub(crate) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let fields = parsed.iter().map(|header| Header {
            name: header.name.to_owned(),
            value: Bytes::copy_from_slice(header.value.trim_ascii()),
        });
        Self {
            fields: fields.collect(),
        }
    }

    /// Iterates over all fields.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.fields.iter()
    }

    /// Iterates over the values of all fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let named = self.fields.iter().filter(move |field| field.is(name));
        named.map(|field| &field.value)
    }

    /// Returns the first value of a field if it is valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|field| field.is(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns the first value of a field if it consists of decimal digits only and fits into
    /// `u64`.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        parse_digits(self.text(name)?.as_bytes())
    }

    /// Returns whether a comma-separated list field contains a token, ignoring ASCII case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .any(|value| list_contains_token(value, token))
    }

    /// Iterates over the fields that may be forwarded to the next connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.fields.iter().filter(|field| self.is_end_to_end(field))
    }

    fn is_end_to_end(&self, field: &Header) -> bool {
        let is_hop_by_hop = HOP_BY_HOP_FIELDS.iter().any(|name| field.is(name));
        !is_hop_by_hop && !self.has_token("connection", &field.name)
    }
}

fn list_contains_token(value: &[u8], token: &str) -> bool {
    let mut items = value.split(|byte| *byte == b',');
    items.any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Parses a number of decimal digits only. Signs and spaces are refused, because another parser
/// may read them differently.
pub(crate) fn parse_digits(text: &[u8]) -> Option<u64> {
    let is_plain = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_plain)?;
    text.parse().ok()
}
