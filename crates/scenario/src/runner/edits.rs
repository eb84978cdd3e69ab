//! Submits edits of operators.

use http::Method;
use serde_json::Value;
use serde_json::json;
use table::Table;
use table::drain::DrainTarget;
use table::edit::Change;
use table::edit::Edit;
use table::row::Row;
use tokio::task::JoinSet;

use crate::error::Error;
use crate::http_client::Answer;
use crate::http_client::HttpClient;
use crate::runner::Runner;
use crate::runner::submitted_edit::SubmittedEdit;
use crate::runner::unix_ms;
use crate::script::step;
use crate::settings::OPERATOR;
use crate::settings::TOKEN;

impl Runner {
    pub(super) async fn edit(&mut self, edit: step::Edit) -> Result<(), Error> {
        self.race(vec![edit]).await
    }

    /// Sends all `edits` concurrently, each based on the table before.
    pub(super) async fn race(&mut self, edits: Vec<step::Edit>) -> Result<(), Error> {
        let mut sent = JoinSet::new();
        for step in edits {
            let edit = self.prepare(&step).await?;
            let admin = self.fleet.daemon(&step.via)?.admin.clone();
            let client = self.fleet.client.clone();
            sent.spawn(async move { (step, submit(&client, &admin, edit).await) });
        }
        while let Some(joined) = sent.join_next().await {
            let (step, submitted) = joined.map_err(|cause| self.failure(cause))?;
            let drains = step.drain.iter().cloned();
            self.drain_times
                .extend(drains.map(|name| (name, submitted.unix_ms)));
            println!("edit {} of {}: {}", step.name, self.name, submitted.text);
            self.submitted_edits.insert(step.name, submitted);
        }
        Ok(())
    }

    async fn prepare(&self, step: &step::Edit) -> Result<Edit, Error> {
        if let Some(former) = &step.again {
            let found = self
                .submitted_edits
                .get(former)
                .map(|submitted| submitted.edit.clone());
            return found.ok_or_else(|| self.failure(format!("no edit is named {former}")));
        }
        let table = self.table_at(&step.via).await?;
        let id = format!("{}-{}", self.name, step.name);
        let mut edit = Edit::new(&id, OPERATOR);
        for (key, columns) in &step.set {
            let base = table.rows.iter().find(|row| row.key() == *key);
            let Some(base) = base else {
                return Err(self.failure(format!("the table has no row {key}")));
            };
            let row = changed(base, columns).map_err(|cause| self.failure(cause))?;
            edit = edit.with_change(Change::Put {
                row,
                base: Some(base.clone()),
            });
        }
        for name in &step.drain {
            edit = edit.with_change(Change::Drain(DrainTarget::Replica(name.clone())));
        }
        Ok(edit)
    }

    /// Returns the table in force at a daemon.
    pub(super) async fn table_at(&self, daemon: &str) -> Result<Table, Error> {
        let admin = self.fleet.daemon(daemon)?.admin.clone();
        let request = self
            .fleet
            .client
            .request(Method::GET, &admin, "/v1/table")
            .header("Authorization", format!("Bearer {TOKEN}"))
            .header("Waxwing-Operator", OPERATOR);
        let answer = self.fleet.client.send(request, &admin).await?;
        serde_json::from_str(&answer.body).map_err(|_| Error::UnexpectedAnswer {
            step: "GET /v1/table".to_owned(),
            peer: daemon.to_owned(),
            status: answer.status,
            body: answer.body,
        })
    }
}

/// Returns `base` with `columns` replaced.
fn changed(
    base: &Row,
    columns: &std::collections::BTreeMap<String, serde_norway::Value>,
) -> Result<Row, serde_json::Error> {
    let mut row = serde_json::to_value(base)?;
    for (name, value) in columns {
        row[name.as_str()] = serde_json::to_value(value)?;
    }
    serde_json::from_value(row)
}

async fn submit(client: &HttpClient, admin: &str, edit: Edit) -> SubmittedEdit {
    let request = client
        .request(Method::POST, admin, "/v1/table/edits")
        .header("Authorization", format!("Bearer {TOKEN}"))
        .header("Waxwing-Operator", OPERATOR)
        .json(&json!(edit));
    let answer = client.send(request, admin).await;
    let (verdict, text, generation) = match answer {
        Ok(answer) => read(&answer),
        Err(cause) => ("lost".to_owned(), cause.to_string(), 0),
    };
    SubmittedEdit {
        edit,
        verdict,
        text,
        generation,
        unix_ms: unix_ms(),
    }
}

fn read(answer: &Answer) -> (String, String, u64) {
    let json: Value = answer.json();
    let verdict = json["result"].as_str().unwrap_or("refused").to_owned();
    let generation = json["generation"].as_u64().unwrap_or(0);
    (
        verdict,
        format!("{} {}", answer.status, answer.body),
        generation,
    )
}
