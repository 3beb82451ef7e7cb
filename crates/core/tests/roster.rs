//! What instances tell each other of the list of upstreams.

use {
    googletest::prelude::*,
    wellplank_core::{
        clock::Time,
        event::ListEntry,
        position::Position,
        roster::{Change, Entry, Roster, Word, Worth},
    },
};

/// When everything happens.
const NOW: Time = Time(1_000_000);

/// A revision of a store that never came back from a copy.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// Word of one change at a revision, behind an earlier one.
fn word(from: u64, to: u64) -> Word {
    let (from, to) = (at(from), at(to));
    let name = format!("engine-{}", to.revision);
    let listed = ListEntry {
        address: format!("10.0.0.1:{}", to.revision).parse().unwrap(),
        born: 0,
        data_centre: "hall".into(),
        leaving: false,
        name: name.clone(),
        pool: "engines".into(),
        since: to,
        slots: 8,
        version: String::new(),
    };
    Word {
        away_ms: 0,
        changes: vec![Change {
            entry: Entry::Listed(listed),
            name,
            position: to,
        }],
        from,
        held: false,
        returning_ms: 0,
        steady_ms: 0,
        to,
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
fn word_that_follows_what_is_known_is_taken_in() {
    let mut roster = Roster::default();
    expect_that!(roster.hear(&word(1, 2), at(1), NOW), eq(Worth::Fresh));
    expect_that!(names(&roster), elements_are![eq("engine-2")]);
}

#[gtest]
fn word_that_misses_a_change_is_a_gap_and_changes_nothing() {
    let mut roster = Roster::default();
    expect_that!(roster.hear(&word(2, 3), at(1), NOW), eq(Worth::Gap));
    expect_that!(names(&roster), is_empty());
}

#[gtest]
fn word_of_what_is_known_is_old() {
    let mut roster = Roster::default();
    expect_that!(roster.hear(&word(1, 2), at(5), NOW), eq(Worth::Old));
}

#[gtest]
fn words_that_overtook_others_are_taken_in_after_these() {
    let mut roster = Roster::default();
    let mut early = vec![word(3, 4), word(2, 3), word(8, 9)];
    expect_that!(roster.hear(&word(1, 2), at(1), NOW), eq(Worth::Fresh));
    expect_that!(roster.catch_up(at(2), &mut early, NOW), eq(at(4)));
    expect_that!(early.len(), eq(1));
    expect_that!(
        names(&roster),
        elements_are![eq("engine-2"), eq("engine-3"), eq("engine-4")]
    );
}

#[gtest]
fn first_word_tells_only_up_to_where_the_list_is_known() {
    let mut roster = Roster::default();
    roster.tell_from(at(7));
    let told = roster.words(at(9), 0, NOW);
    expect_that!(told.len(), eq(1));
    expect_that!((told[0].from, told[0].to), eq((at(7), at(9))));
    let next = roster.words(at(12), 0, NOW);
    expect_that!((next[0].from, next[0].to), eq((at(9), at(12))));
}

/// Word from one that the store refused until now that an entry is gone.
fn gone(from: u64, to: u64, name: &str) -> Word {
    Word {
        away_ms: 3_000,
        changes: vec![Change {
            entry: Entry::Gone,
            name: name.into(),
            position: at(to),
        }],
        from: at(from),
        held: false,
        returning_ms: 2_000,
        steady_ms: 0,
        to: at(to),
    }
}

#[gtest]
fn entry_that_goes_while_the_store_answers_here_is_gone_though_it_refused_the_teller() {
    let mut roster = Roster::default();
    roster.hear(&word(1, 2), at(1), NOW);
    roster.hear(&gone(2, 3, "engine-2"), at(2), NOW);
    expect_that!(names(&roster), is_empty());
}

#[gtest]
fn entry_that_goes_while_the_store_is_away_here_too_is_believed_for_a_while() {
    let mut roster = Roster::default();
    roster.hear(&word(1, 2), at(1), NOW);
    roster.away = true;
    roster.hear(&gone(2, 3, "engine-2"), at(2), NOW);
    expect_that!(names(&roster), elements_are![eq("engine-2")]);
}

/// Word that an entry was written which names no upstream to use.
fn odd(from: u64, to: u64, name: &str) -> Word {
    let mut word = gone(from, to, name);
    word.changes[0].entry = Entry::Odd;
    word
}

#[gtest]
fn entry_that_names_no_upstream_takes_the_one_under_its_name_out_and_no_other() {
    let mut roster = Roster::default();
    roster.hear(&word(1, 2), at(1), NOW);
    roster.hear(&word(2, 3), at(2), NOW);
    // Also where entries that go are believed for a while: it was written, and the store was there.
    roster.away = true;
    roster.hear(&odd(3, 4, "engine-2"), at(3), NOW);
    expect_that!(names(&roster), elements_are![eq("engine-3")]);
}

#[gtest]
fn good_entry_behind_an_odd_one_brings_its_upstream_back() {
    let mut roster = Roster::default();
    roster.hear(&word(1, 2), at(1), NOW);
    roster.hear(&odd(2, 3, "engine-2"), at(2), NOW);
    let mut good = word(3, 4);
    good.changes[0].name = "engine-2".into();
    roster.hear(&good, at(3), NOW);
    expect_that!(roster.listed().len(), eq(1));
}

#[gtest]
fn odd_entries_are_told_to_others() {
    let mut roster = Roster::default();
    roster.tell_from(at(1));
    roster.take(odd(1, 2, "engine-2").changes, None, NOW);
    let told = roster.words(at(2), 0, NOW);
    expect_that!(told[0].changes[0].entry, eq(&Entry::Odd));
}

/// All that a store of some era lists: one upstream, ready or leaving, as it was written at a revision.
fn listed(era: u64, revision: u64, leaving: bool) -> Vec<Change> {
    let mut changes = word(0, 2).changes;
    changes[0].position = Position::new(era, revision);
    if let Entry::Listed(listed) = &mut changes[0].entry {
        listed.leaving = leaving;
    }
    changes
}

/// Whether the one upstream of a roster is listed, and then whether it leaves.
fn leaves(roster: &Roster) -> Option<bool> {
    roster.listed().first().map(|listed| listed.leaving)
}

#[gtest]
fn life_that_left_stays_so_in_an_older_copy_and_not_for_ever() {
    let mut roster = Roster::default();
    roster.take_all(&listed(1, 900, true), Position::new(1, 901), None, NOW);
    let copy = listed(2, 800, false);
    roster.take_all(&copy, Position::new(2, 801), None, NOW);
    expect_that!(leaves(&roster), some(eq(true)));
    let later = NOW.after(600_000);
    roster.take_all(&copy, Position::new(2, 801), None, later);
    expect_that!(leaves(&roster), some(eq(false)));
}

#[gtest]
fn life_that_went_is_there_again_only_if_it_wrote_since() {
    let mut roster = Roster::default();
    roster.take_all(&listed(1, 700, false), Position::new(1, 701), None, NOW);
    let mut gone = gone(0, 900, "engine-2").changes;
    gone[0].position = Position::new(1, 900);
    roster.take(gone, None, NOW);
    expect_that!(leaves(&roster), none());
    roster.take_all(&listed(2, 700, false), Position::new(2, 801), None, NOW);
    expect_that!(leaves(&roster), none());
    roster.take(listed(2, 901, false), None, NOW);
    expect_that!(leaves(&roster), some(eq(false)));
}

/// A life missing from a whole list had gone by then; the last change known before says less.
#[gtest]
fn life_that_a_whole_list_lacks_is_not_there_again_in_a_copy_from_before_the_list() {
    let mut roster = Roster::default();
    roster.take_all(&listed(1, 700, false), Position::new(1, 701), None, NOW);
    roster.take_all(&[], Position::new(1, 900), None, NOW);
    roster.take_all(&listed(2, 850, false), Position::new(2, 860), None, NOW);
    expect_that!(leaves(&roster), none());
}

/// Upstreams could not enter themselves, since the store was away again soon: who is told believes entries that go as long as who saw it.
#[gtest]
fn belief_that_was_put_off_is_told_with_words() {
    let mut roster = Roster::default();
    roster.away = true;
    let mut first = word(1, 2);
    (first.away_ms, first.returning_ms) = (3_000, 1_200);
    roster.hear(&first, at(1), NOW);
    let mut second = gone(2, 3, "engine-2");
    (second.away_ms, second.returning_ms, second.held) = (3_000, 2_000, true);
    roster.hear(&second, at(2), NOW);
    expect_that!(roster.believed_ms(NOW), eq(2_000));
    expect_that!(names(&roster), elements_are![eq("engine-2")]);
}
