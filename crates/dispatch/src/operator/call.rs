use {
    crate::Control,
    gate::{
        Outcome,
        call::{DataCentre, Reply, Request},
    },
    serde_json::{Value, json},
    std::time::Duration,
    work::registry::Order,
};

/// Path of the list of data centres, and the begin of the paths of orders.
const DATA_CENTRES: &str = "/v1/data-centres";

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// List the data centres.
    List,
    /// Evacuate a data centre or take it back.
    Evacuation {
        /// Name of the data centre.
        data_centre: String,
        /// What is ordered.
        order: Order,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body in JSON.
    pub body: String,
}

impl Call {
    /// The call with this method and path; none if there is no such call.
    pub fn decode(method: &str, path: &str) -> Option<Call> {
        let rest = path.strip_prefix(DATA_CENTRES)?;
        if method == "GET" {
            return rest.is_empty().then_some(Call::List);
        }
        let (data_centre, verb) = rest.strip_prefix('/')?.split_once('/')?;
        let order = match (method, verb) {
            ("POST", "evacuate") => Order::Evacuate,
            ("POST", "readmit") => Order::Readmit,
            _ => return None,
        };
        Some(Call::Evacuation {
            data_centre: data_centre.to_owned(),
            order,
        })
    }

    /// Name of the kind of call, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Call::List => "data_centres",
            Call::Evacuation { order, .. } => match order {
                Order::Evacuate => "evacuate",
                Order::Readmit => "readmit",
            },
        }
    }

    /// Carries the call out at an instance.
    pub async fn perform(&self, control: &Control, timeout: Duration) -> Answer {
        let outcome = match self {
            Call::List => control.call(Request::DataCentres, timeout).await,
            Call::Evacuation { data_centre, order } => {
                control.order_evacuation(data_centre, *order, timeout).await
            }
        };
        Answer::of(&outcome)
    }
}

impl Answer {
    /// The answer for an outcome. The codes of errors are those of the other HTTP interfaces of the project.
    pub fn of(outcome: &Outcome) -> Answer {
        let (status, body) = match outcome {
            Outcome::Answered(Reply::Done) => (200, json!({})),
            Outcome::Answered(Reply::DataCentres { data_centres, .. }) => (200, list(data_centres)),
            Outcome::Answered(Reply::Invalid(reason)) => (400, error("Refused", reason)),
            Outcome::Answered(reply) => (500, error("Unexpected", &format!("{reply:?}"))),
            Outcome::NotRun(reason) => (503, error("NotRun", reason)),
            Outcome::Unknown(reason) => (504, error("Unknown", reason)),
        };
        Answer {
            status,
            body: body.to_string(),
        }
    }
}

fn list(data_centres: &[DataCentre]) -> Value {
    let entries = data_centres.iter().map(|entry| {
        json!({
            "name": entry.name,
            "evacuated_for_ms": entry.evacuated_for_ms,
            "machines": entry.upstreams,
            "runs": entry.runs,
        })
    });
    entries.collect()
}

fn error(code: &str, message: &str) -> Value {
    json!({ "error_code": code, "message": message })
}
