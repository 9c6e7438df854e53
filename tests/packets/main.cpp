/// Tests of the packet path with separate processes on the loopback interface.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
