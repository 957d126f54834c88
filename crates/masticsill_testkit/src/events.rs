//! Server-sent events, as far as the system's interfaces use them.

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerEvent {
    /// Its data lines, joined by line ends.
    pub data: String,
    /// Its name, if any.
    pub event: Option<String>,
    /// Its id, if any.
    pub id: Option<String>,
}

impl ServerEvent {
    /// The data as JSON, or null when it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.data).unwrap_or_default()
    }
}

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct ServerEventDecoder {
    pending: Vec<u8>,
}

impl ServerEventDecoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event; blocks that hold only comments are passed over.
    pub(crate) fn next_event(&mut self) -> Option<ServerEvent> {
        loop {
            let end = self.pending.windows(2).position(|pair| pair == b"\n\n")?;
            let block: Vec<u8> = self.pending.drain(..end + 2).collect();
            let event = parse_block(&String::from_utf8_lossy(&block));
            if event != ServerEvent::default() {
                return Some(event);
            }
        }
    }
}

fn parse_block(block: &str) -> ServerEvent {
    let mut event = ServerEvent::default();
    let mut data = Vec::new();
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => data.push(value),
            "event" => event.event = Some(value.to_owned()),
            "id" => event.id = Some(value.to_owned()),
            _ => {}
        }
    }
    event.data = data.join("\n");
    event
}
