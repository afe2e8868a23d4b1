//! Drain of a node after a termination signal.
//!
//! The node still accepts requests until the load balancer has noticed that it is not ready, and
//! then ends when its requests have ended. The process may be paused meanwhile. Requests that
//! arrive during the pause are read only after it, so times are counted while the process is awake.

use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use peridotdeck_core::id::Time;

use crate::{Ingress, Shared, clock};

/// Interval at which a leaving node checks whether its requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time between two polls that counts; a longer one is a pause of the process.
const MAX_COUNTED: Duration = Duration::from_millis(100);

/// Time for which a leaving node still accepts requests.
///
/// The load balancer needs this long to see that the node is no longer ready.
const LEAVING_DELAY: Duration = Duration::from_millis(2_700);

/// Time without an open request after which a node ends.
///
/// Requests that the kernel has received are read within it.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// Time before the end of the grace period at which requests still in progress are cut.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Time in which the last answers are written after requests were cut.
const CUT_TIME: Duration = Duration::from_millis(100);

/// Clock that stands still while the process is paused.
struct Awake {
    polled: Time,
    total: Duration,
}

impl Awake {
    fn new() -> Self {
        Self {
            polled: clock::now(),
            total: Duration::ZERO,
        }
    }

    /// Waits for one poll interval and counts it.
    async fn poll(&mut self) {
        Timer::after(POLL_INTERVAL).await;
        let now = clock::now();
        self.total += now.saturating_sub(self.polled).min(MAX_COUNTED);
        self.polled = now;
    }
}

/// Lets the requests of a node end, and returns when the process may exit.
///
/// The listeners and idle connections are closed when `closing` is dropped. A request that comes
/// meanwhile is accepted if it can end in time. Requests that are open shortly before the end of the
/// grace period are cut; they get an answer unless a stream has begun.
pub async fn drain<I: Ingress>(shared: &Shared<I>, grace_period: Duration, closing: Sender<()>) {
    let open = || {
        shared.open_requests.get()
            + shared.unread_requests.get()
            + shared.tunnels.get()
            + shared.answers.unwritten()
    };
    let count = || {
        let tunnels = shared.tunnels.get();
        format!(
            "open={} tunnels={tunnels} unframed={}",
            open(),
            shared.answers.unframed()
        )
    };
    log::info!("event=leaving {}", count());
    let deadline = clock::now() + grace_period.saturating_sub(SHUTDOWN_MARGIN);
    shared.dispatcher().leave(deadline);
    let mut awake = Awake::new();
    while awake.total < LEAVING_DELAY && awake.polled < deadline {
        awake.poll().await;
    }
    drop(closing);
    let closed = awake.total;
    let mut busy_until = awake.total;
    while awake.total < busy_until + QUIET_TIME {
        let is_over = awake.polled >= deadline && awake.total >= closed + QUIET_TIME;
        if is_over {
            log::info!("event=requests_cut {}", count());
            shared.end_requests();
            let cut = awake.total;
            while open() > 0 && awake.total < cut + CUT_TIME {
                awake.poll().await;
            }
            break;
        }
        awake.poll().await;
        if open() > 0 {
            busy_until = awake.total;
        }
    }
    log::info!("event=stopped {}", count());
    // The log writer collects lines for a moment before it writes them.
    Timer::after(2 * POLL_INTERVAL).await;
}
