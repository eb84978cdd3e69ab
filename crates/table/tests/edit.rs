//! Edits, conflicts and the representation in the store.

use std::collections::BTreeMap;

use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use table::Table;
use table::diff;
use table::drain::DrainTarget;
use table::edit::Change;
use table::edit::Edit;
use table::error;
use table::error::Report;
use table::row::Row;
use table::storage;
use table::storage::Record;
use table::transaction::Decision;
use table::transaction::Transaction;

/// A store of versioned records with the platform's transactions.
#[derive(Debug, Default, Clone)]
struct Store {
    rows: BTreeMap<String, Record>,
    clock: u64,
}

impl Store {
    fn read(&self, id: &str) -> Vec<Record> {
        let id_key = storage::edit_id_key(id);
        let wanted = |key: &str| {
            key == id_key
                || storage::SCAN_PREFIXES
                    .iter()
                    .any(|prefix| key.starts_with(prefix))
        };
        self.rows
            .values()
            .filter(|row| wanted(&row.key))
            .cloned()
            .collect()
    }

    fn commit(&mut self, transaction: &Transaction) -> bool {
        let version = |key: &str| self.rows.get(key).map_or(0, |row| row.version);
        if transaction
            .require
            .iter()
            .any(|required| version(&required.key) != required.version)
        {
            return false;
        }
        self.clock += 1;
        for write in &transaction.write {
            match &write.value {
                Some(value) => {
                    let record = Record::new(&write.key, value, self.clock);
                    self.rows.insert(write.key.clone(), record);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        true
    }

    fn table(&self) -> Table {
        storage::read_table(&self.read("")).expect("readable").0
    }

    fn apply(&mut self, edit: &Edit) -> Result<u64, storage::Error> {
        match table::transaction::plan_edit(edit, &self.read(&edit.id), 1_790_000_000)? {
            Decision::Applied(generation) => Ok(generation),
            Decision::Commit(transaction) => {
                assert!(self.commit(&transaction));
                Ok(transaction.table.generation)
            }
        }
    }
}

fn row(service: &str, share: u32) -> Row {
    let mut row = Row::new(service, "farmers", "pool");
    row.share = share;
    row
}

fn put(id: &str, base: Option<Row>, row: Row) -> Edit {
    Edit::new(id, "ana").with_change(Change::Put { row, base })
}

fn transaction(edit: &Edit, store: &Store) -> Transaction {
    match table::transaction::plan_edit(edit, &store.read(&edit.id), 7) {
        Ok(Decision::Commit(transaction)) => transaction,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_edit_raises_the_generation_by_one() {
    let mut store = Store::default();
    assert_eq!(store.apply(&put("e1", None, row("drafts", 1))), Ok(1));
    assert_eq!(
        store.apply(&put("e2", Some(row("drafts", 1)), row("drafts", 2))),
        Ok(2)
    );
    assert_eq!(store.table(), Table::new(2, vec![row("drafts", 2)]));
}

#[test]
fn a_repeated_edit_is_not_applied_again() {
    let mut store = Store::default();
    let edit = put("e1", None, row("drafts", 1));
    assert_eq!(store.apply(&edit), Ok(1));
    assert_eq!(
        store.apply(&put("e2", Some(row("drafts", 1)), row("drafts", 2))),
        Ok(2)
    );
    let before = store.table();
    assert_eq!(
        store.apply(&edit),
        Ok(1),
        "the generation that the first attempt created"
    );
    assert_eq!(store.table(), before);
}

#[test]
fn an_edit_planned_twice_commits_once() {
    let mut store = Store::default();
    let edit = put("e1", None, row("drafts", 1));
    let first = transaction(&edit, &store);
    let second = transaction(&edit, &store);
    assert!(store.commit(&first));
    assert!(
        !store.commit(&second),
        "the edit was sent again after its acknowledgement was lost"
    );
    assert_eq!(store.apply(&edit), Ok(1));
}

#[test]
fn the_second_edit_of_a_row_gets_a_conflict_with_both_values() {
    let mut store = Store::default();
    store
        .apply(&put("e0", None, row("drafts", 1)))
        .expect("applied");
    let first_edit = put("e1", Some(row("drafts", 1)), row("drafts", 5));
    let second_edit = put("e2", Some(row("drafts", 1)), row("drafts", 9));
    let second_transaction = transaction(&second_edit, &store);
    assert_eq!(store.apply(&first_edit), Ok(2));
    assert!(!store.commit(&second_transaction));
    let conflict = match store.apply(&second_edit) {
        Err(storage::Error::Conflict(conflict)) => conflict,
        other => panic!("{other:?}"),
    };
    assert_eq!(conflict.generation, 2);
    let row_conflict = &conflict.rows[0];
    assert_eq!(row_conflict.base, Some(row("drafts", 1)));
    assert_eq!(row_conflict.current, Some(row("drafts", 5)));
    assert_eq!(row_conflict.wanted, Some(row("drafts", 9)));
    assert_eq!(
        conflict.to_string(),
        "conflict with generation 2\n\
         drafts/farmers/pool: now share 1 -> 5; wanted share 1 -> 9"
    );
    assert_eq!(store.table().rows, [row("drafts", 5)]);
}

#[test]
fn concurrent_edits_of_two_rows_both_apply() {
    let mut store = Store::default();
    let first_edit = transaction(&put("e1", None, row("drafts", 1)), &store);
    let second_edit = put("e2", None, row("lorries", 1));
    let second_transaction = transaction(&second_edit, &store);
    assert!(store.commit(&first_edit));
    assert!(
        !store.commit(&second_transaction),
        "the generation has changed"
    );
    assert_eq!(store.apply(&second_edit), Ok(2));
    assert_eq!(store.table().rows, [row("drafts", 1), row("lorries", 1)]);
}

#[test]
fn changing_a_removed_row_is_a_conflict() {
    let mut store = Store::default();
    store
        .apply(&put("e0", None, row("drafts", 1)))
        .expect("applied");
    let remove = Edit::new("e1", "ana").with_change(Change::Remove {
        base: row("drafts", 1),
    });
    assert_eq!(store.apply(&remove), Ok(2));
    let change = put("e2", Some(row("drafts", 1)), row("drafts", 2));
    let error = store.apply(&change).expect_err("a conflict").to_string();
    assert!(error.contains("now absent; wanted share 1 -> 2"), "{error}");
}

#[test]
fn identical_edits_do_not_conflict() {
    let mut store = Store::default();
    store
        .apply(&put("e1", None, row("drafts", 4)))
        .expect("applied");
    assert_eq!(store.apply(&put("e2", None, row("drafts", 4))), Ok(2));
}

#[test]
fn drain_marks_are_stored() {
    let mut store = Store::default();
    let replica = DrainTarget::Replica("draft-3".to_owned());
    let instance = DrainTarget::Instance("entry-1".to_owned());
    let drain = Edit::new("e1", "ana")
        .with_change(Change::Drain(replica.clone()))
        .with_change(Change::Drain(instance.clone()));
    assert_eq!(store.apply(&drain), Ok(1));
    assert!(store.table().is_replica_draining("draft-3"));
    assert!(store.table().is_instance_draining("entry-1"));
    assert!(!store.table().is_instance_draining("draft-3"));
    let undrain = Edit::new("e2", "ana").with_change(Change::Undrain(replica));
    assert_eq!(store.apply(&undrain), Ok(2));
    assert_eq!(
        store.table().drains.into_iter().collect::<Vec<_>>(),
        [instance]
    );
}

#[test]
fn the_history_contains_the_edit_with_its_note() {
    let mut store = Store::default();
    let edit = put("e1", None, row("drafts", 1)).with_note("harvest");
    store.apply(&edit).expect("applied");
    let record = &store.rows["table/edit/000000000001"];
    let history = table::transaction::read_history(record).expect("readable");
    assert_eq!(
        (history.generation, history.unix_seconds),
        (1, 1_790_000_000)
    );
    assert_eq!(history.edit, edit);
    assert_eq!(store.rows["table/edit-id/e1"].value, "1");
}

#[test]
fn a_transaction_requires_the_versions_it_was_planned_from() {
    let mut store = Store::default();
    store
        .apply(&put("e1", None, row("drafts", 1)))
        .expect("applied");
    let transaction = transaction(&put("e2", Some(row("drafts", 1)), row("drafts", 2)), &store);
    let required: BTreeMap<_, _> = transaction
        .require
        .iter()
        .map(|required| (required.key.as_str(), required.version))
        .collect();
    let expected = BTreeMap::from([
        ("table/row/drafts/farmers/pool", 1),
        ("table/generation", 1),
        ("table/edit-id/e2", 0),
    ]);
    assert_eq!(required, expected);
}

#[test]
fn invalid_edits_are_refused() {
    let store = Store::default();
    let refused = |edit: &Edit| match table::transaction::plan_edit(edit, &store.read(&edit.id), 0)
    {
        Err(storage::Error::Invalid(Report { errors })) => errors,
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(&Edit::new("e1", "ana")), [error::Error::NoChanges]);
    assert!(matches!(
        refused(&put("e1", None, row("drafts", 0)))[0],
        error::Error::OutOfRange { .. }
    ));
    assert!(matches!(
        refused(&put("e 1", None, row("a", 1)))[0],
        error::Error::InvalidName { .. }
    ));
    let duplicate = put("e1", None, row("a", 1)).with_change(Change::Put {
        row: row("a", 2),
        base: None,
    });
    assert!(matches!(
        refused(&duplicate)[0],
        error::Error::DuplicateKey { .. }
    ));
    let other_key = put("e1", Some(row("b", 1)), row("a", 1));
    assert!(matches!(
        refused(&other_key)[0],
        error::Error::InvalidName { .. }
    ));
    let drain =
        Edit::new("e1", "ana").with_change(Change::Drain(DrainTarget::Replica("a/b".to_owned())));
    assert!(matches!(
        refused(&drain)[0],
        error::Error::InvalidName { .. }
    ));
}

#[test]
fn a_table_may_not_exceed_its_maximum_size() {
    let rows = (0..Table::MAX_ROWS).map(|index| row(&format!("s{index}"), 1));
    let table = Table::new(3, rows.collect());
    let mut records = vec![Record::new(storage::GENERATION_KEY, "3", 3)];
    records.extend(table.rows.iter().map(|row| {
        let value = serde_json::to_string(row).expect("serialises");
        Record::new(&storage::row_key(row), &value, 3)
    }));
    let refused = table::transaction::plan_edit(&put("e1", None, row("one-more", 1)), &records, 0);
    assert!(matches!(refused, Err(storage::Error::Invalid(_))));
}

#[test]
fn corrupt_records_are_named() {
    let corrupt = |key: &str, value: &str| match storage::read_table(&[Record::new(key, value, 1)])
    {
        Err(storage::Error::Corrupt { key, .. }) => key,
        other => panic!("{other:?}"),
    };
    assert_eq!(corrupt("table/generation", "x"), "table/generation");
    assert_eq!(corrupt("table/row/a/b/c", "{}"), "table/row/a/b/c");
    assert_eq!(corrupt("table/drain/rack/7", "{}"), "table/drain/rack/7");
    let value = serde_json::to_string(&row("a", 1)).expect("serialises");
    assert_eq!(
        corrupt("table/row/b/farmers/pool", &value),
        "table/row/b/farmers/pool"
    );
}

#[test]
fn absent_records_are_ignored() {
    let records = [Record::new("table/generation", "", 0)];
    assert_eq!(
        storage::read_table(&records).map(|read| read.0),
        Ok(Table::default())
    );
}

#[test]
fn differences_are_described_by_column() {
    let a = Table::new(1, vec![row("a", 1), row("b", 1)]);
    let b = Table::new(2, vec![row("b", 7), row("c", 1)])
        .with_drains([DrainTarget::Replica("draft-3".to_owned())].into());
    let lines = diff::lines(&a, &b);
    assert_eq!(lines[0], "- a/farmers/pool");
    assert_eq!(lines[1], "~ b/farmers/pool: share 1 -> 7");
    assert!(
        lines[2].starts_with("+ c/farmers/pool: share=1 priority=5 "),
        "{}",
        lines[2]
    );
    assert_eq!(lines[3], "+ drain replica draft-3");
    assert_eq!(diff::lines(&b, &b), Vec::<String>::new());
    assert_eq!(diff::lines(&b, &a)[3], "- drain replica draft-3");
}

proptest! {
    #[test]
    fn the_edit_between_two_tables_changes_one_into_the_other(
        a in proptest::collection::btree_map("[a-d]", 1_u32..4, 0..4),
        b in proptest::collection::btree_map("[a-d]", 1_u32..4, 0..4),
    ) {
        let rows = |map: &BTreeMap<String, u32>| -> Vec<Row> {
            map.iter().map(|(name, share)| row(name, *share)).collect()
        };
        let base = Table::new(8, rows(&a));
        let edit = Edit::between("e1", "ana", &base, &rows(&b));
        let next = edit.apply(&base).expect("no conflict with its own base");
        prop_assert_eq!(&next.rows, &rows(&b));
        prop_assert_eq!(next.generation, 9);
        prop_assert_eq!(edit.changes.len(), diff::lines(&base, &next).len());
    }

    #[test]
    fn no_update_is_lost_with_concurrent_edits(
        races in proptest::collection::vec((0_usize..3, 1_u32..100, 0_usize..3), 1..30),
    ) {
        // Each operator plans from a table that may be several edits old; every commit is either
        // refused or based on the current values.
        let mut store = Store::default();
        let mut views = [Table::default(), Table::default(), Table::default()];
        for (number, (operator, share, service)) in races.into_iter().enumerate() {
            let service = ["a", "b", "c"][service];
            let wanted = row(service, share);
            let base = views[operator].row(service, "farmers", "pool").cloned();
            let before = store.table();
            let edit = put(&format!("e{number}"), base.clone(), wanted.clone());
            let current = before.row(service, "farmers", "pool").cloned();
            match store.apply(&edit) {
                Ok(generation) => {
                    prop_assert_eq!(generation, before.generation + 1);
                    prop_assert!(current == base || current == Some(wanted));
                }
                Err(_) => {
                    prop_assert!(current != base);
                    prop_assert_eq!(store.table(), before);
                    views[operator] = store.table();
                }
            }
        }
    }
}
