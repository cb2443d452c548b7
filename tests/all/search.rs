//! The order in which a call asks the control members, in virtual time.

use std::net::{Ipv4Addr, SocketAddr};

use azuremount::control::search::{Connection, RETRY_INTERVAL_MS, Search};

/// Time without an answer after which another member is asked, in ms.
const HEDGE_DELAY_MS: u64 = 200;

fn member(at: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, at), 7600).into()
}

/// Returns a search among four members that begins with the second one, on
/// the connection kept from former calls if `is_kept` is set.
fn open(is_kept: bool) -> Search {
    let members: Vec<SocketAddr> = (1..=4).map(member).collect();
    let mut search = Search::open(member(2), is_kept, HEDGE_DELAY_MS);
    search.add_members(&members);
    search
}

/// Asks whenever a member may be asked, until `end`. Each member refuses at
/// once and names `leader`, except for those that are silent. Returns whom was
/// asked when.
fn run(
    search: &mut Search,
    end: u64,
    leader: Option<SocketAddr>,
    is_silent: impl Fn(SocketAddr, Connection) -> bool,
) -> Vec<(u64, SocketAddr, Connection)> {
    let mut asked = Vec::new();
    for now in 0..end {
        let Some((address, connection)) = search.ask(now) else { continue };
        asked.push((now, address, connection));
        if !is_silent(address, connection) {
            search.record_end(now, address, connection, leader);
        }
    }
    asked
}

/// Guards against a read that ends although members that have refused could
/// serve it: each of them is asked again while another one is silent.
#[test]
fn members_that_refuse_are_asked_again_while_one_is_silent() {
    let silent = member(2);
    let mut search = open(true);
    let asked = run(&mut search, 1000, None, |address, _| address == silent);
    for at in [1, 3, 4] {
        let times = asked.iter().filter(|(_, to, _)| *to == member(at));
        assert!(times.count() >= 4, "member {at}: {asked:?}");
    }
    for connection in [Connection::Kept, Connection::New] {
        let to_silent = asked
            .iter()
            .filter(|(_, to, on)| (*to, *on) == (silent, connection));
        assert_eq!(to_silent.count(), 1, "{connection:?}: {asked:?}");
    }
}

/// Guards against a leader that is out of reach because the connection to it
/// is silent for good.
#[test]
fn a_leader_that_is_named_is_asked_on_a_new_connection() {
    let mut search = open(true);
    let leader = member(2);
    let asked = run(&mut search, 300, Some(leader), |_, connection| {
        connection == Connection::Kept
    });
    let expected = [
        (0, leader, Connection::Kept),
        (HEDGE_DELAY_MS, member(3), Connection::New),
        (HEDGE_DELAY_MS, leader, Connection::New),
    ];
    assert_eq!(asked[..2], expected[..2]);
    assert_eq!(asked[2].1, expected[2].1, "{asked:?}");
    assert!(asked[2].0 <= HEDGE_DELAY_MS + 1, "{asked:?}");
}

/// Guards against a busy leader that gets all calls twice: while its
/// connection carries answers to other calls, no other member is asked.
#[test]
fn no_other_member_is_asked_while_the_kept_connection_carries_answers() {
    let mut search = open(true);
    let mut asked = Vec::new();
    for now in 0..1000 {
        if now % 100 == 0 {
            search.record_heard(now);
        }
        asked.extend(search.ask(now));
    }
    assert_eq!(asked, [(member(2), Connection::Kept)]);
}

/// Guards against members that are asked without a pause while none of them
/// leads.
#[test]
fn refusals_are_followed_by_a_pause() {
    let mut search = open(false);
    let asked = run(&mut search, 1000, None, |_, _| false);
    let most = 1000 / RETRY_INTERVAL_MS as usize + 1;
    assert!(asked.len() <= most, "{} attempts", asked.len());
    assert!(asked.len() >= most / 2, "{} attempts", asked.len());
}

/// Guards against a leader that is asked too late on a new connection because
/// several other members are silent as well.
#[test]
fn the_first_member_is_asked_anew_before_all_others_were_silent() {
    let members: Vec<SocketAddr> = (1..=7).map(member).collect();
    let mut search = Search::open(member(1), true, HEDGE_DELAY_MS);
    search.add_members(&members);
    let asked = run(&mut search, 800, None, |_, _| true);
    let anew = asked
        .iter()
        .find(|(_, to, on)| (*to, *on) == (member(1), Connection::New));
    assert!(anew.is_some(), "{asked:?}");
}
