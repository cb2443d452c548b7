//! How many replicas of an engine each data centre should have, and which
//! kind.
//!
//! Reclaimable replicas cost a fraction of the others, and all of one data
//! centre can be taken away at once, on seconds of notice, while none are to
//! be had anywhere else for a long while. So there are so many of them that
//! those of one data centre can go and the rest still carries the load, with
//! most of the caches that it lives by. What is missing beyond that, as when
//! a second one goes before the first is back, is replaced by ordinary ones
//! until reclaimable ones serve in their place.
//!
//! The load is measured by the time that prompts take to read. The number of
//! requests under way would seem simpler, but it grows with every delay: too
//! few replicas for a moment would end in orders of far too many.
//!
//! # Why replicas are kept although the load is low
//!
//! The load itself depends on the replicas: each that is let go takes its
//! cache along, and the prompts in it are read again by those that are left.
//! Sizing by the load of the last seconds so has two resting points. Many
//! replicas read little, so some are let go; the others then read more than
//! they can, and stay overloaded for half a minute while replacements warm
//! up. So the load is forgotten slowly, the number stays near what operators
//! had sized the deployment to, and small differences are left as they are.

use crate::util::common;

/// The part of its time that a replica should spend on reading prompts, where
/// all entries know at once what the others send. At a fifth, a prompt seldom
/// meets another one before it; at a third, the 95th percentile of the first
/// token doubles.
const READING: f32 = 0.4;
/// The same where that takes a second or more: entries then choose replicas
/// nearly blindly, and prompts meet although other replicas are idle.
const READING_BLIND: f32 = 0.1;
/// How late others' requests are known when [`READING_BLIND`] holds, in ms.
const BLIND_MS: f32 = 1000.0;
/// Replicas kept at least after a loss, over all data centres: below this
/// one replica's failure takes too large a part of the load with it.
const LEAST: f32 = 8.0;
/// The part of the replicas found at the start that is always taken to be
/// needed: their caches together hold the prompts that are asked for.
const FOUND_AT_LEAST: f32 = 0.4;
/// The part of the replicas found at the start that is taken to be needed
/// until a load was seen: their operators sized them with a little room. A
/// system that starts often starts into a rush, with cold caches besides.
const FOUND: f32 = 0.85;
/// The part of the replicas found at the start that is to be there after the
/// loss of one data centre: with them go caches, which hold the prompts of
/// the last quarter of a minute or so.
const KEPT: f32 = 0.8;
/// How fast a past peak of the load is forgotten, in ms for half of it: long
/// against a wave of the load and against the time that a new replica takes
/// to boot and to fill its cache.
const FORGET_MS: f32 = 30_000.0;
/// For so long after it began to watch, a node lets nothing go, in ms: the
/// average of the load needs that time to mean anything.
const WATCH_MS: u64 = 15_000;
/// More reclaimable replicas than wished for are left alone up to this part
/// of the wish: the wish goes up and down with the load, and whatever is let
/// go for it comes back with a cold cache.
const SPARE: f32 = 0.25;

/// Over which the load of a moment is averaged, in ms.
const RECENT_MS: f32 = 6000.0;
/// Less than this, in replicas that only read, is no load.
const BUSY: f32 = 0.05;
/// Replicas that are let go at a time under load, as a part of all: the
/// prompts that they hold have to be read elsewhere first.
const RELEASED: f32 = 0.06;

common! {
    /// What there is in one data centre.
    pub struct Site {
        /// Its name.
        pub data_centre: String,
        /// Reclaimable replicas that serve.
        pub spot: u32,
        /// Other replicas that serve.
        pub ordinary: u32,
        /// Price of an ordinary replica.
        pub price: f64,
        /// No reclaimable ones are to be had: an order was refused, or those
        /// that were there are being taken away.
        pub dry: bool,
    }
}

common! {
    /// What one engine may be given.
    pub struct Bounds {
        /// Replicas of a data centre at least, of both kinds together.
        pub least: u32,
        /// Replicas of a data centre at most, of both kinds together.
        pub most: u32,
        /// Whether there are reclaimable replicas at all.
        pub has_spot: bool,
        /// How late entries know on average what others have sent, in ms.
        pub lag_ms: f32,
    }
}

common! {
    /// How many replicas of each kind a data centre should have.
    pub struct Wish {
        /// Its name.
        pub data_centre: String,
        /// Reclaimable ones.
        pub spot: u32,
        /// Others.
        pub ordinary: u32,
    }
}

/// The load that replicas are kept for: the part of their time, added up,
/// that replicas spend on reading prompts.
#[derive(Clone, Debug)]
pub struct Load {
    /// Work sent by each node since its start, in ms.
    sent: Vec<(u64, u64)>,
    at: u64,
    recent: f32,
    peak: f32,
    /// When it was first watched.
    since: u64,
    /// Whether there ever was a load.
    has_begun: bool,
    /// Replicas that were there before that.
    found: u32,
}

impl Load {
    /// Starts from the replicas that are there, as no load was seen yet.
    ///
    /// Starting from none would let nearly all of them go, right before the
    /// traffic for which they were bought.
    pub fn open(now: u64, found: u32) -> Load {
        let mut load = Load {
            sent: Vec::new(),
            at: now,
            recent: 0.0,
            peak: 0.0,
            since: now,
            has_begun: false,
            found: 0,
        };
        load.find(found);
        load
    }

    /// Takes the number of replicas that are there and were not ordered by
    /// this policy. It counts until there is a load: at the start they
    /// announce themselves one after the other.
    pub fn find(&mut self, found: u32) {
        if !self.has_begun {
            self.found = self.found.max(found);
            self.peak = self.peak.max(found as f32 * FOUND * READING);
        }
    }

    /// Takes what each node has sent since its start, in ms.
    pub fn note(&mut self, now: u64, sent: Vec<(u64, u64)>) {
        let passed = now.saturating_sub(self.at).max(1) as f32;
        let new: u64 = sent
            .iter()
            .map(|(node, ms)| {
                let known = self.sent.iter().find(|(old, _)| old == node);
                // What a node sent before it was first heard is no load of
                // this moment.
                known.map_or(0, |(_, old)| ms.saturating_sub(*old))
            })
            .sum();
        let share = 1.0 - (-passed / RECENT_MS).exp();
        self.recent += (new as f32 / passed - self.recent) * share;
        self.has_begun |= self.recent > BUSY;
        if self.has_begun {
            let kept = (-passed / FORGET_MS * std::f32::consts::LN_2).exp();
            self.peak = (self.peak * kept).max(self.recent);
        }
        self.sent = sent;
        self.at = now;
    }

    /// The peak that is still remembered, in replicas that only read.
    pub fn peak(&self) -> f32 {
        self.peak
    }

    /// True when it has been watched for long enough to let replicas go.
    fn is_known(&self) -> bool {
        self.at >= self.since + WATCH_MS
    }

    /// True while requests come in.
    pub fn is_busy(&self) -> bool {
        self.recent > BUSY
    }
}

/// How many replicas the operators had sized the deployment to, by what a
/// node sees that begins to watch.
///
/// At the start these are the ordinary ones. One that starts later sees the
/// reclaimable ones that were ordered for them.
pub fn found(ordinary: usize, spot: usize, sites: usize) -> u32 {
    let after_a_loss = (spot * sites.saturating_sub(1)) / sites.max(1);
    let sized = (after_a_loss as f32 / KEPT) as u32;
    sized.max(ordinary as u32)
}

/// What each data centre should have, in the order of `sites`.
pub fn wishes(sites: &[Site], bounds: &Bounds, load: &Load) -> Vec<Wish> {
    let need = needed(load);
    let count = sites.len().max(1) as u32;
    if !bounds.has_spot {
        let each = need.div_ceil(count).clamp(bounds.least, bounds.most);
        return sites.iter().map(|site| wish(site, 0, each)).collect();
    }
    let left = (count - 1).max(1);
    let kept = (load.found as f32 * KEPT).ceil() as u32;
    let at_ease = (load.peak() / reading(bounds.lag_ms)).ceil() as u32;
    let each = need
        .max(kept)
        .max(at_ease)
        .div_ceil(left)
        .clamp(bounds.least, bounds.most);
    // While reclaimable ones are not to be had: enough for one more loss.
    let total = (need * count).div_ceil(left).min(each * count);
    let spare = each + ((each as f32 * SPARE) as u32).max(1);
    let mut wishes: Vec<Wish> = sites
        .iter()
        .map(|site| {
            // Where some are missing, the load has moved to the others: they
            // keep what they have.
            let missing = sites.iter().any(|other| other.spot < each);
            let keeps = missing || site.spot <= spare || !load.is_known();
            let let_go = if keeps { 0 } else { released(site.spot) };
            let kept = (site.spot - let_go).min(bounds.most);
            // Both kinds share the bound: what is wished beyond it would not
            // be given, and is wished again once ordinary ones have gone.
            let room = bounds.most.saturating_sub(site.ordinary).max(1);
            wish(site, each.min(room).max(kept), 0)
        })
        .collect();
    // What will be there soon, as far as known.
    let coming: u32 = sites
        .iter()
        .map(|site| if site.dry { site.spot.min(each) } else { each })
        .sum();
    let serving: u32 = sites.iter().map(|site| site.spot.min(each)).sum();
    let there: u32 = sites.iter().map(|site| site.ordinary).sum();
    let mut kept = there.min(total.saturating_sub(serving));
    if load.is_busy() {
        kept = kept.max(there.saturating_sub(released(total)));
    }
    let wanted = total.saturating_sub(coming).max(kept);
    spread(wanted, sites, bounds, &mut wishes);
    wishes
}

/// How many of so many replicas may be let go at a time.
fn released(count: u32) -> u32 {
    (count as f32 * RELEASED).ceil() as u32
}

/// The part of its time that a reclaimable replica should spend on reading.
///
/// Those are cheap enough to keep the waits short that late knowledge costs.
/// Ordinary ones that stand in for them are not.
fn reading(lag_ms: f32) -> f32 {
    let blind = (lag_ms / BLIND_MS).min(1.0);
    READING + (READING_BLIND - READING) * blind
}

fn wish(site: &Site, spot: u32, ordinary: u32) -> Wish {
    Wish { data_centre: site.data_centre.clone(), spot, ordinary }
}

/// Spreads ordinary replicas: those that are there stay, new ones go where
/// they are cheapest, one by one in turn.
fn spread(wanted: u32, sites: &[Site], bounds: &Bounds, wishes: &mut [Wish]) {
    let room = |site: &Site| bounds.most.saturating_sub(site.spot);
    let mut left = wanted;
    for (site, wish) in sites.iter().zip(&mut *wishes) {
        wish.ordinary = site.ordinary.min(room(site)).min(left);
        left -= wish.ordinary;
    }
    let mut order: Vec<usize> = (0..sites.len()).collect();
    order.sort_by(|&one, &other| {
        sites[one].price.total_cmp(&sites[other].price)
    });
    while left > 0 {
        let before = left;
        for &at in &order {
            if left > 0 && wishes[at].ordinary < room(&sites[at]) {
                wishes[at].ordinary += 1;
                left -= 1;
            }
        }
        if left == before {
            return;
        }
    }
}

fn needed(load: &Load) -> u32 {
    let cached = load.found as f32 * FOUND_AT_LEAST;
    (load.peak() / READING).max(LEAST).max(cached).ceil() as u32
}
