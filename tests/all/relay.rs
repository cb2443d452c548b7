//! A userland relay between two processes, whose link can go silent.

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
    /// Nothing passes, no connection is closed.
    silent: AtomicBool,
    /// Connections below this number have gone silent for good.
    forgotten: AtomicU64,
    opened: AtomicU64,
    /// Bytes carried, both ways.
    carried: AtomicU64,
}

/// A link from one process to another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: Arc<Mode>,
}

impl Relay {
    /// Starts relaying to `target`, which need not listen yet.
    pub fn spawn(
        runtime: &tokio::runtime::Runtime,
        target: SocketAddr,
    ) -> Relay {
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a relay can listen");
        let address = listener.local_addr().expect("an address");
        let mode = Arc::new(Mode::default());
        runtime.spawn(accept(listener, target, mode.clone()));
        Relay { address, mode }
    }

    /// What the one end connects to in place of the other.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets nothing pass, or lets it pass again.
    pub fn set_silent(&self, silent: bool) {
        self.mode.silent.store(silent, Ordering::Relaxed);
    }

    /// Bytes carried so far, both ways.
    pub fn carried(&self) -> u64 {
        self.mode.carried.load(Ordering::Relaxed)
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn forget_open(&self) {
        let opened = self.mode.opened.load(Ordering::Relaxed);
        self.mode.forgotten.store(opened, Ordering::Relaxed);
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
            let there = copy(near_in, far_out, number, mode.clone());
            let back = copy(far_in, near_out, number, mode);
            tokio::join!(there, back);
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
        if number < mode.forgotten.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
