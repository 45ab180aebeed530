//! Tests of the parent module.

use super::*;

#[test]
fn malformed_quotas_and_customers_are_rejected() {
    let read = |text| quota(text, 4.0, 5.0);
    assert_eq!(read("units=2,spread=3,first=1"), Some((2.0, 3.0)));
    assert_eq!(read("units=1.5, spread=5, first=4"), Some((1.5, 5.0)));
    for bad in [
        "units=0,spread=3,first=1",
        "units=-1,spread=3,first=1",
        "units=+1,spread=3,first=1",
        "units=1e0,spread=3,first=1",
        "units=NaN,spread=3,first=1",
        "units=inf,spread=3,first=1",
        "units=4.5,spread=3,first=1",
        "units=1,units=1,spread=3,first=1",
        "units=1,spread=0,first=1",
        "units=1,spread=2.5,first=1",
        "units=1,spread=6,first=1",
        "units=1,spread=3,first=5",
        "units=1,spread=3,first=0.5",
        "units=1,spread=3",
        "units",
        "",
    ] {
        assert_eq!(read(bad), None, "{bad}");
    }
    assert_eq!(customer("a=1&customer=00000000b4d65521"), Some(0xb4d6_5521));
    for bad in [
        "customer=zz",
        "customer=b4d65521",
        "customer=+0000000b4d65521",
        "customer=0000000200000000",
        "customer=00000000b4d65521&customer=00000000b4d65521",
        "customer=00000000b4d655211",
        "",
    ] {
        assert_eq!(customer(bad), None, "{bad}");
    }
}
