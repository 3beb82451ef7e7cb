//! Claims of idempotency keys: validity of keys and ownership of claims.

use {
    googletest::prelude::*,
    wellplank_core::{
        claim::{Bucket, BucketId, Claim},
        clock::Time,
        event::ClaimOutcome,
        settings::Settings,
    },
};

const NOW: Time = Time(1_800_000_000_000);

/// A version 7 key with the timestamp `millis`.
fn key(millis: u64) -> u128 {
    (u128::from(millis) << 80) | (7 << 76) | (2 << 62) | 0x2a
}

fn claim(key: u128, fingerprint: u64, nonce: u64) -> Option<Claim> {
    Claim::new(
        key,
        "sawmill",
        fingerprint,
        nonce,
        NOW,
        &Settings::default(),
    )
}

#[gtest]
fn key_of_another_version_is_refused() {
    expect_that!(claim(uuid::Uuid::from_u128(5).as_u128(), 1, 1), none());
}

#[gtest]
fn key_older_than_the_maximum_age_is_refused() {
    let old = NOW.0 - Settings::default().key_age_max_ms - 1;
    expect_that!(claim(key(old), 1, 1), none());
    expect_that!(claim(key(old + 1), 1, 1), some(anything()));
}

#[gtest]
fn key_from_the_future_is_refused() {
    let lead = NOW.0 + Settings::default().key_lead_max_ms;
    expect_that!(claim(key(lead + 1), 1, 1), none());
    expect_that!(claim(key(lead), 1, 1), some(anything()));
}

#[gtest]
fn same_key_of_two_customers_is_two_claims() {
    let settings = Settings::default();
    let one = Claim::new(key(NOW.0), "sawmill", 1, 1, NOW, &settings).unwrap();
    let other = Claim::new(key(NOW.0), "archive", 1, 1, NOW, &settings).unwrap();
    expect_that!(one.key, not(eq(other.key)));
}

#[gtest]
fn first_claim_wins_and_the_second_gets_its_fingerprint() {
    let mut bucket = Bucket::default();
    let first = claim(key(NOW.0), 7, 1).unwrap();
    let second = claim(key(NOW.0), 7, 2).unwrap();
    expect_that!(bucket.add(&first), eq(ClaimOutcome::Claimed));
    expect_that!(bucket.add(&second), eq(ClaimOutcome::Taken(7)));
}

#[gtest]
fn own_claim_is_recognized_by_its_nonce() {
    let mut bucket = Bucket::default();
    let first = claim(key(NOW.0), 7, 1).unwrap();
    bucket.add(&first);
    let mut read_back = Bucket::decode(&bucket.encode()).unwrap();
    expect_that!(read_back.add(&first), eq(ClaimOutcome::Claimed));
    expect_that!(read_back.len(), eq(1));
}

#[gtest]
fn malformed_bucket_is_refused() {
    expect_that!(Bucket::decode(&[1, 2, 3]).is_none(), eq(true));
}

#[gtest]
fn lease_outlives_the_last_accepted_key() {
    let settings = Settings::default();
    let bucket_id = claim(key(NOW.0), 1, 1).unwrap().bucket_id();
    let lease_begins = NOW.0 - settings.key_lead_max_ms;
    let last_use = NOW.0 + settings.key_age_max_ms + settings.key_lead_max_ms;
    expect_that!(BucketId::ttl_ms(&settings), gt(last_use - lease_begins));
    expect_that!(bucket_id.lease(), gt(0));
}

#[gtest]
fn continuation_has_the_same_claim_on_every_instance() {
    let one = Claim::continuation(key(NOW.0), 2, 5, 1).unwrap();
    let other = Claim::continuation(key(NOW.0), 2, 6, 2).unwrap();
    let next = Claim::continuation(key(NOW.0), 3, 5, 1).unwrap();
    expect_that!(one.key, eq(other.key));
    expect_that!(one.bucket_id(), eq(other.bucket_id()));
    expect_that!(one.key, not(eq(next.key)));
}
