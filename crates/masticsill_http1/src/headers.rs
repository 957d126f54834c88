//! Header fields in the order in which they came.

use bytes::Bytes;

/// Fields that concern one connection only, in lower case.
const CONNECTION_FIELDS: [&str; 9] = [
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
    /// The name as it came.
    pub name: String,
    /// The value without surrounding white space.
    pub value: Bytes,
}

impl Header {
    /// Whether the field has this name, in any case.
    #[must_use]
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// A message's header fields, in order.
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

    /// Every field.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.fields.iter()
    }

    /// Every value of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let named = self.fields.iter().filter(move |field| field.is(name));
        named.map(|field| &field.value)
    }

    /// The first value of a field, if it is text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|field| field.is(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// The first value of a field as a whole number without a sign.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        parse_digits(self.text(name)?.as_bytes())
    }

    /// Whether a list field names a token, in any case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| lists_token(value, token))
    }

    /// The fields that may be passed on to the next connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.fields.iter().filter(|field| self.is_end_to_end(field))
    }

    fn is_end_to_end(&self, field: &Header) -> bool {
        let is_fixed = CONNECTION_FIELDS.iter().any(|name| field.is(name));
        !is_fixed && !self.has_token("connection", &field.name)
    }
}

fn lists_token(value: &[u8], token: &str) -> bool {
    let mut items = value.split(|byte| *byte == b',');
    items.any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// A whole number of digits only: a sign or a space would read differently elsewhere.
pub(crate) fn parse_digits(text: &[u8]) -> Option<u64> {
    let is_plain = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_plain)?;
    text.parse().ok()
}
