//! Table files and their checks.

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;
use table::Table;
use table::error::Error;
use table::error::Location;
use table::file;
use table::limits;
use table::row::Row;

const KRMIVA: &str = "\
- service: drafts
  class: farmers
  pool: drafting-9b
  share: 3
  priority: 2
  ttft_ms: 1900
  tbt_ms: 29
  max_wait_ms: 8000
  waste_percent: 80
- service: lorries
  class: farmers
  pool: ordering
  priority: 0
  decode_ceiling: 60
  repeatable: false
";

fn error(text: &str) -> Error {
    let report = file::parse(text).expect_err("an error");
    report.errors[0].clone()
}

#[test]
fn rows_are_read_with_defaults() {
    let rows = file::parse(KRMIVA).expect("valid");
    let drafts = &rows[0];
    assert_eq!(drafts.key_parts(), ("drafts", "farmers", "drafting-9b"));
    assert_eq!(
        (drafts.share, drafts.priority, drafts.waste_percent),
        (3, 2, 80)
    );
    assert_eq!(
        (drafts.ttft_ms, drafts.tbt_ms, drafts.max_wait_ms),
        (1900, 29, 8000)
    );
    assert_eq!(drafts.decode_ceiling, limits::DEFAULT_DECODE_CEILING);
    assert!(drafts.repeatable);
    let mut lorries = Row::new("lorries", "farmers", "ordering");
    lorries.priority = 0;
    lorries.decode_ceiling = 60;
    lorries.repeatable = false;
    assert_eq!(rows[1], lorries);
    assert_eq!(
        lorries.id(),
        ident::Row::from_parts("lorries", "farmers", "ordering")
    );
}

#[test]
fn the_default_wait_is_at_least_the_target() {
    let rows = file::parse("- {service: a, class: b, pool: c, ttft_ms: 60000}").expect("valid");
    assert_eq!(rows[0].max_wait_ms, 60_000);
}

#[test]
fn an_empty_list_is_valid() {
    assert_eq!(file::parse("[]"), Ok(Vec::new()));
    assert_eq!(file::to_yaml(&[]), "[]\n");
}

#[rstest]
#[case("share: 0", "share", 0)]
#[case("share: -3", "share", -3)]
#[case("priority: 10", "priority", 10)]
#[case("ttft_ms: 0", "ttft_ms", 0)]
#[case("tbt_ms: 0", "tbt_ms", 0)]
#[case("max_wait_ms: -1", "max_wait_ms", -1)]
#[case("prefill_ceiling: 0", "prefill_ceiling", 0)]
#[case("decode_ceiling: 0", "decode_ceiling", 0)]
#[case("decode_ceiling: 99999999999", "decode_ceiling", 99_999_999_999)]
#[case("retry_percent: 101", "retry_percent", 101)]
#[case("waste_percent: 300", "waste_percent", 300)]
fn a_number_out_of_range_is_located(#[case] line: &str, #[case] field: &str, #[case] found: i64) {
    let text = format!("{KRMIVA}- service: stock\n  class: agents\n  pool: ordering\n  {line}\n");
    match error(&text) {
        Error::OutOfRange {
            location,
            value,
            min,
            max,
        } => {
            let expected = Location::new("stock/agents/ordering", field).with_line(Some(19));
            assert_eq!(location, expected);
            assert_eq!(value, found);
            assert!(value < min || value > max);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_wait_below_the_target_is_a_contradiction() {
    let text = KRMIVA.replace("max_wait_ms: 8000", "max_wait_ms: 1000");
    let invalid = error(&text);
    assert!(matches!(
        invalid,
        Error::Contradiction {
            other: "ttft_ms",
            bound: 1900,
            ..
        }
    ));
    assert_eq!(
        invalid.to_string(),
        "line 8, row drafts/farmers/drafting-9b, column max_wait_ms: 1000 is below ttft_ms \
         (1900); raise it to 1900 or lower ttft_ms"
    );
}

#[test]
fn a_duplicate_key_names_both_lines() {
    let text = format!("{KRMIVA}- pool: ordering\n  class: farmers\n  service: lorries\n");
    let invalid = error(&text);
    let location = Location::new("lorries/farmers/ordering", "").with_line(Some(16));
    assert_eq!(
        invalid,
        Error::DuplicateKey {
            location,
            first: Some(10)
        }
    );
}

#[test]
fn an_unknown_column_is_refused_with_its_line() {
    let text = KRMIVA.replace("tbt_ms: 29", "tbt: 29");
    match error(&text) {
        Error::Syntax { location, found } => {
            assert_eq!(location.line, Some(7));
            assert!(found.contains("unknown field `tbt`"), "{found}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_value_of_the_wrong_type_is_refused_with_its_column() {
    let text = KRMIVA.replace("tbt_ms: 29", "tbt_ms: fast");
    match error(&text) {
        Error::Syntax { location, .. } => {
            assert_eq!(location, Location::new("", "tbt_ms").with_line(Some(7)));
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case("a/b")]
#[case("two words")]
#[case("čvarci")]
#[case("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case("''")]
fn an_invalid_name_is_refused(#[case] class: &str) {
    let text = KRMIVA.replacen("class: farmers", &format!("class: {class}"), 1);
    match error(&text) {
        Error::InvalidName { location, .. } => {
            assert_eq!((location.line, &*location.field), (Some(2), "class"));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_missing_key_column_is_named() {
    let text = KRMIVA.replacen("  pool: drafting-9b\n", "", 1);
    let location = Location::new("drafts/farmers/?", "pool").with_line(Some(1));
    assert_eq!(error(&text), Error::MissingColumn { location });
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = KRMIVA
        .replace("share: 3", "share: 0")
        .replace("priority: 0", "priority: 11");
    let report = file::parse(&text).expect_err("errors");
    let lines: Vec<_> = report
        .errors
        .iter()
        .map(|e| e.location().and_then(|p| p.line))
        .collect();
    assert_eq!(lines, [Some(4), Some(13)]);
}

#[test]
fn errors_in_flow_style_are_located_by_row() {
    match error("[{service: a, class: b, pool: c, share: 0}]") {
        Error::OutOfRange { location, .. } => assert_eq!(location, Location::new("a/b/c", "share")),
        other => panic!("{other:?}"),
    }
}

#[test]
fn too_many_rows_are_refused() {
    let row = |index| format!("- {{service: s{index}, class: c, pool: p}}\n");
    let text: String = (0..=Table::MAX_ROWS).map(row).collect();
    assert_eq!(
        error(&text),
        Error::TooManyRows {
            rows: Table::MAX_ROWS + 1
        }
    );
    let text: String = (0..Table::MAX_ROWS).map(row).collect();
    assert_eq!(
        file::parse(&text).map(|rows| rows.len()),
        Ok(Table::MAX_ROWS)
    );
}

#[test]
fn too_long_a_file_is_refused() {
    let text = " ".repeat(file::MAX_BYTES + 1);
    assert!(matches!(error(&text), Error::TooLong { .. }));
}

fn rows() -> impl Strategy<Value = Vec<Row>> {
    let numbers = (
        1_u32..1_000,
        0_u8..10,
        1_u32..5_000,
        1_u32..500,
        0_u32..9_000,
        0_u8..=100,
    );
    let row = (
        "[a-zA-Z0-9._-]{1,12}",
        "[0-9]{1,3}|true|no|~",
        numbers,
        any::<bool>(),
    );
    let row = row.prop_map(|(service, class, numbers, repeatable)| {
        let (share, priority, ttft_ms, tbt_ms, wait, waste_percent) = numbers;
        let class = class.replace('~', "null");
        let mut row = Row::new(&service, &class, "pool");
        row.share = share;
        row.priority = priority;
        row.ttft_ms = ttft_ms;
        row.tbt_ms = tbt_ms;
        row.max_wait_ms = ttft_ms + wait;
        row.waste_percent = waste_percent;
        row.repeatable = repeatable;
        row
    });
    proptest::collection::vec(row, 0..20).prop_map(|rows| {
        let mut rows = Table::new(0, rows).rows;
        rows.dedup_by(|a, b| a.key_parts() == b.key_parts());
        rows
    })
}

proptest! {
    #[test]
    fn formatted_rows_parse_to_the_same_rows(rows in rows()) {
        prop_assert_eq!(file::parse(&file::to_yaml(&rows)), Ok(rows));
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "[ -~\n]{0,200}") {
        let _ = file::parse(&text);
    }
}
