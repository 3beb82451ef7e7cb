//! Who may use routes, customers with keys, nobody or everybody, and where routes may send their requests.

use super::*;

/// Path of a route that is public.
const PUBLIC: &str = "/open/1";

impl Test {
    /// A core whose routes are used by those who have access.
    fn accessible(access: Access) -> Self {
        let mut test = Self::new(6);
        test.give(2, access);
        test
    }

    /// Brings another configuration into force.
    fn give(&mut self, revision: u64, access: Access) {
        let config = Config {
            access,
            ..configuration(revision)
        };
        self.handle(Event::Config(Arc::new(config)));
    }

    /// Whether a request with this key, which is empty for none, is sent to an upstream; otherwise it must be unauthorized.
    fn is_served(&mut self, key: &str, path: &str) -> bool {
        let (sent, ended) = (self.sent().len(), self.outcomes().len());
        self.request_as(key, path, 0);
        let is_sent = self.sent().len() > sent;
        if !is_sent {
            expect_that!(self.outcomes()[ended..], elements_are![eq("unauthorized")]);
        }
        is_sent
    }
}

fn customers() -> Access {
    configuration(1).access
}

/// Guards against an empty list of customers that counts as none, and opens every route.
#[gtest]
fn nobody_and_everybody_are_told_apart() {
    // What each may use of routes that require a key, with: a customer's key, an unknown one, none.
    let cases = [
        (customers(), [true, false, false]),
        (Access::Keys(HashMap::new()), [false, false, false]),
        (Access::Open, [true, true, true]),
    ];
    for (access, expected) in cases {
        let mut test = Test::accessible(access);
        for path in [STREAM, REPEATABLE, NON_REPEATABLE] {
            let served = ["key", "unknown", ""].map(|key| test.is_served(key, path));
            expect_that!(served, eq(expected), "{path}");
        }
        let served = ["key", "unknown", ""].map(|key| test.is_served(key, PUBLIC));
        expect_that!(served, eq([true, true, true]));
    }
}

/// Guards against a configuration that nobody wrote and that lets everybody in.
#[gtest]
fn nobody_has_access_by_default() {
    expect_that!(Access::default(), eq(&Access::Keys(HashMap::new())));
    let mut test = Test::accessible(Access::default());
    expect_that!(test.is_served("", NON_REPEATABLE), eq(false));
}

/// Guards against a stream that is cut, or sent again without its customer, since its key was taken away while it runs.
#[gtest]
fn stream_goes_on_at_another_upstream_though_its_key_is_taken_away() {
    let mut test = Test::new(6);
    let first = test.stream(3);
    test.give(2, Access::Keys(HashMap::new()));
    test.send_event(&first, 4);
    test.fail(&first, Failure::Broken);
    let second = test.last_sent();
    expect_that!(second.attempt, not(eq(first.attempt)));
    test.handle(Event::StreamOpened(second.attempt));
    test.send_event(&second, 5);
    test.close(&second, true);
    expect_that!(test.delivered(), eq(&vec![1, 2, 3, 4, 5]));
    expect_that!(test.outcomes(), elements_are![eq("close")]);
}

/// Guards against callers that take a stream up again with a key that was taken away meanwhile.
#[gtest]
fn stream_is_not_taken_up_with_a_key_that_was_taken_away() {
    let mut test = Test::accessible(Access::Keys(HashMap::new()));
    test.request_as("key", STREAM, 3);
    expect_that!(test.sent(), is_empty());
    expect_that!(test.outcomes(), elements_are![eq("unauthorized")]);
}

/// Guards against requests of a service's own interface that everybody may bring, or that anybody may without a customer.
#[gtest]
fn declared_services_are_never_open() {
    for access in [Access::Open, Access::Keys(HashMap::new())] {
        let mut test = Test::accessible(access);
        test.handle(Event::Submit(Box::new(Submission {
            caller: Caller(1),
            cursor: None,
            customer: String::new(),
            fingerprint: 1,
            generation: 1,
            key: None,
            received: None,
            service: "summary".into(),
            work: Work::Call {
                path: "GET /".into(),
                payload: [].into(),
            },
        })));
        expect_that!(test.outcomes(), elements_are![eq("unauthorized")]);
    }
}

/// Guards against ranks that leave out callers without a key where none is required, or count them where one is.
#[gtest]
fn callers_without_a_key_count_for_ranks_where_they_are_served() {
    let late = Customer {
        priority: 2,
        ..Customer::anonymous()
    };
    let keys = HashMap::from([("key".to_owned(), Arc::new(late.clone()))]);
    // Rank of the last of two routes; with callers without a key, both of their priorities go before a late customer's.
    let rank = |access: Access, customer: &Customer| {
        let mut config = configuration(1);
        let stream = config.routes[0].shares[0].service.relay().unwrap().clone();
        let urgent = config::Relay {
            priority: 0,
            ..stream.clone()
        };
        config.routes = vec![
            route("/stream/", stream.clone(), true, false),
            route("/urgent/", urgent, true, false),
        ];
        let ranks = PoolRanks::of(&Config { access, ..config }, "pool").unwrap();
        ranks.rank(customer, &stream).number()
    };
    expect_that!(rank(Access::Keys(keys), &late), eq(1));
    expect_that!(rank(Access::Open, &late), eq(2));
    expect_that!(rank(Access::Open, &Customer::anonymous()), eq(1));
}

/// Guards against requests at a service that no share of their route's traffic goes to.
#[gtest]
fn route_without_any_weight_sends_requests_nowhere() {
    let weigh = |weights: [u32; 2]| {
        let mut config = configuration(2);
        let shares = &mut config.routes[1].shares;
        shares.push(shares[0].clone());
        for (share, weight) in shares.iter_mut().zip(weights) {
            share.weight = weight;
        }
        let mut test = Test::new(6);
        test.handle(Event::Config(Arc::new(config)));
        test.request(REPEATABLE);
        (test.sent().len(), test.outcomes())
    };
    expect_that!(weigh([0, 0]), eq(&(0, vec!["unknown_service".to_owned()])));
    expect_that!(weigh([0, 1]), eq(&(1, vec![])));
    expect_that!(weigh([1, 0]), eq(&(1, vec![])));
}
