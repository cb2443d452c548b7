//! What goes wrong, when, and how it is made good again.

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
    replica::{Replica, speak_nonsense},
    site::{DISKS, Site},
};

/// After a disk was lost, before the next one may be.
const SYNC: Duration = Duration::from_secs(6);
/// From SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// After how many of the faults there is another one besides.
const BESIDES: f64 = 0.3;
/// Kinds of fault, by number.
const KINDS: u32 = 13;

/// What is due later.
#[derive(Debug)]
enum Cure {
    Start(usize),
    Thaw(usize),
    Kill(usize),
    GiveDiskBack(usize),
    Heal(Proxy),
}

/// Everything that can be harmed.
pub struct Faults {
    shared: Arc<Shared>,
    site: Site,
    replicas: Vec<Replica>,
    cloud: Proxy,
    rng: StdRng,
    /// For faults besides: those of a seed stay as they were.
    besides: StdRng,
    cures: Vec<(Instant, Cure)>,
    disk_lost_at: Option<Instant>,
    next_replica: u64,
    /// What has happened, for the report.
    pub played: Vec<&'static str>,
}

impl Faults {
    /// Nothing has happened yet.
    pub fn new(
        shared: Arc<Shared>,
        site: Site,
        replicas: Vec<Replica>,
        cloud: Proxy,
    ) -> Faults {
        let rng = StdRng::seed_from_u64(shared.seed);
        let besides = StdRng::seed_from_u64(!shared.seed);
        let next_replica = replicas.len() as u64;
        Faults {
            shared,
            site,
            replicas,
            cloud,
            rng,
            besides,
            cures: Vec::new(),
            disk_lost_at: None,
            next_replica,
            played: Vec::new(),
        }
    }

    /// Harms until `until`, then makes everything good again.
    pub async fn play(&mut self, until: Instant) -> std::io::Result<()> {
        while Instant::now() < until {
            let pause = self.rng.random_range(150..1200);
            sleep(Duration::from_millis(pause)).await;
            self.cure(Instant::now()).await?;
            self.look();
            self.replace_ended().await?;
            self.harm().await?;
            if self.besides.random_bool(BESIDES) {
                self.harm_besides().await?;
            }
        }
        while let Some(last) = self.cures.iter().map(|(at, _)| *at).max() {
            sleep(Duration::from_millis(50)).await;
            self.cure(Instant::now().min(last)).await?;
        }
        for at in 0..self.site.nodes.len() {
            self.site.start(at, false)?;
        }
        Ok(())
    }

    /// Notes processes that ended by themselves, and starts them again.
    pub fn look(&mut self) {
        for text in self.site.ended_by_themselves() {
            self.shared.ledger.breach(text);
        }
        for at in 0..self.site.nodes.len() {
            let due = self.cures.iter().any(|(_, cure)| match cure {
                Cure::Start(one) | Cure::GiveDiskBack(one) => *one == at,
                _ => false,
            });
            if !self.site.is_up(at) && !due {
                self.later(200, Cure::Start(at));
            }
        }
    }

    fn later(&mut self, ms: u64, cure: Cure) {
        let at = Instant::now() + Duration::from_millis(ms);
        self.cures.push((at, cure));
    }

    async fn cure(&mut self, now: Instant) -> std::io::Result<()> {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.cures)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.cures = rest;
        for (_, cure) in due {
            match cure {
                Cure::Start(at) => self.site.start(at, false)?,
                Cure::Thaw(at) => {
                    self.shared.ledger.excuse();
                    self.site.signal(at, Signal::SIGCONT);
                }
                Cure::Kill(at) => self.site.kill(at),
                Cure::GiveDiskBack(at) => {
                    let disk = self.site.disk(at);
                    self.site.kill(at);
                    fs::remove_file(&disk)?;
                    fs::rename(disk.with_extension("aside"), &disk)?;
                    self.site.start(at, false)?;
                }
                Cure::Heal(proxy) => {
                    self.shared.ledger.excuse();
                    proxy.set(Mode::Pass);
                }
            }
        }
        Ok(())
    }

    async fn harm(&mut self) -> std::io::Result<()> {
        let count = self.site.nodes.len();
        let at = self.rng.random_range(0..count);
        let ms = self.rng.random_range(200..3000);
        let what = match self.rng.random_range(0..KINDS) {
            0 => {
                self.site.kill(at);
                self.later(ms / 2, Cure::Start(at));
                "kill"
            }
            1 => {
                self.site.signal(at, Signal::SIGTERM);
                self.later(GRACE.as_millis() as u64, Cure::Kill(at));
                "term"
            }
            2 => {
                self.site.signal(at, Signal::SIGSTOP);
                self.later(ms, Cure::Thaw(at));
                "freeze"
            }
            3 => {
                self.site.signal(at, Signal::SIGHUP);
                "hup"
            }
            4 if self.may_lose_a_disk() => {
                let at = at % DISKS;
                self.disk_lost_at = Some(Instant::now());
                self.site.wipe(at)?;
                self.later(ms / 2, Cure::Start(at));
                "wipe"
            }
            5 if self.may_lose_a_disk() => {
                self.take_disk(at % DISKS)?;
                self.later(ms, Cure::GiveDiskBack(at % DISKS));
                "no disk"
            }
            6 if self.rng.random_bool(0.3) => {
                for at in 0..count {
                    self.site.kill(at);
                    self.later(ms / 4, Cure::Start(at));
                }
                "kill all"
            }
            7 => {
                self.site.reseed(at)?;
                "seeds"
            }
            8 => {
                let front = self.shared.fronts()[at].clone();
                self.harm_link(front, ms)
            }
            9 => {
                let at = self.rng.random_range(0..self.replicas.len());
                let link = self.replicas[at].proxy.clone();
                self.harm_link(link, ms)
            }
            10 => {
                let cloud = self.cloud.clone();
                self.harm_link(cloud, ms)
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
        self.played.push(what);
        Ok(())
    }

    /// Replicas that start again under their ids, writers that are none, and
    /// a lost disk while all other nodes are killed.
    async fn harm_besides(&mut self) -> std::io::Result<()> {
        let what = match self.besides.random_range(0..5) {
            0 | 1 => {
                let at = self.besides.random_range(0..self.replicas.len());
                let shared = self.shared.clone();
                self.replicas[at].start_again(shared).await?;
                "replica starts again"
            }
            2 | 3 => {
                speak_nonsense(&self.shared, &mut self.besides).await;
                "nonsense"
            }
            _ if self.may_lose_a_disk() => {
                let lost = self.besides.random_range(0..DISKS);
                self.disk_lost_at = Some(Instant::now());
                for at in 0..self.site.nodes.len() {
                    self.site.kill(at);
                    self.later(200, Cure::Start(at));
                }
                self.site.wipe(lost)?;
                "disk lost, all killed"
            }
            _ => return Ok(()),
        };
        self.played.push(what);
        Ok(())
    }

    /// One disk at a time, and not before the one before has caught up.
    fn may_lose_a_disk(&self) -> bool {
        self.disk_lost_at.is_none_or(|at| at.elapsed() > SYNC)
            && (0..DISKS).all(|at| {
                self.site.is_up(at) && !self.site.nodes[at].is_frozen
            })
    }

    fn take_disk(&mut self, at: usize) -> std::io::Result<()> {
        self.disk_lost_at = Some(Instant::now());
        self.site.kill(at);
        let disk = self.site.disk(at);
        fs::rename(&disk, disk.with_extension("aside"))?;
        fs::write(&disk, "not a folder")?;
        self.site.start(at, false)
    }

    fn harm_link(&mut self, link: Proxy, ms: u64) -> &'static str {
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
        self.later(ms, Cure::Heal(link));
        what
    }

    /// The same place, another incarnation.
    async fn replace(&mut self, at: usize) -> std::io::Result<()> {
        self.replicas[at].crash();
        let number = self.next_replica;
        self.next_replica += 1;
        self.replicas[at] =
            Replica::spawn(self.shared.clone(), number).await?;
        Ok(())
    }

    /// Replaces the replicas that a request has ended.
    async fn replace_ended(&mut self) -> std::io::Result<()> {
        for at in 0..self.replicas.len() {
            if self.replicas[at].has_ended() {
                self.replace(at).await?;
            }
        }
        Ok(())
    }

    /// Replaces the replicas that have left, so that some are there.
    pub async fn refill(&mut self) -> std::io::Result<()> {
        for at in 0..self.replicas.len() {
            self.replace(at).await?;
        }
        Ok(())
    }
}
