//! The configuration of Sohar Hearthware Refills: `cargo run --example sohar > sohar.json`.

use std::process::ExitCode;

use peridotdeck_policy::{Class, Organisation, Policy, Service};

fn main() -> ExitCode {
    let wickmind = (0..10).fold(Service::model("wickmind", "counter"), |service, index| {
        let place = ["sohar-a", "nizwa-a", "salalah-a"][index % 3];
        service.sized_endpoint(place, &format!("127.0.0.1:{}", 9_300 + index), 8, 2)
    });
    let desk = ["sohar-a", "nizwa-a", "salalah-a"]
        .iter()
        .zip(9_400..)
        .fold(
            Service::plain("refill-desk", "stock-check")
                .unrepeatable("/reorders", "refill-reorder")
                .repeatable("/stock", "stock-check"),
            |service, (place, port)| {
                service.sized_endpoint(place, &format!("127.0.0.1:{port}"), 32, 32)
            },
        );
    let policy = Policy::new()
        .place("sohar-a", "Batinah")
        .place("nizwa-a", "Dakhiliya")
        .place("salalah-a", "Dhofar")
        .class(
            Class::interactive("counter", 0)
                .first_token_ms(440)
                .token_gap_ms(35),
        )
        .class(Class::interactive("refill-reorder", 0).whole_ms(1_500))
        .class(Class::interactive("stock-check", 1).whole_ms(800))
        .class(
            Class::bulk("bulletin-draft", 4)
                .whole_ms(8 * 3_600_000)
                .min_share_percent(10),
        )
        .organisation(
            Organisation::named("souq-matrah")
                .key("matrah-key")
                .weight(4)
                .rate(100, 200),
        )
        .organisation(Organisation::named("shop-barka").key("barka-key"))
        .service(wickmind)
        .service(desk);
    match policy.print() {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            ExitCode::FAILURE
        }
    }
}
