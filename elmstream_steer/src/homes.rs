//! Regions in which a request may run.

use crate::{
    model::{Route, Workspace},
    routes::RouteTable,
    workspaces::WorkspaceTable,
};

/// Home regions of a request; both of them apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct Homes<'a> {
    /// Home regions of the route; empty for any.
    pub route: &'a [String],
    /// Home regions of the workspace; empty for any, or if the request has no workspace.
    pub workspace: &'a [String],
}

impl Homes<'_> {
    /// Whether the request may run in any region.
    pub fn is_empty(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }

    /// Whether the request may run in a region.
    pub fn allow(&self, region: &str) -> bool {
        let allows = |homes: &[String]| homes.is_empty() || homes.iter().any(|home| home == region);
        allows(self.route) && allows(self.workspace)
    }
}

/// Home regions of a request's route and workspace, as one configuration states them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeRegions {
    /// Version of the configuration.
    pub version: u64,
    /// Home regions of the route; empty for any.
    pub route: Vec<String>,
    /// Home regions of the workspace; empty for any, or if the request has no workspace.
    pub workspace: Vec<String>,
}

impl HomeRegions {
    /// Home regions of a request of a route and a workspace, if any, of a configuration.
    pub fn new(version: u64, route: &Route, workspace: Option<&Workspace>) -> HomeRegions {
        let workspace = workspace.map(|workspace| workspace.homes.clone()).unwrap_or_default();
        HomeRegions { version, route: route.homes.clone(), workspace }
    }

    /// The home regions that decide on a region.
    pub fn as_homes(&self) -> Homes<'_> {
        Homes { route: &self.route, workspace: &self.workspace }
    }

    /// Home regions of a request to `host` and `path` of the workspace with an id, as the tables of
    /// a configuration state them.
    ///
    /// What they do not state, as there is no such route or workspace any more, stays as it was.
    pub fn updated(
        &self,
        version: u64,
        (routes, workspaces): (&RouteTable, &WorkspaceTable),
        (host, path): (&str, &str),
        workspace: Option<u64>,
    ) -> HomeRegions {
        let route = routes.find(host, path);
        let workspace = workspace.and_then(|id| workspaces.get(id));
        HomeRegions {
            version,
            route: route.map_or_else(|| self.route.clone(), |route| route.homes.clone()),
            workspace: workspace
                .map_or_else(|| self.workspace.clone(), |entry| entry.workspace.homes.clone()),
        }
    }
}
