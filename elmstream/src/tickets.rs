//! Tickets: a caller that retries with its ticket never runs a request twice.
//!
//! A ticket is bound to one incarnation of one entry host and to one service, and
//! it expires. Only the issuing incarnation runs a request with it, and it
//! remembers used tickets until they expire. The daemon signs tickets and checks
//! the signatures; this table only decides whether a request may run.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    code::Code,
    id::{HostRef, Name},
    time::Time,
};

/// Number of a ticket, unique within one incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketId(pub u64);

/// Permission to run one request once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Entry host and incarnation that issued the ticket and alone may run the
    /// request.
    pub issuer: HostRef,
    /// Number of the ticket at its issuer.
    pub id: TicketId,
    /// Service that the ticket is valid for.
    pub service: Name,
    /// Expiry, on the clock of the *issuer*.
    pub expires: Time,
}

/// State of a used ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TicketState {
    Running,
    Ended,
}

/// Whether the issuer may run a request that carries a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// This is the first attempt, or the earlier one did not run: run the
    /// request.
    Run,
    /// The request must not run; answer with this code.
    Answer(Code),
}

/// Used tickets of this incarnation.
#[derive(Debug, Default)]
pub struct TicketTable {
    last_id: u64,
    used: HashMap<TicketId, TicketState>,
    by_expiry: BTreeMap<(Time, TicketId), ()>,
}

impl TicketTable {
    /// Issues a ticket that is valid until `expires`.
    pub fn issue(&mut self, issuer: HostRef, service: Name, expires: Time) -> Ticket {
        self.last_id += 1;
        let id = TicketId(self.last_id);
        Ticket { issuer, id, service, expires }
    }

    /// Decides whether a request with this ticket may run, and marks the ticket
    /// as running if so. The caller must have checked the signature and that this
    /// incarnation is the issuer.
    pub fn begin(&mut self, now: Time, ticket: &Ticket, service: &str) -> TicketDecision {
        if ticket.expires <= now || &*ticket.service != service {
            return TicketDecision::Answer(Code::TicketBad);
        }
        match self.used.get(&ticket.id) {
            Some(TicketState::Running) => TicketDecision::Answer(Code::TicketRunning),
            Some(TicketState::Ended) => TicketDecision::Answer(Code::TicketUsed),
            None => {
                self.used.insert(ticket.id, TicketState::Running);
                self.by_expiry.insert((ticket.expires, ticket.id), ());
                TicketDecision::Run
            }
        }
    }

    /// Records that the attempt ended. If it did not run, the ticket can be used
    /// again.
    pub fn end(&mut self, id: TicketId, not_run: bool) {
        if not_run {
            self.used.remove(&id);
        } else if let Some(state) = self.used.get_mut(&id) {
            *state = TicketState::Ended;
        }
    }

    /// Forgets expired tickets; [`TicketTable::begin`] refuses these by their
    /// expiry.
    pub fn expire(&mut self, now: Time) {
        while let Some((&(expires, id), ())) = self.by_expiry.first_key_value() {
            if expires > now {
                return;
            }
            self.by_expiry.pop_first();
            self.used.remove(&id);
        }
    }

    /// Number of used tickets that are remembered.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no used ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
