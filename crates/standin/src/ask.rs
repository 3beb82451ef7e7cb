//! What the worlds of relayed requests share: one route to a service, and a caller's request for it.

use std::sync::Arc;
use wellplank_core::{
    config::{Access, Config, Customer, Route, Service, Share},
    event::Submission,
    request::{Caller, Relay, Work},
};

/// Host and path of the only route, and the key of its only customer.
pub(crate) const HOST: &str = "host";
pub(crate) const PATH: &str = "/";
const KEY: &str = "key";

/// A configuration with one route, all of which goes to a service.
pub(crate) fn configuration(service: Service) -> Config {
    Config {
        access: Access::Keys([(KEY.to_owned(), Arc::new(Customer::anonymous()))].into()),
        revision: 1,
        routes: vec![Route {
            host: HOST.into(),
            prefix: PATH.into(),
            public: false,
            shares: vec![Share {
                service: Arc::new(service),
                weight: 1,
            }],
        }],
        ..Config::default()
    }
}

/// What a caller submits, each time under another name.
pub(crate) fn submission(caller: Caller, relay: Relay) -> Submission {
    Submission {
        caller,
        cursor: None,
        customer: KEY.into(),
        fingerprint: if relay.prompt > 0 {
            relay.prompt
        } else {
            caller.0
        },
        generation: u128::from(caller.0),
        key: None,
        received: None,
        service: String::new(),
        work: Work::Relay(relay),
    }
}
