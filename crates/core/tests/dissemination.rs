//! Trees by which an update reaches the instances of a data centre.

use {
    googletest::prelude::*,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
    wellplank_core::dissemination::{self, DIRECT_MAX, FANOUT, Forwarder, Route, Tree},
};

/// A number that spreads identifiers over the whole range, as hashes of names are.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// How one update spread.
struct Spread {
    /// Copies that each instance sent.
    copies: BTreeMap<u64, usize>,
    /// Hops after which each instance had it.
    hops: BTreeMap<u64, usize>,
}

fn instances(count: u64) -> Vec<u64> {
    let mut instances: Vec<u64> = (1..=count).map(|one| one.wrapping_mul(SPREAD)).collect();
    instances.sort_unstable();
    instances
}

/// Spreads one update from `root` where the instances in `failed` pass nothing on.
fn spread(instances: &[u64], root: u64, failed: &BTreeSet<u64>) -> Spread {
    let mut forwarders: BTreeMap<u64, Forwarder> = BTreeMap::new();
    let mut spread = Spread {
        copies: BTreeMap::new(),
        hops: BTreeMap::new(),
    };
    let mut queue = VecDeque::new();
    for tree in dissemination::trees(instances.len() - 1) {
        queue.push_back((root, *tree, 0));
    }
    while let Some((own, tree, hops)) = queue.pop_front() {
        let others: Vec<u64> = instances
            .iter()
            .copied()
            .filter(|one| *one != own)
            .collect();
        for child in dissemination::children(&others, own, root, tree) {
            *spread.copies.entry(own).or_default() += 1;
            if failed.contains(&child) {
                continue;
            }
            let route = Route {
                root,
                sequence: 1,
                tree,
            };
            let receipt = forwarders.entry(child).or_default().receive(route);
            if receipt.is_new {
                spread.hops.insert(child, hops + 1);
            }
            if receipt.passes_on {
                queue.push_back((child, tree, hops + 1));
            }
        }
    }
    spread
}

#[gtest]
fn update_reaches_all_with_few_copies_each_whatever_the_size() {
    for (count, hops_max) in [(30, 1), (300, 4), (1_000, 5), (2_000, 6)] {
        let instances = instances(count);
        let spread = spread(&instances, instances[7], &BTreeSet::new());
        expect_that!(spread.hops.len() as u64, eq(count - 1));
        expect_that!(spread.hops.values().copied().max(), some(le(hops_max)));
        let copies_max = (2 * FANOUT).max(DIRECT_MAX);
        expect_that!(spread.copies.values().copied().max(), some(le(copies_max)));
        let copies: usize = spread.copies.values().sum();
        expect_that!(copies as u64, le(2 * (count - 1)));
    }
}

#[gtest]
fn update_reaches_all_others_whichever_instance_is_lost() {
    let instances = instances(217);
    let root = instances[100];
    for lost in instances.iter().filter(|one| **one != root) {
        let failed = BTreeSet::from([*lost]);
        let reached = spread(&instances, root, &failed).hops.len();
        expect_that!(reached, eq(instances.len() - 2));
    }
}

#[gtest]
fn copy_is_passed_on_once_in_each_tree() {
    let mut forwarder = Forwarder::default();
    let route = |tree| Route {
        root: 1,
        sequence: 1,
        tree,
    };
    let receipts = [Tree::Forward, Tree::Reverse, Tree::Forward].map(|tree| {
        let receipt = forwarder.receive(route(tree));
        (receipt.is_new, receipt.passes_on)
    });
    expect_that!(receipts, eq([(true, true), (false, true), (false, false)]));
}

#[gtest]
fn parent_is_the_instance_that_sends_to_its_child() {
    let instances = instances(217);
    let root = instances[30];
    for own in instances.iter().filter(|one| **one != root) {
        let others =
            |of: u64| -> Vec<u64> { instances.iter().copied().filter(|one| *one != of).collect() };
        let parent = dissemination::parent(&others(*own), *own, root).expect("it is not the root");
        let children = dissemination::children(&others(parent), parent, root, Tree::Forward);
        expect_that!(children, contains(eq(own)));
    }
}
