//! Guards against log lines that are parsed as something else than was logged.

use corneltrestle_kernel::logging::Entry;
use test_case::test_case;

const PREFIX: &str = "2026-12-04T10:20:30.000500Z INFO  route: request answered";

fn entry(fields: &str) -> Entry {
    Entry::parse(&format!("{PREFIX}{fields}")).expect("a line of the log")
}

#[test_case("", &[]; "no fields")]
#[test_case(" id=r-1 took_ms=12", &[("id", "r-1"), ("took_ms", "12")]; "plain values")]
#[test_case(r#" cause="no answer in time" id=r-1"#, &[("cause", "no answer in time"), ("id", "r-1")]; "a quoted value")]
#[test_case(r#" cause="status=5 at x" n=1"#, &[("cause", "status=5 at x"), ("n", "1")]; "a value that looks like a field")]
#[test_case(r#" cause="say \"no\" to it""#, &[("cause", r#"say "no" to it"#)]; "quotes in a value")]
#[test_case(r#" cause="ends with \\" id=a"#, &[("cause", r"ends with \"), ("id", "a")]; "a value that ends with a backslash")]
#[test_case(r#" cause="a\nb""#, &[("cause", "a\nb")]; "a line end in a value")]
#[test_case(r#" cause="""#, &[("cause", "")]; "an empty value")]
fn fields_are_parsed(fields: &str, expected: &[(&str, &str)]) {
    let read = entry(fields);
    assert_eq!(read.message, "route: request answered");
    let expected = expected.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    assert_eq!(read.fields, expected.collect());
}

#[test]
fn message_may_contain_an_equals_sign() {
    let line = "2026-12-04T10:20:30Z WARN  group: Join { epoch=3 } ended as Some(Begun) vm=i-1";
    let read = Entry::parse(line).expect("a line of the log");
    assert_eq!(read.message, "group: Join { epoch=3 } ended as Some(Begun)");
    assert_eq!(read.field("vm"), Some("i-1"));
}

#[test_case(""; "nothing")]
#[test_case("thread 'main' panicked at src/main.rs:1:1"; "a panic")]
#[test_case("2026-12-04 INFO  node: started"; "a time without zone")]
fn other_lines_are_none(line: &str) {
    assert_eq!(Entry::parse(line), None);
}
