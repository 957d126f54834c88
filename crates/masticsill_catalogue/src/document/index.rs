//! A document made ready for look-ups.

use std::mem;
use std::sync::Arc;

use indexmap::IndexMap;

use super::routes::{Route, RouteDocument, ServiceEntry, WorkspaceEntry};

/// A document with its routes by host and its workspaces by key. Cheap to share, never changed.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    /// The document without its routes and services, which are held below.
    document: RouteDocument,
    /// Positions of workspaces by API key.
    keys: IndexMap<String, usize>,
    /// Routes by host in lower case, longest prefix first.
    routes: IndexMap<String, Vec<Arc<Route>>>,
    services: IndexMap<String, Arc<ServiceEntry>>,
}

impl RouteIndex {
    /// Makes a document ready.
    #[must_use]
    pub fn new(mut document: RouteDocument) -> Self {
        let mut routes: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
        for route in mem::take(&mut document.routes) {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
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

    /// The document without its routes and services, which are looked up.
    #[must_use]
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// The route with the longest prefix of a path, among those of a host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(&host.to_ascii_lowercase())?;
        of_host
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// Whether callers must show an API key on routes that are not anonymous.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        self.document.workspaces.is_some()
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspaceEntry> {
        let position = *self.keys.get(key)?;
        self.document.workspaces.as_ref()?.get(position)
    }
}
