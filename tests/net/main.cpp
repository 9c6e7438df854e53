/// Runs the transport tests, which use free ports on the loopback interface.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <csignal>

auto main(int count, char **arguments) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    return Catch::Session().run(count, arguments);
}
