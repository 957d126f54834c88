//! docs/PROOFS.md names only tests that exist, and makes no claim without a test.

use std::fs;
use std::path::{Path, PathBuf};

const VERDICTS: [&str; 3] = ["proved", "partly", "not proved"];
const CELLS: usize = 5;

/// A row of the table. Its cells: the point, the mechanism, the tests, the trial and the verdict.
#[derive(Debug)]
struct Row {
    point: String,
    tests: Vec<TestName>,
    trial: String,
    verdict: String,
}

/// A test as named on the page: `package::file::function`.
#[derive(Debug)]
struct TestName {
    file: String,
    function: String,
    package: String,
}

fn crates_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn read_rows() -> Vec<Row> {
    let page = crates_folder().join("../docs/PROOFS.md");
    let page = fs::read_to_string(page).unwrap();
    let lines = page.lines().filter(|line| line.starts_with('|'));
    let lines = lines.filter(|line| !line.starts_with("|---") && !line.starts_with("| point |"));
    lines.map(parse_row).collect()
}

fn parse_row(line: &str) -> Row {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    assert_eq!(cells.len(), CELLS, "a row has {CELLS} cells: {line}");
    Row {
        point: cells[0].to_owned(),
        tests: cells[2].split('`').filter_map(parse_name).collect(),
        trial: cells[3].to_owned(),
        verdict: cells[4].to_owned(),
    }
}

fn parse_name(quoted: &str) -> Option<TestName> {
    let mut parts = quoted.split("::");
    let (package, file) = (parts.next()?, parts.next()?);
    let function = parts.next()?;
    assert_eq!(
        parts.next(),
        None,
        "{quoted} is not `package::file::function`"
    );
    Some(TestName {
        file: file.to_owned(),
        function: function.to_owned(),
        package: package.to_owned(),
    })
}

/// Returns all files with this name in a folder and its subfolders.
fn find_files(folder: &Path, name: &str) -> Vec<PathBuf> {
    let Ok(items) = fs::read_dir(folder) else {
        return Vec::new();
    };
    let paths = items.map(|item| item.unwrap().path());
    let found = paths.flat_map(|path| {
        if path.is_dir() {
            find_files(&path, name)
        } else {
            let is_named = path.file_name().is_some_and(|file| file == name);
            is_named.then_some(path).into_iter().collect()
        }
    });
    found.collect()
}

/// Returns whether a source file contains this function as a test that is not ignored.
fn contains_test(source: &str, function: &str) -> bool {
    let signature = format!("fn {function}(");
    let lines: Vec<&str> = source.lines().map(str::trim).collect();
    let is_head = |line: &&str| {
        let line = line.strip_prefix("async ").unwrap_or(line);
        line.starts_with(&signature)
    };
    let found = lines.iter().position(is_head);
    found.is_some_and(|place| {
        let lines = lines[..place].iter().rev();
        let attributes: Vec<&&str> = lines.take_while(|line| line.starts_with("#[")).collect();
        let is_test = |line: &&&str| **line == "#[test]" || line.starts_with("#[tokio::test");
        let is_ignored = |line: &&&str| line.starts_with("#[ignore");
        attributes.iter().any(is_test) && !attributes.iter().any(is_ignored)
    })
}

fn test_exists(test: &TestName) -> bool {
    let folder = match test.package.as_str() {
        // The platform package lies outside the `crates` folder, because only this package may use
        // the names of the platform.
        "masticsill_platform" => crates_folder().join("../platform/tests"),
        package => crates_folder().join(package).join("tests"),
    };
    let files = find_files(&folder, &format!("{}.rs", test.file));
    files
        .iter()
        .any(|file| contains_test(&fs::read_to_string(file).unwrap(), &test.function))
}

#[test]
fn every_test_named_exists() {
    let rows = read_rows();
    assert!(!rows.is_empty(), "the page has no rows");
    let tests = rows.iter().flat_map(|row| &row.tests);
    let missing: Vec<&TestName> = tests.filter(|test| !test_exists(test)).collect();
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn every_claim_has_a_test_and_a_trial() {
    for row in read_rows() {
        let verdict = row.verdict.split(':').next().unwrap_or_default();
        let (verdict, rest) = (verdict, &row.verdict[verdict.len()..]);
        assert!(VERDICTS.contains(&verdict), "{row:?}");
        let is_claimed = verdict != "not proved";
        assert!(!is_claimed || !row.tests.is_empty(), "{row:?}");
        assert!(verdict != "proved" || !row.trial.is_empty(), "{row:?}");
        // Any other verdict must state what is missing.
        assert!(verdict == "proved" || rest.len() > 2, "{row:?}");
        assert!(!row.point.is_empty(), "{row:?}");
    }
}

#[test]
fn a_missing_or_ignored_test_is_noticed() {
    let source = "#[test]\nfn runs() {}\n#[test]\n#[ignore]\nfn rests() {}\nfn helps() {}\n\
                  #[tokio::test]\nasync fn waits() {}\n";
    let cases = [
        ("runs", true),
        ("waits", true),
        ("rests", false),
        ("helps", false),
        ("run", false),
    ];
    for (function, is_found) in cases {
        assert_eq!(contains_test(source, function), is_found, "{function}");
    }
}
