//! The gate before an engine: what lets an order pass.

use masticsill_types::FencingNumber;
use masticsill_wire::engine::EngineOrder;

/// Why an order may not pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateRefusal {
    /// Another order is under way; two at once could take effect in any sequence.
    Busy,
    /// The highest number drawn is not known since the agent's start.
    Closed,
    /// This number, not lower than the order's, was seen.
    Fenced(FencingNumber),
}

/// Lets orders to one engine pass, each with a higher number than every one before.
///
/// It stands in for engines that ignore the number, so an agent's restart must not reopen the way
/// for an old order: the gate is closed until it is told the highest number ever drawn.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    highest: FencingNumber,
    is_open: bool,
    under_way: Option<(FencingNumber, EngineOrder)>,
}

impl OrderGate {
    /// Whether the gate was told the highest number drawn.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// The highest number seen or told.
    #[must_use]
    pub fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// The order that was admitted and has not ended.
    #[must_use]
    pub fn under_way(&self) -> Option<&EngineOrder> {
        self.under_way.as_ref().map(|(_, order)| order)
    }

    /// Opens the gate above the highest number drawn, as read from a leader with a majority.
    pub fn open(&mut self, highest_drawn: FencingNumber) {
        self.is_open = true;
        self.raise(highest_drawn);
    }

    /// Refuses orders up to a number from now on, also one that was admitted and not sent yet.
    pub fn raise(&mut self, fencing: FencingNumber) {
        self.highest = self.highest.max(fencing);
    }

    /// Admits an order, which is then under way until [`Self::finish`].
    ///
    /// # Errors
    ///
    /// [`GateRefusal`]; the order must not be sent.
    pub fn admit(
        &mut self,
        fencing: FencingNumber,
        order: &EngineOrder,
    ) -> Result<(), GateRefusal> {
        if !self.is_open {
            return Err(GateRefusal::Closed);
        }
        if fencing <= self.highest {
            return Err(GateRefusal::Fenced(self.highest));
        }
        if self.under_way.is_some() {
            return Err(GateRefusal::Busy);
        }
        self.highest = fencing;
        self.under_way = Some((fencing, order.clone()));
        Ok(())
    }

    /// Whether an admitted order may still be sent; asked immediately before the send.
    #[must_use]
    pub fn may_send(&self, fencing: FencingNumber) -> bool {
        let is_under_way = matches!(&self.under_way, Some((number, _)) if *number == fencing);
        is_under_way && self.highest == fencing
    }

    /// Ends an order, whatever became of it.
    pub fn finish(&mut self, fencing: FencingNumber) {
        self.under_way.take_if(|(number, _)| *number == fencing);
    }
}
