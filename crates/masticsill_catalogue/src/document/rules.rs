//! Validation of a route document.

use indexmap::{IndexMap, IndexSet};

use super::routes::{Route, RouteDocument};
use crate::validation::FieldError;

impl RouteDocument {
    /// Checks the complete document.
    ///
    /// # Errors
    ///
    /// A [`FieldError`] for each problem found.
    pub fn validate(&self) -> Result<(), Vec<FieldError>> {
        let mut errors = Vec::new();
        self.check_services(&mut errors);
        self.check_routes(&mut errors);
        self.check_keys(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_services(&self, errors: &mut Vec<FieldError>) {
        let mut names = IndexSet::new();
        for (position, service) in self.services.iter().enumerate() {
            if !names.insert(&service.name) {
                let field = format!("services[{position}].name");
                let remedy = "name each service once";
                errors.push(FieldError::new(field, &service.name, remedy));
            }
        }
    }

    fn check_routes(&self, errors: &mut Vec<FieldError>) {
        let services: IndexSet<&str> = self.services.iter().map(|it| it.name.as_str()).collect();
        let mut host_prefixes = IndexSet::new();
        for (position, route) in self.routes.iter().enumerate() {
            let at = |field: &str| format!("routes[{position}].{field}");
            if !host_prefixes.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str()))
            {
                let remedy = "another route has this host and prefix; keep one of them";
                errors.push(FieldError::new(
                    at("path_prefix"),
                    &route.path_prefix,
                    remedy,
                ));
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                let remedy = "begin and end it with a slash";
                errors.push(FieldError::new(
                    at("path_prefix"),
                    &route.path_prefix,
                    remedy,
                ));
            }
            if route.timeout_ms == 0 {
                let remedy = "use a time above zero";
                errors.push(FieldError::new(at("timeout_ms"), 0, remedy));
            }
            check_shares(route, &services, position, errors);
        }
    }

    fn check_keys(&self, errors: &mut Vec<FieldError>) {
        let mut owners = IndexMap::new();
        for (position, workspace) in self.workspaces.iter().flatten().enumerate() {
            for key in &workspace.api_keys {
                let owner = owners.insert(key, &workspace.name);
                if owner.is_some_and(|owner| *owner != workspace.name) {
                    let field = format!("workspaces[{position}].api_keys");
                    let remedy = "another workspace holds one of these keys; draw a new one";
                    errors.push(FieldError::new(field, "(secret)", remedy));
                }
            }
        }
    }
}

fn check_shares(
    route: &Route,
    services: &IndexSet<&str>,
    position: usize,
    errors: &mut Vec<FieldError>,
) {
    let total: u64 = route.services.iter().map(|share| share.weight).sum();
    if total == 0 {
        let field = format!("routes[{position}].weights");
        errors.push(FieldError::new(
            field,
            0,
            "give one service a weight above zero",
        ));
    }
    for share in &route.services {
        if !services.contains(share.service.as_str()) {
            let field = format!("routes[{position}].service");
            let remedy = "name a service of the same document";
            errors.push(FieldError::new(field, &share.service, remedy));
        }
    }
}
