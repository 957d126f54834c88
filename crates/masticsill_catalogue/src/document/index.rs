//! A route document indexed for lookups.

use std::mem;
use std::sync::Arc;

use indexmap::IndexMap;

use super::routes::{Route, RouteDocument, ServiceEntry, WorkspaceEntry};

/// A route document with its routes indexed by host and its workspaces by API key. Immutable.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    /// The document without its routes and services, which are moved to the maps below.
    document: RouteDocument,
    /// Position in `document.workspaces`, by API key.
    keys: IndexMap<String, usize>,
    /// Routes by lower-case host; those of a host by descending length of the path prefix.
    routes: IndexMap<String, Vec<Arc<Route>>>,
    services: IndexMap<String, Arc<ServiceEntry>>,
}

impl RouteIndex {
    /// Builds the index of a document.
    #[must_use]
    pub fn new(mut document: RouteDocument) -> Self {
        let mut routes: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
        for route in mem::take(&mut document.routes) {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut keys = IndexMap::new();
        for (position, workspace) in document.workspaces.iter().flatten().enumerate() {
            for key in &workspace.api_keys {
                keys.insert(key.0.clone(), position);
            }
        }
        let services = mem::take(&mut document.services).into_iter();
        let services = services.map(|it| (it.name.clone(), Arc::new(it)));
        Self {
            keys,
            routes,
            services: services.collect(),
            document,
        }
    }

    /// The document without its routes and services; use [`Self::find`] and [`Self::service`] for
    /// those.
    #[must_use]
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// The route of a host with the longest path prefix that matches `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = self.routes.get(&host.to_ascii_lowercase())?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service, by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// Whether callers need an API key on routes that are not anonymous.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        self.document.workspaces.is_some()
    }

    /// The workspace that an API key belongs to.
    #[must_use]
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspaceEntry> {
        let position = *self.keys.get(key)?;
        self.document.workspaces.as_ref()?.get(position)
    }
}
