//! Tests of the membership table with silent, paused, restarted and merely listed peers, and of the choice of
//! links.

use arbutusshelf::{
    membership::{
        links::{FULL_MESH_INSTANCES, LinkEndpoint, PAIRS_BETWEEN_DATA_CENTRES, choose_links},
        table::{Liveness, MemberChange, MemberTable, REMOVE_AFTER, SUSPECT_AFTER},
    },
    peer::frame::{Heartbeat, Hello, PROTOCOL_VERSION},
    store::ListedInstance,
    units::{DataCentre, InstanceId, MonoTime, RunId},
};

fn at(ms: u64) -> MonoTime {
    MonoTime::from(ms * 1_000)
}

fn name(text: &str) -> InstanceId {
    text.parse().expect("a name")
}

fn table() -> MemberTable {
    MemberTable::new(name("own"), RunId::from(1))
}

fn hello(instance: &str, run: u64) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: name(instance),
        run_id: RunId::from(run),
        data_centre: "ost-a".parse().expect("a name"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
    }
}

fn listed(instance: &str, run: u64, leaving: bool) -> ListedInstance {
    let address = "127.0.0.1:1".parse().expect("an address");
    ListedInstance {
        id: name(instance),
        run_id: RunId::from(run),
        data_centre: "ost-a".parse().expect("a name"),
        peer_address: address,
        caller_address: address,
        leaving,
    }
}

/// Sends a heartbeat at `sent` and records the peer's heartbeat `number` that echoes it; returns the number
/// sent.
fn exchange(table: &mut MemberTable, run: u64, sent: MonoTime, number: u64) -> u64 {
    let run = RunId::from(run);
    let heartbeat = table.next_heartbeat(sent, run, Heartbeat::default()).expect("a member");
    table.record_heartbeat(run, Heartbeat { number, echo: heartbeat.number, ..Heartbeat::default() });
    heartbeat.number
}

fn liveness(table: &MemberTable, run: u64, now: MonoTime) -> Option<Liveness> {
    table.find(RunId::from(run)).map(|m| m.liveness(now))
}

#[test]
fn a_listed_instance_is_a_candidate_and_not_live() {
    let mut table = table();
    assert!(!table.update_from_list(at(0), &[listed("own", 1, false), listed("peer", 2, false)]));
    assert_eq!(table.all().count(), 1, "the instance itself is not in the table");
    assert_eq!(liveness(&table, 2, at(0)), Some(Liveness::Unheard));
    assert_eq!(table.without_version(1.into(), at(0)), [name("peer")], "it may be live, so it is waited for");
    assert_eq!(table.never_heard_from(at(0)), []);
    let later = at(0) + REMOVE_AFTER;
    assert_eq!(table.without_version(1.into(), later), []);
    assert_eq!(table.never_heard_from(later), [name("peer")]);
}

#[test]
fn the_list_tells_this_run_to_leave_and_no_earlier_one() {
    assert!(table().update_from_list(at(0), &[listed("own", 1, true)]));
    assert!(!table().update_from_list(at(0), &[listed("own", 99, true)]));
}

#[test]
fn silence_is_suspected_before_it_is_removed() {
    let mut table = table();
    table.accept_hello(at(0), &hello("peer", 2));
    exchange(&mut table, 2, at(100), 1);
    let run = RunId::from(2);
    assert_eq!(table.tick(at(200)), [MemberChange::Live(name("peer"), run)]);
    assert_eq!(table.tick(at(100) + SUSPECT_AFTER), [MemberChange::Silent(name("peer"), run)]);
    assert_eq!(
        table.without_version(5.into(), at(100) + SUSPECT_AFTER),
        [name("peer")],
        "a suspected member is still reported"
    );
    assert_eq!(table.tick(at(100) + REMOVE_AFTER), [MemberChange::Removed(name("peer"), run)]);
    assert_eq!(table.all().count(), 0);
}

#[test]
fn a_silent_run_stays_a_candidate_while_it_is_listed() {
    let mut table = table();
    table.update_from_list(at(0), &[listed("peer", 2, false)]);
    exchange(&mut table, 2, at(100), 1);
    table.tick(at(60_000));
    assert_eq!(liveness(&table, 2, at(60_000)), Some(Liveness::Suspect));
}

#[test]
fn heartbeats_from_before_a_pause_do_not_make_a_peer_live() {
    let mut table = table();
    table.accept_hello(at(0), &hello("peer", 2));
    let echo = exchange(&mut table, 2, at(100), 1);
    // This instance is paused. After it resumes, it reads the heartbeats that the peer sent in the meantime,
    // which all echo the old number.
    let resumed = at(60_000);
    for number in 2..100 {
        table.record_heartbeat(RunId::from(2), Heartbeat { number, echo, ..Heartbeat::default() });
    }
    assert_eq!(liveness(&table, 2, resumed), Some(Liveness::Suspect));
    exchange(&mut table, 2, resumed, 100);
    assert_eq!(liveness(&table, 2, resumed), Some(Liveness::Live));
}

#[test]
fn an_echo_of_a_number_that_was_never_sent_proves_nothing() {
    let mut table = table();
    table.accept_hello(at(0), &hello("peer", 2));
    let heartbeat = Heartbeat { number: 1, echo: 1_000, ..Heartbeat::default() };
    assert_eq!(table.record_heartbeat(RunId::from(2), heartbeat), None);
    assert_eq!(liveness(&table, 2, at(1)), Some(Liveness::Unheard));
}

#[test]
fn a_reused_name_is_another_member() {
    let mut table = table();
    table.accept_hello(at(0), &hello("peer", 2));
    exchange(&mut table, 2, at(100), 1);
    table.accept_hello(at(200), &hello("peer", 3));
    assert_eq!(
        liveness(&table, 3, at(300)),
        Some(Liveness::Unheard),
        "a heartbeat of the old run proves nothing about the new one"
    );
    exchange(&mut table, 3, at(300), 1);
    // The old run resumes after a pause and echoes only an old number.
    table.record_heartbeat(RunId::from(2), Heartbeat { number: 2, echo: 1, ..Heartbeat::default() });
    let now = at(2_200);
    assert_eq!(
        (liveness(&table, 2, now), liveness(&table, 3, now)),
        (Some(Liveness::Suspect), Some(Liveness::Live))
    );
    assert_eq!(table.member_count(now).known, 1, "two runs of one instance count once");
}

#[test]
fn heartbeats_out_of_order_lower_nothing() {
    let mut table = table();
    table.accept_hello(at(0), &hello("peer", 2));
    let run = RunId::from(2);
    table.record_heartbeat(
        run,
        Heartbeat { number: 5, plan_version: 9.into(), leaving: true, ..Heartbeat::default() },
    );
    table.record_heartbeat(run, Heartbeat { number: 4, plan_version: 8.into(), ..Heartbeat::default() });
    table.record_heartbeat(run, Heartbeat { number: 6, plan_version: 7.into(), ..Heartbeat::default() });
    let member = table.find(run).expect("a member");
    assert_eq!(member.last_heartbeat.plan_version, 9.into());
    assert!(member.leaving);
}

#[test]
fn a_hello_of_the_own_run_is_refused() {
    assert!(!table().accept_hello(at(0), &hello("own", 1)));
}

fn endpoints(count: u64, data_centres: u64) -> Vec<LinkEndpoint> {
    let data_centre = |n: u64| format!("dc-{}", n % data_centres).parse::<DataCentre>().expect("a name");
    let run = |n: u64| RunId::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    (1..=count).map(|n| LinkEndpoint { run_id: run(n), data_centre: data_centre(n) }).collect()
}

fn links_of(endpoints: &[LinkEndpoint], own: &LinkEndpoint) -> Vec<RunId> {
    let others = endpoints.iter().filter(|e| *e != own).cloned().collect::<Vec<_>>();
    choose_links(own, &others)
}

#[test]
fn few_instances_link_pair_by_pair() {
    let endpoints = endpoints(FULL_MESH_INSTANCES as u64, 3);
    for own in &endpoints {
        assert_eq!(links_of(&endpoints, own).len(), FULL_MESH_INSTANCES - 1);
    }
}

#[test]
fn many_instances_link_within_a_data_centre_and_by_few_pairs_between() {
    let endpoints = endpoints(48, 12);
    let mut between = 0;
    for own in &endpoints {
        let links = links_of(&endpoints, own);
        for other in endpoints.iter().filter(|e| *e != own) {
            let linked = links.contains(&other.run_id);
            assert!(
                linked || other.data_centre != own.data_centre,
                "instances of one data centre are linked"
            );
            assert_eq!(
                linked,
                links_of(&endpoints, other).contains(&own.run_id),
                "both ends choose the same pairs"
            );
            between += usize::from(linked && other.data_centre != own.data_centre);
        }
    }
    assert_eq!(between, 2 * PAIRS_BETWEEN_DATA_CENTRES * (12 * 11 / 2));
}

/// Returns the number of instances that are connected to the first one, directly or through others.
fn connected(endpoints: &[LinkEndpoint]) -> usize {
    let mut known = vec![endpoints[0].run_id];
    let mut next = 0;
    while next < known.len() {
        let own = endpoints.iter().find(|e| e.run_id == known[next]).expect("a known endpoint");
        for run in links_of(endpoints, own) {
            if !known.contains(&run) {
                known.push(run);
            }
        }
        next += 1;
    }
    known.len()
}

#[test]
fn the_loss_of_any_data_centre_leaves_the_rest_connected() {
    let all = endpoints(48, 12);
    assert_eq!(connected(&all), 48);
    for lost in 0..12 {
        let lost = format!("dc-{lost}").parse::<DataCentre>().expect("a name");
        let rest = all.iter().filter(|e| e.data_centre != lost).cloned().collect::<Vec<_>>();
        assert_eq!(connected(&rest), rest.len(), "without {lost}");
    }
}

#[test]
fn a_lost_instance_moves_only_its_own_pairs() {
    let all = endpoints(48, 12);
    let rest = all[1..].to_vec();
    for own in rest.iter().filter(|e| e.data_centre != all[0].data_centre) {
        let before = links_of(&all, own);
        let after = links_of(&rest, own);
        let dropped = before.iter().filter(|run| !after.contains(run) && **run != all[0].run_id).count();
        assert_eq!(dropped, 0, "{} keeps its other links", own.run_id);
    }
}
