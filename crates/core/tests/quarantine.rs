//! The account of upstreams that ended: how accounts merge, and who is guilty by them.

use {
    googletest::prelude::*,
    wellplank_core::{
        clock::Time,
        life::Life,
        print::Print,
        quarantine::{CrashHistory, Involvement},
        settings::QuarantineRule,
    },
};

const NOW: Time = Time(1_800_000_000_000);

fn life(number: u64) -> Life {
    Life {
        id: number,
        born: 0,
    }
}

/// An account of upstreams that ended, each with the requests that waited there.
fn account(ends: &[(u64, &[u64])]) -> CrashHistory {
    let mut account = CrashHistory::default();
    for (upstream, prints) in ends {
        for print in *prints {
            let at = NOW.after(*upstream);
            account.record(life(*upstream), Print(*print), Involvement::Fresh, at);
        }
    }
    account
}

/// Who is guilty where ends are explained.
fn guilty(account: &CrashHistory) -> Vec<u64> {
    let guilty = account.quarantined(QuarantineRule::Explained);
    guilty.into_keys().map(|print| print.0).collect()
}

#[gtest]
fn two_ends_convict_nobody() {
    let account = account(&[(1, &[7, 8]), (2, &[7, 8])]);
    expect_that!(guilty(&account), is_empty());
}

#[gtest]
fn three_ends_convict() {
    let account = account(&[(1, &[7, 8]), (2, &[7]), (3, &[7, 9])]);
    expect_that!(guilty(&account), elements_are![eq(&7)]);
}

#[gtest]
fn ends_that_a_guilty_request_explains_convict_nobody_else() {
    let ends: [(u64, &[u64]); 5] = [(1, &[7, 8]), (2, &[7]), (3, &[7]), (4, &[7, 8]), (5, &[8])];
    let account = account(&ends);
    expect_that!(guilty(&account), elements_are![eq(&7)]);
    expect_that!(account.quarantined(QuarantineRule::Lives).len(), eq(2));
}

#[gtest]
fn two_that_can_not_be_told_from_each_other_are_both_guilty() {
    let account = account(&[(1, &[7, 8]), (2, &[7, 8]), (3, &[7, 8])]);
    expect_that!(guilty(&account), elements_are![eq(&7), eq(&8)]);
}

#[gtest]
fn request_that_hides_behind_others_is_found_by_five_ends() {
    let ends: [(u64, &[u64]); 10] = [
        (1, &[1]),
        (2, &[1]),
        (3, &[1]),
        (4, &[2]),
        (5, &[2]),
        (6, &[2]),
        (7, &[3]),
        (8, &[3]),
        (9, &[3]),
        (10, &[3]),
    ];
    let mut account = account(&ends);
    for upstream in [1, 2, 4, 5] {
        account.record(
            life(upstream),
            Print(7),
            Involvement::Fresh,
            NOW.after(upstream),
        );
    }
    expect_that!(guilty(&account), elements_are![eq(&1), eq(&2), eq(&3)]);
    account.record(life(7), Print(7), Involvement::Fresh, NOW.after(7));
    expect_that!(
        guilty(&account),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&7)]
    );
}

#[gtest]
fn second_guilty_request_is_found_by_ends_of_its_own() {
    let ends: [(u64, &[u64]); 7] = [
        (1, &[7, 8]),
        (2, &[7]),
        (3, &[7]),
        (4, &[7]),
        (5, &[8]),
        (6, &[8]),
        (9, &[8]),
    ];
    expect_that!(guilty(&account(&ends)), elements_are![eq(&7), eq(&8)]);
}

#[gtest]
fn of_two_that_were_there_as_often_who_had_run_for_a_while_is_not_guilty() {
    let mut account = account(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    for upstream in 1..=3 {
        account.record(life(upstream), Print(8), Involvement::Ran, NOW);
    }
    expect_that!(guilty(&account), elements_are![eq(&7)]);
}

#[gtest]
fn request_that_was_answered_whole_is_cleared_of_the_ends_before() {
    let mut account = account(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    let news = account.clear(Print(7));
    expect_that!(guilty(&account), is_empty());
    expect_that!(news.len(), eq(3));
    account.record(life(4), Print(7), Involvement::Fresh, NOW);
    account.record(life(5), Print(7), Involvement::Fresh, NOW);
    expect_that!(guilty(&account), is_empty());
    account.record(life(6), Print(7), Involvement::Fresh, NOW);
    expect_that!(guilty(&account), elements_are![eq(&7)]);
}

#[gtest]
fn what_is_told_again_or_in_another_order_changes_nothing() {
    let mut cleared = account(&[(1, &[7]), (2, &[7, 8])]);
    let _ = cleared.clear(Print(7));
    let parts = [
        account(&[(1, &[7, 8])]),
        account(&[(2, &[8]), (3, &[9])]),
        cleared,
        account(&[(3, &[7, 8, 9])]),
    ];
    let orders: [[usize; 6]; 4] = [
        [0, 1, 2, 3, 0, 1],
        [3, 2, 1, 0, 3, 3],
        [2, 0, 2, 3, 1, 0],
        [1, 1, 3, 0, 2, 2],
    ];
    let merged = orders.map(|order| {
        let mut account = CrashHistory::default();
        for part in order {
            let _ = account.merge(&parts[part]);
        }
        account
    });
    for other in &merged[1..] {
        expect_that!(other, eq(&merged[0]));
        expect_that!(other.digest(), eq(merged[0].digest()));
    }
}

#[gtest]
fn what_was_known_is_no_news() {
    let mut all = account(&[(1, &[7]), (2, &[8])]);
    expect_that!(all.merge(&account(&[(1, &[7])])).is_empty(), eq(true));
    let news = all.merge(&account(&[(1, &[7, 9])]));
    expect_that!(news, eq(&account(&[(1, &[9])])));
}

#[gtest]
fn digest_tells_what_is_known_and_is_zero_for_nothing() {
    expect_that!(CrashHistory::default().digest(), eq(0));
    let one = account(&[(1, &[7])]);
    let mut cleared = one.clone();
    let _ = cleared.clear(Print(7));
    let two = account(&[(1, &[7]), (2, &[7])]);
    expect_that!(one.digest(), not(eq(0)));
    expect_that!(one.digest(), not(eq(two.digest())));
    expect_that!(one.digest(), not(eq(cleared.digest())));
}

#[gtest]
fn account_stays_within_its_bound_and_keeps_what_convicts() {
    let mut account = account(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    for upstream in 10..2_000 {
        let at = NOW.after(upstream);
        account.record(
            life(upstream),
            Print(1_000 + upstream),
            Involvement::Fresh,
            at,
        );
        account.evict(QuarantineRule::Explained, at);
    }
    expect_that!(account.len(), le(512));
    expect_that!(guilty(&account), elements_are![eq(&7)]);
    for print in 0..1_000 {
        account.record(life(1), Print(print), Involvement::Fresh, NOW);
    }
    let there = account.crashes().map(|(_, crash)| crash.requests.len());
    expect_that!(there.max(), some(le(64)));
}

#[gtest]
fn ends_lapse_after_a_day() {
    let mut account = account(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    let before = NOW.after(23 * 3_600_000);
    let after = NOW.after(24 * 3_600_000 + 3);
    expect_that!(account.has_expired(before), eq(false));
    expect_that!(account.has_expired(after), eq(true));
    account.evict(QuarantineRule::Explained, after);
    expect_that!(account.is_empty(), eq(true));
}
