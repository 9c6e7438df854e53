/// The main function of the unit tests.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
