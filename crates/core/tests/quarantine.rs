//! Crash history: merging, and which requests are quarantined by it.

use {
    googletest::prelude::*,
    wellplank_core::{
        clock::Time,
        fingerprint::RequestFingerprint,
        incarnation::Incarnation,
        quarantine::{CrashHistory, Involvement},
        settings::QuarantineRule,
    },
};

const NOW: Time = Time(1_800_000_000_000);

fn incarnation(number: u64) -> Incarnation {
    Incarnation {
        id: number,
        born: 0,
    }
}

/// A history of crashed upstreams, each with the requests that waited there.
fn history(crashes: &[(u64, &[u64])]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for (upstream, fingerprints) in crashes {
        for fingerprint in *fingerprints {
            let at = NOW.after(*upstream);
            history.record(
                incarnation(*upstream),
                RequestFingerprint(*fingerprint),
                Involvement::Fresh,
                at,
            );
        }
    }
    history
}

/// Requests quarantined by the rule `Explained`.
fn quarantined(history: &CrashHistory) -> Vec<u64> {
    let quarantined = history.quarantined(QuarantineRule::Explained);
    quarantined
        .into_keys()
        .map(|fingerprint| fingerprint.0)
        .collect()
}

#[gtest]
fn two_crashes_quarantine_no_request() {
    let history = history(&[(1, &[7, 8]), (2, &[7, 8])]);
    expect_that!(quarantined(&history), is_empty());
}

#[gtest]
fn three_crashes_quarantine_a_request() {
    let history = history(&[(1, &[7, 8]), (2, &[7]), (3, &[7, 9])]);
    expect_that!(quarantined(&history), elements_are![eq(&7)]);
}

#[gtest]
fn explained_crashes_quarantine_no_other_request() {
    let crashes: [(u64, &[u64]); 5] = [(1, &[7, 8]), (2, &[7]), (3, &[7]), (4, &[7, 8]), (5, &[8])];
    let history = history(&crashes);
    expect_that!(quarantined(&history), elements_are![eq(&7)]);
    expect_that!(history.quarantined(QuarantineRule::Lives).len(), eq(2));
}

#[gtest]
fn indistinguishable_requests_are_both_quarantined() {
    let history = history(&[(1, &[7, 8]), (2, &[7, 8]), (3, &[7, 8])]);
    expect_that!(quarantined(&history), elements_are![eq(&7), eq(&8)]);
}

/// Each crash of request 7 is explained by another quarantined request, so three crashes do not quarantine it.
#[gtest]
fn masked_request_is_quarantined_after_five_crashes() {
    let crashes: [(u64, &[u64]); 10] = [
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
    let mut history = history(&crashes);
    for upstream in [1, 2, 4, 5] {
        history.record(
            incarnation(upstream),
            RequestFingerprint(7),
            Involvement::Fresh,
            NOW.after(upstream),
        );
    }
    expect_that!(quarantined(&history), elements_are![eq(&1), eq(&2), eq(&3)]);
    history.record(
        incarnation(7),
        RequestFingerprint(7),
        Involvement::Fresh,
        NOW.after(7),
    );
    expect_that!(
        quarantined(&history),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&7)]
    );
}

#[gtest]
fn second_request_is_quarantined_by_its_own_unexplained_crashes() {
    let crashes: [(u64, &[u64]); 7] = [
        (1, &[7, 8]),
        (2, &[7]),
        (3, &[7]),
        (4, &[7]),
        (5, &[8]),
        (6, &[8]),
        (9, &[8]),
    ];
    expect_that!(
        quarantined(&history(&crashes)),
        elements_are![eq(&7), eq(&8)]
    );
}

#[gtest]
fn of_two_suspects_with_equal_crashes_the_one_that_had_run_is_not_quarantined() {
    let mut history = history(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    for upstream in 1..=3 {
        history.record(
            incarnation(upstream),
            RequestFingerprint(8),
            Involvement::Ran,
            NOW,
        );
    }
    expect_that!(quarantined(&history), elements_are![eq(&7)]);
}

#[gtest]
fn complete_response_clears_a_request_of_earlier_crashes() {
    let mut history = history(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    let cleared = history.clear(RequestFingerprint(7));
    expect_that!(quarantined(&history), is_empty());
    expect_that!(cleared.len(), eq(3));
    history.record(
        incarnation(4),
        RequestFingerprint(7),
        Involvement::Fresh,
        NOW,
    );
    history.record(
        incarnation(5),
        RequestFingerprint(7),
        Involvement::Fresh,
        NOW,
    );
    expect_that!(quarantined(&history), is_empty());
    history.record(
        incarnation(6),
        RequestFingerprint(7),
        Involvement::Fresh,
        NOW,
    );
    expect_that!(quarantined(&history), elements_are![eq(&7)]);
}

#[gtest]
fn merge_is_idempotent_and_independent_of_order() {
    let mut cleared = history(&[(1, &[7]), (2, &[7, 8])]);
    let _ = cleared.clear(RequestFingerprint(7));
    let parts = [
        history(&[(1, &[7, 8])]),
        history(&[(2, &[8]), (3, &[9])]),
        cleared,
        history(&[(3, &[7, 8, 9])]),
    ];
    let orders: [[usize; 6]; 4] = [
        [0, 1, 2, 3, 0, 1],
        [3, 2, 1, 0, 3, 3],
        [2, 0, 2, 3, 1, 0],
        [1, 1, 3, 0, 2, 2],
    ];
    let merged = orders.map(|order| {
        let mut history = CrashHistory::default();
        for part in order {
            let _ = history.merge(&parts[part]);
        }
        history
    });
    for other in &merged[1..] {
        expect_that!(other, eq(&merged[0]));
        expect_that!(other.digest(), eq(merged[0].digest()));
    }
}

#[gtest]
fn merge_returns_only_what_is_new() {
    let mut all = history(&[(1, &[7]), (2, &[8])]);
    expect_that!(all.merge(&history(&[(1, &[7])])).is_empty(), eq(true));
    let added = all.merge(&history(&[(1, &[7, 9])]));
    expect_that!(added, eq(&history(&[(1, &[9])])));
}

#[gtest]
fn digest_differs_by_content_and_is_zero_when_empty() {
    expect_that!(CrashHistory::default().digest(), eq(0));
    let one = history(&[(1, &[7])]);
    let mut cleared = one.clone();
    let _ = cleared.clear(RequestFingerprint(7));
    let two = history(&[(1, &[7]), (2, &[7])]);
    expect_that!(one.digest(), not(eq(0)));
    expect_that!(one.digest(), not(eq(two.digest())));
    expect_that!(one.digest(), not(eq(cleared.digest())));
}

#[gtest]
fn eviction_keeps_crashes_of_quarantined_requests() {
    let mut history = history(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    for upstream in 10..2_000 {
        let at = NOW.after(upstream);
        history.record(
            incarnation(upstream),
            RequestFingerprint(1_000 + upstream),
            Involvement::Fresh,
            at,
        );
        history.evict(QuarantineRule::Explained, at);
    }
    expect_that!(history.len(), le(512));
    expect_that!(quarantined(&history), elements_are![eq(&7)]);
    for fingerprint in 0..1_000 {
        history.record(
            incarnation(1),
            RequestFingerprint(fingerprint),
            Involvement::Fresh,
            NOW,
        );
    }
    let counts = history.crashes().map(|(_, crash)| crash.requests.len());
    expect_that!(counts.max(), some(le(64)));
}

#[gtest]
fn crashes_expire_after_a_day() {
    let mut history = history(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    let before = NOW.after(23 * 3_600_000);
    let after = NOW.after(24 * 3_600_000 + 3);
    expect_that!(history.has_expired(before), eq(false));
    expect_that!(history.has_expired(after), eq(true));
    history.evict(QuarantineRule::Explained, after);
    expect_that!(history.is_empty(), eq(true));
}
