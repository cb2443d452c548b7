//! Tests which nodes take callers' requests, and which replace lost ones.

use azuremount::{
    mesh::role::{Rate, Role, Selector, View},
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
struct DataCentre {
    now: u64,
    nodes: Vec<(Peer, Selector, Role)>,
    rate: u32,
}

impl DataCentre {
    fn open(count: u32, with_disk: u32) -> DataCentre {
        let nodes = (1..=count).map(|ip| {
            let has_disk = ip <= with_disk;
            let peer = Peer { has_disk, ..peer(ip) };
            (peer, Selector::open(), Role::Active)
        });
        DataCentre { now: 0, nodes: nodes.collect(), rate: 0 }
    }

    /// Each node decides by the roles that the others had in the previous
    /// round.
    fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += 300;
            let before = self.nodes.clone();
            for (me, selector, role) in &mut self.nodes {
                let near = before
                    .iter()
                    .filter(|(peer, _, role)| {
                        peer.ip != me.ip && *role == Role::Active
                    })
                    .map(|(peer, ..)| peer);
                let view = View {
                    near: near.collect(),
                    rate: self.rate,
                    serving: 300,
                    data_centres: 6,
                };
                *role = selector.update(self.now, me, &view);
            }
        }
    }

    fn active(&self) -> Vec<&Peer> {
        let active = self.nodes.iter();
        active
            .filter(|node| node.2 == Role::Active)
            .map(|node| &node.0)
            .collect()
    }
}

/// Guards against handing out all of three hundred nodes. Each would route
/// four requests a second and learn of the others' requests seconds late.
#[test]
fn a_few_nodes_of_fifty_are_active() {
    let mut data_centre = DataCentre::open(50, 2);
    data_centre.run(6000);
    assert_eq!(data_centre.active().len(), 6, "32 over six data centres");
    assert!(data_centre.active().iter().all(|node| !node.has_disk));
    data_centre.run(30_000);
    assert_eq!(data_centre.active().len(), 6, "the number stays the same");
}

/// Guards against callers that wait at six nodes while forty-four are idle,
/// when the callers of all data centres move to one.
#[test]
fn more_are_active_where_there_are_more_requests() {
    let mut data_centre = DataCentre::open(50, 2);
    data_centre.run(6000);
    data_centre.rate = 600;
    data_centre.run(6000);
    let active = data_centre.active().len();
    assert!((15..=20).contains(&active), "{active} for 600 requests/s");
    data_centre.rate = 100;
    data_centre.run(6000);
    assert_eq!(data_centre.active().len(), 6);
}

/// Guards against a data centre that is left with one node for its callers
/// after five of six active nodes lose power at once.
#[test]
fn standby_nodes_replace_lost_nodes() {
    let mut data_centre = DataCentre::open(50, 2);
    data_centre.run(6000);
    let lost: Vec<u32> =
        data_centre.active().iter().take(5).map(|node| node.ip).collect();
    data_centre.nodes.retain(|(peer, ..)| !lost.contains(&peer.ip));
    data_centre.run(3600);
    let active = data_centre.active().len();
    assert!((6..=12).contains(&active), "{active} active");
    data_centre.run(6000);
    assert_eq!(data_centre.active().len(), 6, "excess nodes are on standby");
}

/// A node that is no longer active goes on reporting its load for as long as
/// callers may keep its address.
#[test]
fn a_node_in_excess_drains_first() {
    let near: Vec<Peer> = (100..160).map(peer).collect();
    let view = view_of(&near, 300);
    let me = Peer { has_disk: true, rate: 5, ..peer(1) };
    let mut selector = Selector::open();
    let mut roles: Vec<(u64, Role)> = Vec::new();
    for now in (0..20_000).step_by(300) {
        let role = selector.update(now, &me, &view);
        if roles.last().is_none_or(|(_, last)| *last != role) {
            roles.push((now, role));
        }
    }
    let [
        (_, Role::Active),
        (draining_at, Role::Draining),
        (standby_at, Role::Standby),
    ] = roles[..]
    else {
        panic!("{roles:?}");
    };
    assert!(
        (3000..4000).contains(&draining_at),
        "draining after {draining_at} ms"
    );
    assert!(
        standby_at >= draining_at + 10_000,
        "on standby after {standby_at} ms"
    );
}

/// Guards against two hundred nodes that have just started and report to each
/// other for ten seconds although they have no requests.
#[test]
fn a_node_without_requests_becomes_standby_at_once() {
    let near: Vec<Peer> = (100..160).map(peer).collect();
    let view = view_of(&near, 300);
    let me = Peer { has_disk: true, ..peer(1) };
    let mut selector = Selector::open();
    for now in (0..3000).step_by(300) {
        assert_eq!(selector.update(now, &me, &view), Role::Active);
    }
    assert_eq!(selector.update(3000, &me, &view), Role::Standby);
}

/// Up to two dozen nodes are all active, because each is a large part of the
/// capacity.
#[test]
fn all_of_ten_nodes_are_active() {
    let near: Vec<Peer> = (2..11).map(peer).collect();
    let view = view_of(&near, 10);
    let mut selector = Selector::open();
    for now in (0..20_000).step_by(300) {
        let role = selector.update(now, &peer(1), &view);
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
        known = rate.update(now, begun);
    }
    assert!((35..=41).contains(&known), "{known} of 40");
    for now in (3100..=8000).step_by(100) {
        known = rate.update(now, begun);
    }
    assert!(known >= 25, "{known} five seconds later");
}
