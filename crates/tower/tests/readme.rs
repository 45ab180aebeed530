//! Checks that the Rust block in the README is the compiled example.

#[test]
fn readme_shows_the_example_as_it_is() {
    let (readme, example) = (include_str!("../../../README.md"), include_str!("../examples/first.rs"));
    let shown =
        readme.split("```rust\n").nth(1).and_then(|s| s.split("```").next()).expect("a block of Rust");
    // The example is formatted by rustfmt and the README is not, so white space is ignored.
    let words = |text: &str| text.split_whitespace().collect::<Vec<_>>().join("").replace(",)", ")");
    let body = example.split_once("\n\n").expect("a header").1;
    assert_eq!(words(shown), words(body));
}
