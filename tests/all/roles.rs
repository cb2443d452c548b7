//! Tests which nodes take callers' requests, and which replace lost ones.

use azuremount::{
    mesh::role::{Keeper, Rate, Role, View},
    wire::Peer,
};

fn peer(ip: u32) -> Peer {
    Peer { ip, serving: true, ..Peer::default() }
}

/// Returns the view of a node with the active nodes `near` it, where `serving`
/// nodes serve in six data centres.
fn view_of(near: &[Peer], serving: usize) -> View<'_> {
    View { near: near.iter().collect(), rate: 0, serving, data_centres: 6 }
}

/// The nodes of one data centre that hear each other, with a role each.
struct Site {
    now: u64,
    keepers: Vec<(Peer, Keeper, Role)>,
    rate: u32,
}

impl Site {
    fn open(nodes: u32, with_disk: u32) -> Site {
        let keepers = (1..=nodes).map(|ip| {
            let has_disk = ip <= with_disk;
            let says = Peer { has_disk, ..peer(ip) };
            (says, Keeper::open(), Role::Active)
        });
        Site { now: 0, keepers: keepers.collect(), rate: 0 }
    }

    /// Each node decides by the roles that the others had in the previous
    /// round.
    fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += 300;
            let before = self.keepers.clone();
            for (me, keeper, role) in &mut self.keepers {
                let near = before
                    .iter()
                    .filter(|(says, _, role)| {
                        says.ip != me.ip && *role == Role::Active
                    })
                    .map(|(says, ..)| says);
                let view = View {
                    near: near.collect(),
                    rate: self.rate,
                    serving: 300,
                    data_centres: 6,
                };
                *role = keeper.review(self.now, me, &view);
            }
        }
    }

    fn active(&self) -> Vec<&Peer> {
        let active = self.keepers.iter();
        active.filter(|one| one.2 == Role::Active).map(|one| &one.0).collect()
    }
}

/// Guards against handing out all of three hundred nodes. Each would route
/// four requests a second and learn of the others' requests seconds late.
#[test]
fn a_few_nodes_of_fifty_are_active() {
    let mut site = Site::open(50, 2);
    site.run(6000);
    assert_eq!(site.active().len(), 6, "32 over six data centres");
    assert!(site.active().iter().all(|one| !one.has_disk));
    site.run(30_000);
    assert_eq!(site.active().len(), 6, "and it stays so");
}

/// Guards against callers that wait at six nodes while forty-four are idle,
/// when the callers of all data centres move to one.
#[test]
fn more_are_active_where_there_are_more_requests() {
    let mut site = Site::open(50, 2);
    site.run(6000);
    site.rate = 600;
    site.run(6000);
    let active = site.active().len();
    assert!((15..=20).contains(&active), "{active} for 600 requests/s");
    site.rate = 100;
    site.run(6000);
    assert_eq!(site.active().len(), 6);
}

/// Guards against a data centre that is left with one node for its callers
/// after five of six active nodes lose power at once.
#[test]
fn standbys_take_over_from_nodes_that_are_lost() {
    let mut site = Site::open(50, 2);
    site.run(6000);
    let lost: Vec<u32> =
        site.active().iter().take(5).map(|one| one.ip).collect();
    site.keepers.retain(|(says, ..)| !lost.contains(&says.ip));
    site.run(3600);
    let active = site.active().len();
    assert!((6..=12).contains(&active), "{active} active");
    site.run(6000);
    assert_eq!(site.active().len(), 6, "those too many have stepped back");
}

/// A node that is no longer active goes on reporting its load for as long as
/// callers may keep its address.
#[test]
fn a_node_that_steps_back_drains_first() {
    let near: Vec<Peer> = (100..160).map(peer).collect();
    let view = view_of(&near, 300);
    let me = Peer { has_disk: true, rate: 5, ..peer(1) };
    let mut keeper = Keeper::open();
    let mut roles: Vec<(u64, Role)> = Vec::new();
    for now in (0..20_000).step_by(300) {
        let role = keeper.review(now, &me, &view);
        if roles.last().is_none_or(|(_, last)| *last != role) {
            roles.push((now, role));
        }
    }
    let [(_, Role::Active), (drains, Role::Draining), (ends, Role::Standby)] =
        roles[..]
    else {
        panic!("{roles:?}");
    };
    assert!((3000..4000).contains(&drains), "stepped back after {drains}");
    assert!(ends >= drains + 10_000, "stood by after {ends}");
}

/// Guards against two hundred nodes that have just started and report to each
/// other for ten seconds although they have no requests.
#[test]
fn a_node_without_requests_stands_by_at_once() {
    let near: Vec<Peer> = (100..160).map(peer).collect();
    let view = view_of(&near, 300);
    let me = Peer { has_disk: true, ..peer(1) };
    let mut keeper = Keeper::open();
    for now in (0..3000).step_by(300) {
        assert_eq!(keeper.review(now, &me, &view), Role::Active);
    }
    assert_eq!(keeper.review(3000, &me, &view), Role::Standby);
}

/// Up to two dozen nodes are all active, because each is a large part of the
/// capacity.
#[test]
fn all_of_ten_nodes_are_active() {
    let near: Vec<Peer> = (2..11).map(peer).collect();
    let view = view_of(&near, 10);
    let mut keeper = Keeper::open();
    for now in (0..20_000).step_by(300) {
        let role = keeper.review(now, &peer(1), &view);
        assert_eq!(role, Role::Active);
    }
}

/// The rate follows a peak within seconds and falls slowly, so that the next
/// peak finds as many nodes as the last one needed.
#[test]
fn the_rate_rises_fast_and_falls_slowly() {
    let mut rate = Rate::default();
    let mut begun = 0;
    let mut known = 0;
    for now in (100..=3000).step_by(100) {
        begun += 4;
        known = rate.note(now, begun);
    }
    assert!((35..=41).contains(&known), "{known} of 40");
    for now in (3100..=8000).step_by(100) {
        known = rate.note(now, begun);
    }
    assert!(known >= 25, "{known} five seconds later");
}
