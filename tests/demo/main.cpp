/// Runs the demo: a whole deployment under load and change, then what was kept and what was not.
#include "demo.h"

#include "harness/loop.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: demo FILE\n";
        return EXIT_FAILURE;
    }
    int signal = 0;
    try {
        harness::Loop loop;
        return Demo(loop, argv[1]).run() ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const harness::Interrupted &stop) {
        signal = stop.signal;
    } catch (const std::exception &error) {
        std::cerr << "demo: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
    std::signal(signal, SIG_DFL);
    std::raise(signal);
    return EXIT_FAILURE;
}
