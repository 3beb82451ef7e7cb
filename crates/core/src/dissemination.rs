//! How an update reaches every instance of a data centre although no instance sends it to more than a few.
//!
//! The instance that announces an update is the root of two trees over the data centre. Each instance passes an update
//! on, once in each tree, to at most [`FANOUT`] others. Those that pass on in one tree are mostly the last of the
//! other, so that an instance that is dead, cut off or slow delays nobody else. In a small data centre the root sends
//! to all others itself.

use super::*;

/// Maximum number of instances to which one passes an update on in one tree. With four, an update passes four levels
/// in a data centre of 340 instances.
pub const FANOUT: usize = 4;

/// Number of other instances of a data centre up to which the root sends to each of them: fewer datagrams than two
/// trees take, and a link of 10 Mbit/s carries them.
pub const DIRECT_MAX: usize = 32;

/// Number of remembered updates. More than arrive within the time that a datagram may be late.
const REMEMBERED: usize = 512;

/// One of the ways by which an update travels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tree {
    /// From the root to each instance.
    Direct,
    /// In order of the instances' identifiers.
    Forward,
    /// In the reverse order.
    Reverse,
}

/// The way of one copy of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Identifier of the instance that announced it.
    pub root: u64,
    /// Number of the update, higher than those of earlier ones of the same root.
    pub sequence: u64,
    /// Tree in which it travels.
    pub tree: Tree,
}

/// What to do with a copy of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Receipt {
    /// Whether it is the first copy.
    pub is_new: bool,
    /// Whether to pass it on.
    pub passes_on: bool,
}

/// Remembers which updates an instance has received, and in which trees.
#[derive(Clone, Debug, Default)]
pub struct Forwarder {
    received: VecDeque<Route>,
}

impl Forwarder {
    /// Handles a copy of an update.
    pub fn receive(&mut self, route: Route) -> Receipt {
        if route.tree == Tree::Direct {
            return Receipt {
                is_new: true,
                passes_on: false,
            };
        }
        let same = |other: &&Route| (other.root, other.sequence) == (route.root, route.sequence);
        let copies = self.received.iter().filter(same);
        let trees: Vec<Tree> = copies.map(|copy| copy.tree).collect();
        let passes_on = !trees.contains(&route.tree);
        if passes_on {
            if self.received.len() >= REMEMBERED {
                self.received.pop_front();
            }
            self.received.push_back(route);
        }
        Receipt {
            is_new: trees.is_empty(),
            passes_on,
        }
    }
}

/// The trees in which a root announces an update to so many other instances.
pub fn trees(others: usize) -> &'static [Tree] {
    if others <= DIRECT_MAX {
        &[Tree::Direct]
    } else {
        &[Tree::Forward, Tree::Reverse]
    }
}

/// The instances to which `own` passes an update of `root` on. `others` are the other instances of the data centre, in
/// the order of their identifiers.
pub fn children(others: &[u64], own: u64, root: u64, tree: Tree) -> Vec<u64> {
    if tree == Tree::Direct {
        return if own == root {
            others.to_vec()
        } else {
            Vec::new()
        };
    }
    let mut order: Vec<u64> = others.to_vec();
    if let Err(place) = order.binary_search(&own) {
        order.insert(place, own);
    }
    order.retain(|instance| *instance != root);
    if tree == Tree::Reverse {
        order.reverse();
    }
    // The root is at place 0, its children at 1 and on.
    let place = order.iter().position(|instance| *instance == own);
    let place = place.map_or(0, |place| place + 1);
    let from = (FANOUT * place).min(order.len());
    let to = (from + FANOUT).min(order.len());
    order[from..to].to_vec()
}

/// The instance from which `own` receives the updates of `root` in the forward tree; `None` for the root.
pub fn parent(others: &[u64], own: u64, root: u64) -> Option<u64> {
    let before = |other: &&u64| **other < own && **other != root;
    let place = others.iter().filter(before).count() + 1;
    if own == root {
        return None;
    }
    let above = (place - 1) / FANOUT;
    if above == 0 {
        return Some(root);
    }
    let mut order = others.iter().filter(|other| **other != root);
    order.nth(above - 1).copied()
}
