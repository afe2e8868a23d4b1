//! A proxy on the path from one node to one engine, which can be cut.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a new socket");
        let proxy = Self {
            address: listener.local_addr().expect("bound"),
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let own = proxy.clone();
        thread::spawn(move || {
            // The listener closes at the cut: new connections are refused from then on.
            while !own.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((near, _)) => own.join(near, target),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        proxy
    }

    fn join(&self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = near.set_nonblocking(false);
        let copy = |stream: &TcpStream| stream.try_clone().expect("a copy");
        self.open
            .lock()
            .expect("held briefly")
            .extend([copy(&near), copy(&far)]);
        let (back_from, back_to) = (copy(&far), copy(&near));
        thread::spawn(move || pass(near, far));
        thread::spawn(move || pass(back_from, back_to));
    }

    /// Closes all connections, and refuses new ones.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("held briefly").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 8_192];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
