//! Requests that are under way while the services of the configuration change.

#[allow(dead_code)]
mod support;

use std::sync::Arc;

use elmstream::{
    catalog::Catalog,
    id::{HostRef, Incarnation, RegionId},
    node::{Node, NodeSettings},
    time::{SECOND, Time},
};

fn with_services(revision: u64, names: &[&str]) -> Arc<Catalog> {
    let mut catalog = support::catalog(revision, &[]);
    let named = |name: &&str| {
        let mut service = support::service();
        service.name = (*name).into();
        service.hosts = vec![(*name).into()];
        service
    };
    catalog.services = names.iter().map(named).collect();
    Arc::new(catalog)
}

#[test]
fn request_whose_service_is_removed_while_it_waits_for_an_owner_is_refused() {
    let mut node = Node::new(NodeSettings {
        me: HostRef { host: "n1".into(), incarnation: Incarnation(1) },
        domain: "na".into(),
        seed: 1,
    });
    let now = Time(SECOND);
    node.set_catalog(now, with_services(1, &["orders", "removed"]));
    // An entry host keeps this while the request waits, and routes by it again.
    let service = node.service_of(Some("removed"), None).expect("it is there");
    assert!(node.route(now, service, RegionId(0), SECOND).is_err(), "no host owns a server");
    node.set_catalog(now, with_services(2, &["orders"]));
    assert!(node.route(now, service, RegionId(0), SECOND).is_err());
}
