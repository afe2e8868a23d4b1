//! The configuration of Bühnenverlag Hollerieth: `cargo run --example hollerieth > hollerieth.json`.

use std::process::ExitCode;

use peridotdeck_policy::{Class, Organisation, Policy, Service};

fn main() -> ExitCode {
    let textmodell = (0..10).fold(Service::model("textmodell", "perusal"), |service, index| {
        let place = ["muenchen-nord", "nuernberg-ost", "augsburg-west"][index % 3];
        service.sized_endpoint(place, &format!("127.0.0.1:{}", 9_100 + index), 8, 2)
    });
    let portal = Service::plain("verleih-portal", "catalogue-lookup")
        .unrepeatable("/licences", "licence-booking")
        .repeatable("/catalogue", "catalogue-lookup")
        .sized_endpoint("muenchen-nord", "127.0.0.1:9200", 32, 32)
        .sized_endpoint("nuernberg-ost", "127.0.0.1:9201", 32, 32)
        .sized_endpoint("augsburg-west", "127.0.0.1:9202", 32, 32);
    let policy = Policy::new()
        .place("muenchen-nord", "Oberbayern")
        .place("nuernberg-ost", "Franken")
        .place("augsburg-west", "Schwaben")
        .class(
            Class::interactive("cast-breakdown", 0)
                .first_token_ms(440)
                .token_gap_ms(35),
        )
        .class(Class::interactive("licence-booking", 0).whole_ms(1_500))
        .class(Class::interactive("catalogue-lookup", 1).whole_ms(800))
        .class(
            Class::interactive("perusal", 2)
                .first_token_ms(1_200)
                .token_gap_ms(50),
        )
        .class(Class::bulk("summary", 4).whole_ms(8 * 3_600_000))
        .organisation(
            Organisation::named("landesverband")
                .key("landesverband-key")
                .weight(4)
                .rate(100, 200),
        )
        .organisation(Organisation::named("buehne-altdorf").key("altdorf-key"))
        .service(textmodell)
        .service(portal);
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
