//! Times at which callers of refused calls were told to come back.
//!
//! A booking is known to all gateways, so that any of them recognises the caller. It is used once:
//! the gateway that admits the call tells the others.

use std::collections::HashMap;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Most bookings that are kept.
pub const MAX_BOOKINGS: usize = 4_096;
/// Time before the stated one from which a caller is not early; callers round.
const EARLY: Duration = Duration::from_millis(50);
/// Time after the stated one until which a caller may come back: a caller that has lost its
/// gateway connects to another one first.
const LATE: Duration = Duration::from_millis(1_500);
/// Time for which changes are repeated in heartbeats, so that one may be lost.
const NEWS_AGE: Duration = Duration::from_millis(500);
/// Unit in which the time left is sent.
const UNIT: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
struct Booking {
    due: Moment,
    made: Moment,
    is_own: bool,
    used: Option<Moment>,
}

/// What a booking means for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// The call has none that counts.
    None,
    /// The caller comes back as it was told.
    Due,
    /// The caller comes back too early by this time.
    Early(Duration),
}

/// The bookings that a gateway knows.
#[derive(Debug, Default)]
pub struct Bookings {
    by_request: HashMap<u32, Booking>,
}

impl Bookings {
    /// Adds a booking of this gateway. Returns whether there is room for it.
    pub fn add(&mut self, request: u32, due: Moment, now: Moment) -> bool {
        self.insert(request, due, true, now)
    }

    fn insert(&mut self, request: u32, due: Moment, is_own: bool, now: Moment) -> bool {
        if self.by_request.len() >= MAX_BOOKINGS {
            self.drop_expired(now);
        }
        if self.by_request.len() >= MAX_BOOKINGS && !self.by_request.contains_key(&request) {
            return false;
        }
        let booking = Booking {
            due,
            made: now,
            is_own,
            used: None,
        };
        self.by_request.insert(request, booking);
        true
    }

    /// Returns what the booking of a request means, if there is one.
    pub fn find(&self, request: u32, now: Moment) -> Return {
        match self.by_request.get(&request) {
            Some(booking) if booking.used.is_some() || now > booking.due + LATE => Return::None,
            Some(booking) if now + EARLY >= booking.due => Return::Due,
            Some(booking) => Return::Early(booking.due.since(now)),
            None => Return::None,
        }
    }

    /// Marks the booking of a request as used.
    pub fn take(&mut self, request: u32, now: Moment) {
        if let Some(booking) = self.by_request.get_mut(&request) {
            booking.used.get_or_insert(now);
        }
    }

    /// Returns the bookings made here lately, with the time left in units of 10 ms, and those that
    /// were used here or at other gateways lately.
    pub fn news(&self, now: Moment) -> (Vec<(u32, u16)>, Vec<u32>) {
        let bookings = self.by_request.iter();
        let made = bookings
            .clone()
            .filter(|(_, it)| it.is_own && it.used.is_none() && now.since(it.made) <= NEWS_AGE);
        let made = made.map(|(request, it)| {
            let left = it.due.since(now).as_millis() / UNIT.as_millis();
            (*request, u16::try_from(left).unwrap_or(u16::MAX))
        });
        let used = bookings.filter(|(_, it)| it.used.is_some_and(|at| now.since(at) <= NEWS_AGE));
        (made.collect(), used.map(|(request, _)| *request).collect())
    }

    /// Adds what another gateway tells. A booking that is known stays as it is, since the message
    /// may be late or repeated.
    pub fn learn(&mut self, made: &[(u32, u16)], used: &[u32], now: Moment) {
        for (request, left) in made {
            let known = self.by_request.get(request);
            if known.is_none_or(|known| now > known.due + LATE) {
                self.insert(*request, now + UNIT * u32::from(*left), false, now);
            }
        }
        for request in used {
            self.take(*request, now);
        }
    }

    /// Removes bookings whose time has passed.
    pub fn drop_expired(&mut self, now: Moment) {
        self.by_request
            .retain(|_, booking| now <= booking.due + LATE);
    }

    /// Returns the number of bookings that are kept.
    pub fn count(&self) -> usize {
        self.by_request.len()
    }
}
