//! The fencing gate in front of an engine, which decides whether an order may be sent to it.

use masticsill_types::FencingNumber;
use masticsill_wire::engine::EngineOrder;

/// Why an order was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateRefusal {
    /// Another order is in flight; two concurrent orders could take effect in any sequence.
    Busy,
    /// Since its start the agent has not learned the highest fencing number ever allocated.
    Closed,
    /// The order's fencing number is not higher than this one, which was already seen.
    Fenced(FencingNumber),
}

/// Admits orders to one engine, each only with a higher fencing number than all orders before.
///
/// The gate protects engines that do not check fencing numbers themselves. A restart of the agent
/// must not let a stale order through, so the gate admits nothing until it is told the highest
/// fencing number ever allocated.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    highest: FencingNumber,
    is_open: bool,
    in_flight: Option<(FencingNumber, EngineOrder)>,
}

impl OrderGate {
    /// Whether the gate was told the highest fencing number allocated.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// The highest fencing number seen in an order or told by a leader.
    #[must_use]
    pub fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// The order that was admitted and has not ended, if any.
    #[must_use]
    pub fn in_flight(&self) -> Option<&EngineOrder> {
        self.in_flight.as_ref().map(|(_, order)| order)
    }

    /// Opens the gate for fencing numbers above the highest one allocated, which must have been
    /// read from a leader that is followed by a majority.
    pub fn open(&mut self, highest_drawn: FencingNumber) {
        self.is_open = true;
        self.raise(highest_drawn);
    }

    /// From now on refuses orders with a fencing number up to and including `fencing`. An order
    /// below it that was admitted but not sent yet may no longer be sent.
    pub fn raise(&mut self, fencing: FencingNumber) {
        self.highest = self.highest.max(fencing);
    }

    /// Admits an order, which is then in flight until [`Self::finish`].
    ///
    /// # Errors
    ///
    /// [`GateRefusal`] if the order must not be sent.
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
        if self.in_flight.is_some() {
            return Err(GateRefusal::Busy);
        }
        self.highest = fencing;
        self.in_flight = Some((fencing, order.clone()));
        Ok(())
    }

    /// Whether an admitted order may still be sent. To be checked immediately before sending.
    #[must_use]
    pub fn may_send(&self, fencing: FencingNumber) -> bool {
        let is_under_way = matches!(&self.in_flight, Some((number, _)) if *number == fencing);
        is_under_way && self.highest == fencing
    }

    /// Ends an order, whatever its outcome.
    pub fn finish(&mut self, fencing: FencingNumber) {
        self.in_flight.take_if(|(number, _)| *number == fencing);
    }
}
