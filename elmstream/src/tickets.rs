//! Tickets: a caller's second try never runs a request again.
//!
//! A ticket is bound to one incarnation of one entry host and to a service,
//! and it expires. Only that incarnation runs a request with it, and it
//! remembers used tickets until they expire. The signature is made and checked
//! by the daemon; this table decides what may run.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    code::Code,
    id::{HostRef, Name},
    time::Time,
};

/// Number of a ticket; unique within one incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketId(pub u64);

/// What a ticket says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The incarnation that may run the request.
    pub issuer: HostRef,
    /// Its number at the issuer.
    pub id: TicketId,
    /// The service that it is good for.
    pub service: Name,
    /// When it expires, in microseconds of the *issuer's* clock.
    pub expires: Time,
}

/// State of a ticket that has been used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Running,
    Ended,
}

/// What the issuer does with a ticketed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// It is the first try: run it.
    Run,
    /// It must not run; the code says why.
    Answer(Code),
}

/// The used tickets of this incarnation.
#[derive(Debug, Default)]
pub struct TicketTable {
    next: u64,
    used: HashMap<TicketId, State>,
    expiry: BTreeMap<(Time, TicketId), ()>,
}

impl TicketTable {
    /// Issues a ticket.
    pub fn issue(&mut self, issuer: HostRef, service: Name, expires: Time) -> Ticket {
        self.next += 1;
        let id = TicketId(self.next);
        Ticket { issuer, id, service, expires }
    }

    /// Decides on a try with a ticket whose signature was checked and whose
    /// issuer is this incarnation.
    pub fn begin(&mut self, now: Time, ticket: &Ticket, service: &str) -> TicketDecision {
        if ticket.expires <= now || &*ticket.service != service {
            return TicketDecision::Answer(Code::TicketBad);
        }
        match self.used.get(&ticket.id) {
            Some(State::Running) => TicketDecision::Answer(Code::TicketRunning),
            Some(State::Ended) => TicketDecision::Answer(Code::TicketUsed),
            None => {
                self.used.insert(ticket.id, State::Running);
                self.expiry.insert((ticket.expires, ticket.id), ());
                TicketDecision::Run
            }
        }
    }

    /// The try has ended. A try that was not run frees its ticket.
    pub fn end(&mut self, id: TicketId, not_run: bool) {
        if not_run {
            self.used.remove(&id);
        } else if let Some(state) = self.used.get_mut(&id) {
            *state = State::Ended;
        }
    }

    /// Forgets tickets that have expired and are not running.
    pub fn expire(&mut self, now: Time) {
        while let Some((&(expires, id), ())) = self.expiry.first_key_value() {
            if expires > now {
                return;
            }
            self.expiry.pop_first();
            self.used.remove(&id);
        }
    }

    /// Used tickets that are remembered.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no used ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
