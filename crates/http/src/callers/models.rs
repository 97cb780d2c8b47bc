//! The list of models in the format of the OpenAI API.

use corneltrestle_policy::release;
use serde::Serialize;

use crate::{body, response};

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'a str,
}

/// Returns the models of all services.
pub(super) fn list(release: &release::Release) -> hyper::Response<body::Body> {
    let data = release
        .services
        .iter()
        .filter_map(|(name, service)| match &service.kind {
            release::Kind::Model { model } => {
                Some(Model { id: model, object: "model", owned_by: name.as_str() })
            }
            release::Kind::Plain(_) => None,
        })
        .collect();
    response::json(hyper::StatusCode::OK, &List { object: "list", data })
}
