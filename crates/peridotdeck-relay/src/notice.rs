//! Log lines of what is blamed for crashed endpoints, and of what is held back for it.

use peridotdeck_core::dispatch::crashes::{Notice, Subject};

/// Logs a change of what is blamed for crashes, or a decision that follows from it.
pub fn log(notice: &Notice) {
    match notice {
        Notice::Attributed {
            subject,
            endpoint,
            count,
            from_peer,
        } => log::info!(
            "event=crash_attributed {} endpoint_key={endpoint:08x} crashes={count} source={}",
            name(*subject),
            if *from_peer { "peer" } else { "probe" },
        ),
        Notice::Quarantined { subject, count } => {
            log::warn!(
                "event=quarantine_started {} crashes={count}",
                name(*subject)
            );
        }
        Notice::Refused { subject, id } => {
            log::info!("event=request_quarantined id={id} {}", name(*subject));
        }
        Notice::Tried { subject, id } => {
            log::info!("event=quarantine_trial id={id} {}", name(*subject));
        }
        Notice::Released { subject } => {
            log::info!("event=quarantine_ended {} cause=answered", name(*subject));
        }
        Notice::Expired { subject } => {
            log::info!("event=quarantine_ended {} cause=unused", name(*subject));
        }
    }
}

/// Returns the fields that identify a subject.
fn name(subject: Subject) -> String {
    format!("kind={subject} subject={:016x}", subject.id())
}
