/// Runs a demo: a deployment under load and planned changes, then a report on the guarantees.
#include "demo.h"
#include "packetdemo.h"

#include "harness/loop.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace {

/// Runs the demo of a settings file, or the packet demo. @returns whether all guarantees held.
auto runDemo(const std::string &fileOrOption) -> bool
{
    harness::Loop loop;
    return fileOrOption == "--packets" ? PacketDemo(loop).run() : Demo(loop, fileOrOption).run();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: demo FILE | --packets\n";
        return EXIT_FAILURE;
    }
    int signal = 0;
    try {
        return runDemo(argv[1]) ? EXIT_SUCCESS : EXIT_FAILURE;
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
