//! No circle of imports inside a crate: modules can be read one after the other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

type Graph = BTreeMap<String, BTreeSet<String>>;

/// The folders with crates, from this one's.
const PLACES: [&str; 2] = ["..", "../.."];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// `cell/admit.rs` below `src` is the module `cell::admit`.
fn module(src: &Path, file: &Path) -> String {
    let name = file.strip_prefix(src).unwrap().with_extension("");
    let name = name.to_str().unwrap().replace('/', "::");
    name.strip_suffix("::mod").unwrap_or(&name).to_owned()
}

/// Which modules of the crate each module imports from.
fn graph(src: &Path) -> Graph {
    let mut files = Vec::new();
    sources(src, &mut files);
    let modules: BTreeSet<String> = files.iter().map(|file| module(src, file)).collect();
    let mut graph = Graph::new();
    for file in &files {
        let own = module(src, file);
        let text = fs::read_to_string(file).unwrap();
        let lines = text.lines().map(|line| line.trim_start_matches("pub "));
        let imported = lines.filter_map(|line| line.strip_prefix("use crate::"));
        let named = imported.filter_map(|path| {
            let path = path.trim_end_matches(';');
            let parent = path.rsplit_once("::").map_or("", |(parent, _)| parent);
            [path, parent]
                .into_iter()
                .find(|name| modules.contains(*name))
        });
        let named = named.filter(|name| *name != own).map(str::to_owned);
        graph.insert(own.clone(), named.collect());
    }
    graph
}

/// A way from `module` back to itself, if there is one.
fn circle(graph: &Graph, module: &str) -> Option<Vec<String>> {
    let mut ways = vec![vec![module.to_owned()]];
    let mut seen = BTreeSet::new();
    while let Some(way) = ways.pop() {
        for next in graph.get(way.last()?).into_iter().flatten() {
            let longer = [way.as_slice(), std::slice::from_ref(next)].concat();
            if next == module {
                return Some(longer);
            }
            if seen.insert(next.clone()) {
                ways.push(longer);
            }
        }
    }
    None
}

#[test]
fn no_crate_has_a_circle_of_imports() {
    let mut crates = 0;
    for place in PLACES {
        let place = Path::new(env!("CARGO_MANIFEST_DIR")).join(place);
        for entry in fs::read_dir(place).unwrap() {
            let src = entry.unwrap().path().join("src");
            if !src.is_dir() {
                continue;
            }
            crates += 1;
            let graph = graph(&src);
            for module in graph.keys() {
                assert_eq!(circle(&graph, module), None, "in {}", src.display());
            }
        }
    }
    assert!(crates > 15, "only {crates} crates were found");
}

#[test]
fn a_circle_is_found() {
    let edges = [("a", "b"), ("b", "c"), ("c", "b"), ("d", "a")];
    let mut graph = Graph::new();
    for (from, to) in edges {
        let to = to.to_owned();
        graph.entry(from.to_owned()).or_default().insert(to);
    }
    assert_eq!(circle(&graph, "b").unwrap(), ["b", "c", "b"]);
    assert_eq!(circle(&graph, "d"), None);
}
