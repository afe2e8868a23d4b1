//! Reservations of all holders together stay within the budget.

use peridotdeck_io::budget::{Budget, Buffer, Denied, Holder, Reservation};

const ENDPOINT: Holder = Holder::numbered(1);

/// Reserves byte by byte until no more is given.
fn fill(budget: &Budget, holder: Holder) -> Reservation {
    let mut reservation = budget.reservation(holder);
    while reservation.cover(reservation.bytes() + 1).is_ok() {}
    reservation
}

/// Guards against one faulty endpoint that takes the memory of all others.
#[test]
fn one_holder_gets_a_quarter() {
    let budget = Budget::new(1_200);
    let whole = fill(&budget, ENDPOINT);
    let again = budget.reservation(ENDPOINT).cover(1);
    assert_eq!((whole.bytes(), again), (300, Err(Denied::Share)));
    let mut other = budget.reservation(Holder::numbered(2));
    assert_eq!(other.cover(200), Ok(()));
}

/// Guards against many holders that leave nothing for the next one.
#[test]
fn sum_stays_within_the_budget() {
    let budget = Budget::new(120_000);
    let holders: Vec<Reservation> = (0..60)
        .map(|number| fill(&budget, Holder::numbered(number)))
        .collect();
    let used = budget.usage().used;
    assert_eq!(used, holders.iter().map(Reservation::bytes).sum());
    let mut next = budget.reservation(Holder::numbered(60));
    assert_eq!(next.cover((120_000 - used) / 4), Ok(()));
    let mut process = budget.reservation(Holder::PROCESS);
    assert_eq!(process.cover(120_000), Err(Denied::Total));
    let free = 120_000 - budget.usage().used;
    assert_eq!(process.cover(free), Ok(()));
    assert_eq!(budget.usage().used, 120_000);
}

/// Guards against bytes that are counted for longer than they are kept.
#[test]
fn bytes_are_given_back() {
    let budget = Budget::new(1_200);
    let mut reservation = budget.reservation(ENDPOINT);
    assert_eq!(reservation.cover(300), Ok(()));
    assert_eq!(reservation.cover(301), Err(Denied::Share));
    reservation.shrink_to(100);
    assert_eq!((reservation.bytes(), budget.usage().used), (100, 100));
    drop(reservation);
    let usage = budget.usage();
    assert_eq!((usage.used, usage.peak, usage.denials), (0, 300, 1));
}

/// Guards against a slow body that stays in the way of all others of its organisation.
#[test]
fn idle_buffer_learns_that_others_get_nothing() {
    let budget = Budget::new(40_000);
    let mut idle = Buffer::new(budget.reservation(ENDPOINT));
    assert_eq!(idle.extend(&[b'x'; 9_000]), Ok(()));
    let mut next = Buffer::new(budget.reservation(ENDPOINT));
    assert!(!idle.is_contended());
    assert_eq!(next.extend(&[b'x'; 9_000]), Err(Denied::Share));
    assert!(idle.is_contended() && !next.is_contended());
    drop(idle);
    assert_eq!(next.extend(&[b'x'; 9_000]), Ok(()));
    assert_eq!((next.as_ref().len(), budget.usage().used), (9_000, 9_000));
}
