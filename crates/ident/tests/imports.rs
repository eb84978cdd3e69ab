//! The modules of a crate must not import each other in a cycle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

type Graph = BTreeMap<String, BTreeSet<String>>;

/// Folders that contain crates, relative to this crate.
const CRATE_FOLDERS: [&str; 2] = ["..", "../.."];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// The module path of a file: `cell::admit` for `cell/admit.rs` in `src`.
fn module(src: &Path, file: &Path) -> String {
    let name = file.strip_prefix(src).unwrap().with_extension("");
    let name = name.to_str().unwrap().replace('/', "::");
    name.strip_suffix("::mod").unwrap_or(&name).to_owned()
}

/// The modules of the crate that each module imports from.
fn graph(src: &Path) -> Graph {
    let mut files = Vec::new();
    collect_sources(src, &mut files);
    let modules: BTreeSet<String> = files.iter().map(|file| module(src, file)).collect();
    let mut graph = Graph::new();
    for file in &files {
        let own = module(src, file);
        let text = fs::read_to_string(file).unwrap();
        let lines = text.lines().map(|line| line.trim_start_matches("pub "));
        let imported = lines.filter_map(|line| line.strip_prefix("use crate::"));
        let modules_used = imported.filter_map(|path| {
            let path = path.trim_end_matches(';');
            let parent = path.rsplit_once("::").map_or("", |(parent, _)| parent);
            [path, parent]
                .into_iter()
                .find(|name| modules.contains(*name))
        });
        let modules_used = modules_used.filter(|name| *name != own).map(str::to_owned);
        graph.insert(own.clone(), modules_used.collect());
    }
    graph
}

/// An import path from `module` back to itself, if there is one.
fn find_cycle(graph: &Graph, module: &str) -> Option<Vec<String>> {
    let mut paths = vec![vec![module.to_owned()]];
    let mut seen = BTreeSet::new();
    while let Some(path) = paths.pop() {
        for next in graph.get(path.last()?).into_iter().flatten() {
            let longer = [path.as_slice(), std::slice::from_ref(next)].concat();
            if next == module {
                return Some(longer);
            }
            if seen.insert(next.clone()) {
                paths.push(longer);
            }
        }
    }
    None
}

#[test]
fn no_crate_has_an_import_cycle() {
    let mut crates = 0;
    for folder in CRATE_FOLDERS {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
        for entry in fs::read_dir(folder).unwrap() {
            let src = entry.unwrap().path().join("src");
            if !src.is_dir() {
                continue;
            }
            crates += 1;
            let graph = graph(&src);
            for module in graph.keys() {
                assert_eq!(find_cycle(&graph, module), None, "in {}", src.display());
            }
        }
    }
    assert!(crates > 15, "only {crates} crates were found");
}

#[test]
fn a_cycle_is_found() {
    let edges = [("a", "b"), ("b", "c"), ("c", "b"), ("d", "a")];
    let mut graph = Graph::new();
    for (from, to) in edges {
        let to = to.to_owned();
        graph.entry(from.to_owned()).or_default().insert(to);
    }
    assert_eq!(find_cycle(&graph, "b").unwrap(), ["b", "c", "b"]);
    assert_eq!(find_cycle(&graph, "d"), None);
}
