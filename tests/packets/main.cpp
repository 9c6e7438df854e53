/// The packet path over real processes on loopback.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
