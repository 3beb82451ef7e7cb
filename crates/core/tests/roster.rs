//! Updates of the list of upstreams between instances.

use {
    googletest::prelude::*,
    wellplank_core::{
        availability::Span,
        clock::Time,
        event::{ListDelta, ListEntry},
        position::Position,
        roster::{Change, Entry, Roster, RosterUpdate, UpdateOutcome},
    },
};

/// Time of all events.
const NOW: Time = Time(1_000_000);

/// A revision of a store that was never restored.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// An update with one change at revision `to`, which follows `from`.
fn update(from: u64, to: u64) -> RosterUpdate {
    let (from, to) = (at(from), at(to));
    let name = format!("engine-{}", to.revision);
    let listed = ListEntry {
        address: format!("10.0.0.1:{}", to.revision).parse().unwrap(),
        born: 0,
        data_centre: "hall".into(),
        leaving: false,
        name: name.clone(),
        pool: "engines".into(),
        registered_at: to,
        slots: 8,
        version: String::new(),
    };
    RosterUpdate {
        changes: vec![Change {
            entry: Entry::Listed(listed),
            name,
            position: to,
        }],
        from,
        grace_ms: 0,
        is_grace_extended: false,
        outage_ms: 0,
        to,
        uptime_ms: 0,
    }
}

fn names(roster: &Roster) -> Vec<String> {
    let mut names: Vec<String> = roster
        .listed()
        .into_iter()
        .map(|entry| entry.name)
        .collect();
    names.sort();
    names
}

#[gtest]
fn update_in_sequence_is_applied() {
    let mut roster = Roster::default();
    expect_that!(
        roster.apply_update(&update(1, 2), at(1), NOW),
        eq(UpdateOutcome::Applied)
    );
    expect_that!(names(&roster), elements_are![eq("engine-2")]);
}

#[gtest]
fn update_after_a_missed_change_is_a_gap_and_changes_nothing() {
    let mut roster = Roster::default();
    expect_that!(
        roster.apply_update(&update(2, 3), at(1), NOW),
        eq(UpdateOutcome::Gap)
    );
    expect_that!(names(&roster), is_empty());
}

#[gtest]
fn update_of_known_changes_is_stale() {
    let mut roster = Roster::default();
    expect_that!(
        roster.apply_update(&update(1, 2), at(5), NOW),
        eq(UpdateOutcome::Stale)
    );
}

#[gtest]
fn updates_that_arrive_early_are_applied_in_sequence() {
    let mut roster = Roster::default();
    let mut early_updates = vec![update(3, 4), update(2, 3), update(8, 9)];
    expect_that!(
        roster.apply_update(&update(1, 2), at(1), NOW),
        eq(UpdateOutcome::Applied)
    );
    expect_that!(roster.catch_up(at(2), &mut early_updates, NOW), eq(at(4)));
    expect_that!(early_updates.len(), eq(1));
    expect_that!(
        names(&roster),
        elements_are![eq("engine-2"), eq("engine-3"), eq("engine-4")]
    );
}

#[gtest]
fn first_word_tells_only_up_to_where_the_list_is_known() {
    let mut roster = Roster::default();
    roster.set_announced(at(7));
    let updates = roster.pending_updates(at(9), 0, NOW);
    expect_that!(updates.len(), eq(1));
    expect_that!((updates[0].from, updates[0].to), eq((at(7), at(9))));
    let next = roster.pending_updates(at(12), 0, NOW);
    expect_that!((next[0].from, next[0].to), eq((at(9), at(12))));
}

/// An update that an entry was deleted, from an instance that the store refused until now.
fn deleted(from: u64, to: u64, name: &str) -> RosterUpdate {
    RosterUpdate {
        changes: vec![Change {
            entry: Entry::Deleted,
            name: name.into(),
            position: at(to),
        }],
        from: at(from),
        grace_ms: 2_000,
        is_grace_extended: false,
        outage_ms: 3_000,
        to: at(to),
        uptime_ms: 0,
    }
}

#[gtest]
fn deleted_entry_has_no_grace_period_if_the_store_answers_here_and_refused_only_the_sender() {
    let mut roster = Roster::default();
    roster.apply_update(&update(1, 2), at(1), NOW);
    roster.apply_update(&deleted(2, 3, "engine-2"), at(2), NOW);
    expect_that!(names(&roster), is_empty());
}

#[gtest]
fn deleted_entry_has_a_grace_period_if_the_store_is_down_here_too() {
    let mut roster = Roster::default();
    roster.apply_update(&update(1, 2), at(1), NOW);
    roster.is_store_down = true;
    roster.apply_update(&deleted(2, 3, "engine-2"), at(2), NOW);
    expect_that!(names(&roster), elements_are![eq("engine-2")]);
}

/// An update that an entry was written which names no usable upstream.
fn invalid(from: u64, to: u64, name: &str) -> RosterUpdate {
    let mut update = deleted(from, to, name);
    update.changes[0].entry = Entry::Invalid;
    update
}

#[gtest]
fn invalid_entry_removes_the_upstream_of_its_name_and_no_other() {
    let mut roster = Roster::default();
    roster.apply_update(&update(1, 2), at(1), NOW);
    roster.apply_update(&update(2, 3), at(2), NOW);
    // Also in the grace period of missing entries: the entry was written, so the store was up.
    roster.is_store_down = true;
    roster.apply_update(&invalid(3, 4, "engine-2"), at(3), NOW);
    expect_that!(names(&roster), elements_are![eq("engine-3")]);
}

#[gtest]
fn valid_entry_after_an_invalid_one_restores_its_upstream() {
    let mut roster = Roster::default();
    roster.apply_update(&update(1, 2), at(1), NOW);
    roster.apply_update(&invalid(2, 3, "engine-2"), at(2), NOW);
    let mut good = update(3, 4);
    good.changes[0].name = "engine-2".into();
    roster.apply_update(&good, at(3), NOW);
    expect_that!(roster.listed().len(), eq(1));
}

#[gtest]
fn invalid_entries_are_announced() {
    let mut roster = Roster::default();
    roster.set_announced(at(1));
    roster.apply_changes(invalid(1, 2, "engine-2").changes, None, NOW);
    let updates = roster.pending_updates(at(2), 0, NOW);
    expect_that!(updates[0].changes[0].entry, eq(&Entry::Invalid));
}

/// Full list of a store in some era: one upstream, ready or leaving, as written at a revision.
fn listed(era: u64, revision: u64, leaving: bool) -> Vec<Change> {
    let mut changes = update(0, 2).changes;
    changes[0].position = Position::new(era, revision);
    if let Entry::Listed(listed) = &mut changes[0].entry {
        listed.leaving = leaving;
    }
    changes
}

/// Whether the only upstream is leaving; `None` if none is listed.
fn is_leaving(roster: &Roster) -> Option<bool> {
    roster.listed().first().map(|listed| listed.leaving)
}

#[gtest]
fn leaving_incarnation_stays_leaving_in_an_older_backup_for_a_limited_time() {
    let mut roster = Roster::default();
    roster.replace_all(&listed(1, 900, true), Position::new(1, 901), None, NOW);
    let backup = listed(2, 800, false);
    roster.replace_all(&backup, Position::new(2, 801), None, NOW);
    expect_that!(is_leaving(&roster), some(eq(true)));
    let later = NOW.after(600_000);
    roster.replace_all(&backup, Position::new(2, 801), None, later);
    expect_that!(is_leaving(&roster), some(eq(false)));
}

#[gtest]
fn deleted_incarnation_returns_only_if_it_wrote_since() {
    let mut roster = Roster::default();
    roster.replace_all(&listed(1, 700, false), Position::new(1, 701), None, NOW);
    let mut deleted = deleted(0, 900, "engine-2").changes;
    deleted[0].position = Position::new(1, 900);
    roster.apply_changes(deleted, None, NOW);
    expect_that!(is_leaving(&roster), none());
    roster.replace_all(&listed(2, 700, false), Position::new(2, 801), None, NOW);
    expect_that!(is_leaving(&roster), none());
    roster.apply_changes(listed(2, 901, false), None, NOW);
    expect_that!(is_leaving(&roster), some(eq(false)));
}

/// An incarnation missing from a full list had departed by the list's position, which may be later than the last known
/// change.
#[gtest]
fn incarnation_missing_from_a_full_list_does_not_return_in_an_older_backup() {
    let mut roster = Roster::default();
    roster.replace_all(&listed(1, 700, false), Position::new(1, 701), None, NOW);
    roster.replace_all(&[], Position::new(1, 900), None, NOW);
    roster.replace_all(&listed(2, 850, false), Position::new(2, 860), None, NOW);
    expect_that!(is_leaving(&roster), none());
}

/// The store was down again soon and upstreams could not register meanwhile: an instance that learns of it from an update
/// must extend the grace period like the one that saw it.
#[gtest]
fn extended_grace_period_is_taken_from_updates() {
    let mut roster = Roster::default();
    roster.is_store_down = true;
    let mut first = update(1, 2);
    (first.outage_ms, first.grace_ms) = (3_000, 1_200);
    roster.apply_update(&first, at(1), NOW);
    let mut second = deleted(2, 3, "engine-2");
    (second.outage_ms, second.grace_ms, second.is_grace_extended) = (3_000, 2_000, true);
    roster.apply_update(&second, at(2), NOW);
    expect_that!(roster.grace_ms(NOW), eq(2_000));
    expect_that!(names(&roster), elements_are![eq("engine-2")]);
}

/// A roster that has read the list up to revision 3, and announced it to its peers.
fn announced() -> Roster {
    let mut roster = Roster::default();
    let entries: Vec<Change> = (1..=3).flat_map(|to| update(0, to).changes).collect();
    roster.replace_all(&entries, at(3), None, NOW);
    roster.set_announced(at(3));
    roster
}

/// Guards against a storm of reads: each time that the store compacted its history, the watcher read the list whole and told
/// its peers of none of the changes, and each of hundreds of these read the list whole too.
#[gtest]
fn peers_are_told_what_a_list_that_was_read_again_has_that_they_lack() {
    let mut watcher = announced();
    let mut follower = announced();
    let entries: Vec<Change> = [2, 3, 5]
        .into_iter()
        .flat_map(|to| update(0, to).changes)
        .collect();
    watcher.replace_all(&entries, at(9), None, NOW);
    let updates = watcher.pending_updates(at(9), 0, NOW);
    let mut known = at(3);
    for update in &updates {
        expect_that!(
            follower.apply_update(update, known, NOW),
            eq(UpdateOutcome::Applied)
        );
        known = update.to;
    }
    expect_that!(known, eq(at(9)));
    expect_that!(names(&follower), eq(&names(&watcher)));
    let changes: usize = updates.iter().map(|update| update.changes.len()).sum();
    expect_that!(changes, eq(2));
}

#[gtest]
fn peers_of_an_earlier_era_read_the_list_themselves() {
    let mut watcher = announced();
    watcher.replace_all(&[], Position::new(1, 2), None, NOW);
    let updates = watcher.pending_updates(Position::new(1, 2), 0, NOW);
    expect_that!(updates.len(), eq(1));
    expect_that!(updates[0].from, eq(Position::new(1, 2)));
}

#[gtest]
fn delta_names_only_what_changed_since_the_one_before() {
    let mut roster = announced();
    expect_that!(roster.take_delta().listed.len(), eq(3));
    expect_that!(roster.take_delta(), eq(&ListDelta::default()));
    roster.apply_update(&update(3, 4), at(3), NOW);
    roster.apply_update(&deleted(4, 5, "engine-1"), at(4), NOW);
    let delta = roster.take_delta();
    expect_that!(delta.listed.len(), eq(1));
    expect_that!(delta.removed, elements_are![eq("engine-1")]);
}

#[gtest]
fn changes_since_a_position_are_known_as_far_as_they_are_kept() {
    let mut roster = announced();
    roster.apply_update(&update(3, 4), at(3), NOW);
    roster.apply_update(&update(4, 5), at(4), NOW);
    let count = |position| roster.changes_since(position).map(|changes| changes.len());
    expect_that!(count(at(2)), none());
    expect_that!(count(at(3)), some(eq(2)));
    expect_that!(count(at(4)), some(eq(1)));
    expect_that!(count(Position::new(1, 4)), none());
}

/// A change at revision `to` that an upstream started at `born` wrote; 0 if the entry does not say when it started.
fn written(from: u64, to: u64, born: u64) -> RosterUpdate {
    let mut update = update(from, to);
    let change = &mut update.changes[0];
    change.name = "engine".into();
    if let Entry::Listed(listed) = &mut change.entry {
        listed.name = "engine".into();
        listed.born = born;
    }
    update
}

/// Guards against an entry of another writer that lacks the start time and counts as a restart of the upstream.
#[gtest]
fn entry_without_a_start_time_names_no_upstream_where_one_with_it_has_written() {
    let mut roster = Roster::default();
    let mut names_after = |from: u64, born: u64| {
        roster.apply_update(&written(from, from + 1, born), at(from), NOW);
        let born = roster.listed().into_iter().map(|entry| entry.born);
        born.collect::<Vec<u64>>()
    };
    let nobody: Vec<u64> = Vec::new();
    expect_that!(
        names_after(1, 0),
        eq(&vec![0]),
        "it never states a start time"
    );
    expect_that!(names_after(2, 7), eq(&vec![7]));
    expect_that!(names_after(3, 0), eq(&nobody), "over its entry");
    expect_that!(names_after(4, 0), eq(&nobody), "once more");
    expect_that!(names_after(5, 7), eq(&vec![7]), "its own entry again");
    expect_that!(names_after(6, 8), eq(&vec![8]), "its next life");
}

/// Guards against a former life in an older copy of the store that counts as another writer's since it states no start time: the
/// upstream has written since, and its entry may just be missing.
#[gtest]
fn former_life_in_an_older_copy_takes_the_known_one_away_only_as_a_missing_entry() {
    let mut roster = Roster::default();
    roster.apply_update(&written(5, 6, 7), at(5), NOW);
    let mut restored = written(2, 3, 0).changes;
    restored[0].position = Position::new(1, 3);
    let outage = Span {
        from: Time(NOW.0 - 1_000),
        to: Time(NOW.0 - 100),
    };
    roster.apply_changes(restored, Some(outage), NOW);
    expect_that!(names(&roster), elements_are![eq("engine")]);
    expect_that!(roster.has_missing(), eq(true));
}

/// Guards against a name that can never be used again by an upstream that states no start time.
#[gtest]
fn name_whose_entry_was_deleted_may_be_used_without_a_start_time() {
    let mut roster = Roster::default();
    roster.apply_update(&written(1, 2, 7), at(1), NOW);
    roster.apply_update(&deleted(2, 3, "engine"), at(2), NOW);
    roster.apply_update(&written(3, 4, 0), at(3), NOW);
    expect_that!(names(&roster), elements_are![eq("engine")]);
}
