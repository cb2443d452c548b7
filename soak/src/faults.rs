//! Injects faults and schedules their repair.

use std::{
    fs,
    sync::Arc,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

use crate::{
    Shared,
    proxy::{Mode, Proxy},
    replica::{Replica, send_malformed_heartbeat},
    site::Site,
};

/// Minimum time between the losses of two disks.
pub const MIN_DISK_LOSS_INTERVAL: Duration = Duration::from_secs(6);
/// Time between SIGTERM and SIGKILL.
const TERM_GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Share of the faults after which an extra fault is injected.
const EXTRA_FAULT_SHARE: f64 = 0.3;
/// Number of kinds of fault, without the extra ones.
const FAULT_KINDS: u32 = 13;

/// A scheduled action that ends a fault.
#[derive(Debug)]
enum Repair {
    Start(usize),
    Thaw(usize),
    Kill(usize),
    RestoreDisk(usize),
    Heal(Proxy),
}

/// Injects faults into the nodes, replicas and links of one run.
pub struct Faults {
    shared: Arc<Shared>,
    /// The nodes.
    pub site: Site,
    replicas: Vec<Replica>,
    cloud: Proxy,
    rng: StdRng,
    /// Chooses extra faults. Separate from `rng`, so that a seed still gives
    /// the same other faults as before.
    extra_rng: StdRng,
    repairs: Vec<(Instant, Repair)>,
    disk_lost_at: Option<Instant>,
    next_replica: u64,
    /// Faults injected so far, for the report.
    pub injected: Vec<&'static str>,
}

impl Faults {
    /// Creates an injector that has injected no faults yet.
    pub fn new(
        shared: Arc<Shared>,
        site: Site,
        replicas: Vec<Replica>,
        cloud: Proxy,
    ) -> Faults {
        let rng = StdRng::seed_from_u64(shared.seed);
        let extra_rng = StdRng::seed_from_u64(!shared.seed);
        let next_replica = replicas.len() as u64;
        Faults {
            shared,
            site,
            replicas,
            cloud,
            rng,
            extra_rng,
            repairs: Vec::new(),
            disk_lost_at: None,
            next_replica,
            injected: Vec::new(),
        }
    }

    /// Injects faults until `until`, then repairs all of them.
    pub async fn inject_until(
        &mut self,
        until: Instant,
    ) -> std::io::Result<()> {
        while Instant::now() < until {
            let pause = self.rng.random_range(150..1200);
            sleep(Duration::from_millis(pause)).await;
            self.repair(Instant::now()).await?;
            self.schedule_restarts();
            self.replace_ended().await?;
            self.inject().await?;
            if self.extra_rng.random_bool(EXTRA_FAULT_SHARE) {
                self.inject_extra().await?;
            }
        }
        while let Some(last) = self.repairs.iter().map(|(at, _)| *at).max() {
            sleep(Duration::from_millis(50)).await;
            self.repair(Instant::now().min(last)).await?;
        }
        for at in 0..self.site.nodes.len() {
            self.site.start(at, false)?;
        }
        Ok(())
    }

    /// Records unexpected exits of node processes as breaches, and
    /// schedules a restart of each stopped node.
    pub fn schedule_restarts(&mut self) {
        for text in self.site.take_unexpected_exits() {
            self.shared.ledger.record_breach(text);
        }
        for at in 0..self.site.nodes.len() {
            let due = self.repairs.iter().any(|(_, repair)| match repair {
                Repair::Start(one) | Repair::RestoreDisk(one) => *one == at,
                _ => false,
            });
            if !self.site.is_up(at) && !due {
                self.schedule(200, Repair::Start(at));
            }
        }
    }

    fn schedule(&mut self, ms: u64, repair: Repair) {
        let at = Instant::now() + Duration::from_millis(ms);
        self.repairs.push((at, repair));
    }

    async fn repair(&mut self, now: Instant) -> std::io::Result<()> {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.repairs)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.repairs = rest;
        for (_, repair) in due {
            match repair {
                Repair::Start(at) => self.site.start(at, false)?,
                Repair::Thaw(at) => {
                    self.shared.ledger.permit_late_calls();
                    self.site.signal(at, Signal::SIGCONT);
                }
                Repair::Kill(at) => self.site.kill(at),
                Repair::RestoreDisk(at) => {
                    let disk = self.site.disk(at);
                    self.site.kill(at);
                    fs::remove_file(&disk)?;
                    fs::rename(disk.with_extension("aside"), &disk)?;
                    self.site.start(at, false)?;
                }
                Repair::Heal(proxy) => {
                    self.shared.ledger.permit_late_calls();
                    proxy.set(Mode::Pass);
                }
            }
        }
        Ok(())
    }

    async fn inject(&mut self) -> std::io::Result<()> {
        let count = self.site.nodes.len();
        let at = self.rng.random_range(0..count);
        let ms = self.rng.random_range(200..3000);
        let what = match self.rng.random_range(0..FAULT_KINDS) {
            0 => {
                self.site.kill(at);
                self.schedule(ms / 2, Repair::Start(at));
                "kill"
            }
            1 => {
                self.site.signal(at, Signal::SIGTERM);
                self.schedule(
                    TERM_GRACE_PERIOD.as_millis() as u64,
                    Repair::Kill(at),
                );
                "term"
            }
            2 => {
                self.site.signal(at, Signal::SIGSTOP);
                self.schedule(ms, Repair::Thaw(at));
                "freeze"
            }
            3 => {
                self.site.signal(at, Signal::SIGHUP);
                "hup"
            }
            4 if self.can_lose_disk() => {
                let at = at % self.site.disks;
                self.disk_lost_at = Some(Instant::now());
                self.site.wipe(at)?;
                self.schedule(ms / 2, Repair::Start(at));
                "wipe"
            }
            5 if self.can_lose_disk() => {
                self.break_disk(at % self.site.disks)?;
                self.schedule(ms, Repair::RestoreDisk(at % self.site.disks));
                "no disk"
            }
            6 if self.rng.random_bool(0.3) => {
                for at in 0..count {
                    self.site.kill(at);
                    self.schedule(ms / 4, Repair::Start(at));
                }
                "kill all"
            }
            7 => {
                self.site.reseed(at)?;
                "seeds"
            }
            8 => {
                let front = self.shared.fronts()[at].clone();
                self.inject_link_fault(front, ms)
            }
            9 => {
                let at = self.rng.random_range(0..self.replicas.len());
                let link = self.replicas[at].proxy.clone();
                self.inject_link_fault(link, ms)
            }
            10 => {
                let cloud = self.cloud.clone();
                self.inject_link_fault(cloud, ms)
            }
            11 => {
                let at = self.rng.random_range(0..self.replicas.len());
                self.replace(at).await?;
                "replica crashes"
            }
            12 => {
                let at = self.rng.random_range(0..self.replicas.len());
                self.replicas[at].leave();
                "replica leaves"
            }
            _ => return Ok(()),
        };
        self.injected.push(what);
        Ok(())
    }

    /// Injects an extra fault: a replica that restarts under its id, a
    /// malformed heartbeat, or a lost disk while all other nodes are killed.
    async fn inject_extra(&mut self) -> std::io::Result<()> {
        let what = match self.extra_rng.random_range(0..5) {
            0 | 1 => {
                let at = self.extra_rng.random_range(0..self.replicas.len());
                let shared = self.shared.clone();
                self.replicas[at].restart(shared).await?;
                "replica starts again"
            }
            2 | 3 => {
                send_malformed_heartbeat(&self.shared, &mut self.extra_rng)
                    .await;
                "nonsense"
            }
            _ if self.can_lose_disk() => {
                let lost = self.extra_rng.random_range(0..self.site.disks);
                self.disk_lost_at = Some(Instant::now());
                for at in 0..self.site.nodes.len() {
                    self.site.kill(at);
                    self.schedule(200, Repair::Start(at));
                }
                self.site.wipe(lost)?;
                "disk lost, all killed"
            }
            _ => return Ok(()),
        };
        self.injected.push(what);
        Ok(())
    }

    /// Returns true if a disk may be lost: all nodes with a disk are up and
    /// not suspended, and the previous loss is long enough ago for its node
    /// to have caught up.
    fn can_lose_disk(&self) -> bool {
        self.disk_lost_at
            .is_none_or(|at| at.elapsed() > MIN_DISK_LOSS_INTERVAL)
            && (0..self.site.disks).all(|at| {
                self.site.is_up(at) && !self.site.nodes[at].is_frozen
            })
    }

    fn break_disk(&mut self, at: usize) -> std::io::Result<()> {
        self.disk_lost_at = Some(Instant::now());
        self.site.kill(at);
        let disk = self.site.disk(at);
        fs::rename(&disk, disk.with_extension("aside"))?;
        fs::write(&disk, "not a folder")?;
        self.site.start(at, false)
    }

    fn inject_link_fault(&mut self, link: Proxy, ms: u64) -> &'static str {
        let (what, mode) = match self.rng.random_range(0..4) {
            0 => {
                link.reset();
                return "resets";
            }
            1 => ("delay", Mode::Delay(ms / 8)),
            2 => ("silence", Mode::Silent),
            _ => ("no answers", Mode::NoAnswers),
        };
        link.set(mode);
        self.schedule(ms, Repair::Heal(link));
        what
    }

    /// Crashes a replica and starts one with a new id in its place.
    async fn replace(&mut self, at: usize) -> std::io::Result<()> {
        self.replicas[at].crash();
        let number = self.next_replica;
        self.next_replica += 1;
        self.replicas[at] =
            Replica::spawn(self.shared.clone(), number).await?;
        Ok(())
    }

    /// Replaces the replicas that have stopped.
    async fn replace_ended(&mut self) -> std::io::Result<()> {
        for at in 0..self.replicas.len() {
            if self.replicas[at].has_ended() {
                self.replace(at).await?;
            }
        }
        Ok(())
    }

    /// Replaces all replicas by new ones, so that none is leaving.
    pub async fn refill(&mut self) -> std::io::Result<()> {
        for at in 0..self.replicas.len() {
            self.replace(at).await?;
        }
        Ok(())
    }
}
