//! A TCP proxy between two processes that can silently drop the link.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};

#[derive(Debug, Default)]
struct Mode {
    /// True while no data is forwarded and no connection is closed.
    silent: AtomicBool,
    /// Lowest number of a connection that is not silent for good.
    first_live: AtomicU64,
    opened: AtomicU64,
    /// Bytes received from both ends.
    carried: AtomicU64,
}

/// A proxied link from one process to another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: Arc<Mode>,
}

impl Relay {
    /// Starts forwarding to `target`, which need not listen yet.
    pub fn spawn(
        runtime: &tokio::runtime::Runtime,
        target: SocketAddr,
    ) -> Relay {
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("the relay can't listen");
        let address = listener.local_addr().expect("the relay has no address");
        let mode = Arc::new(Mode::default());
        runtime.spawn(accept(listener, target, mode.clone()));
        Relay { address, mode }
    }

    /// Returns the address to connect to instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops or resumes forwarding on all connections, without closing any.
    pub fn set_silent(&self, silent: bool) {
        self.mode.silent.store(silent, Ordering::Relaxed);
    }

    /// Returns the bytes received so far from both ends.
    pub fn carried(&self) -> u64 {
        self.mode.carried.load(Ordering::Relaxed)
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.mode.opened.load(Ordering::Relaxed)
    }

    /// Silences all open connections for good. New connections work.
    pub fn forget_open(&self) {
        let opened = self.mode.opened.load(Ordering::Relaxed);
        self.mode.first_live.store(opened, Ordering::Relaxed);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: Arc<Mode>) {
    while let Ok((near, _)) = listener.accept().await {
        let number = mode.opened.fetch_add(1, Ordering::Relaxed);
        let mode = mode.clone();
        tokio::spawn(async move {
            while mode.silent.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(20)).await;
            }
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let forward = copy(near_in, far_out, number, mode.clone());
            let backward = copy(far_in, near_out, number, mode);
            tokio::join!(forward, backward);
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    mode: Arc<Mode>,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut bytes).await else { return };
        mode.carried.fetch_add(count as u64, Ordering::Relaxed);
        while mode.silent.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(20)).await;
        }
        if number < mode.first_live.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
