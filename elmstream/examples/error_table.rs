//! Prints the table of result codes for `docs/ERRORS.md`.

use elmstream::code::Code;

fn main() {
    println!("| number | name | HTTP | outcome | meaning |\n|---|---|---|---|---|");
    for code in Code::ALL {
        let status = if code.number() < 2000 { code.http_status().to_string() } else { "-".into() };
        let (number, outcome, text) = (code.number(), code.outcome().as_str(), code.text());
        println!("| {number} | {code:?} | {status} | {outcome} | {text} |");
    }
}
