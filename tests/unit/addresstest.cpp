/// Tests for parsing and formatting addresses.
#include <flamingograde/address.h>

#include <catch2/catch.hpp>

using namespace flamingograde;

TEST_CASE("formatting a parsed address returns the same text", "[address]")
{
    for (const auto *text : { "10.0.0.1:80", "1.2.3.4:0", "255.255.255.255:65535" }) {
        const auto address = Address::parse(text);
        REQUIRE(address);
        CHECK(address->toString() == text);
    }
    CHECK(Address::parse("10.0.0.1:80") == Address { 0x0A000001, 80 });
    CHECK(Address { 0x0A000001, 80 }.ipText() == "10.0.0.1");
}

TEST_CASE("parsing an invalid address returns an error message", "[address]")
{
    for (const auto *text :
         { "", ":", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0:80", "10.0.0.256:80", "10.0.0.1:65536",
           "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1: 80", "10.0.0.1:80 ", " 10.0.0.1:80",
           "010.0.0.1:80", "0.0.0.0:80", "host:80", "[::1]:80", "10.0.0.1:8x" }) {
        INFO(text);
        const auto address = Address::parse(text);
        REQUIRE_FALSE(address);
        CHECK_FALSE(address.error().empty());
    }
}
