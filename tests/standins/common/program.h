/// The main function of a stand-in.
#pragma once

#include "standins/common/asio.h"
#include "standins/common/control.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace standins {

/// Runs a stand-in until its standard input ends.
///
/// `Program` is constructed from the loop, the control and the options, and its `ready()` returns
/// the fields of the `ready` event.
/// @returns the exit status.
template<typename Program>
auto runProgram(int argc, char **argv) -> int
{
    try {
        const Json options = argc > 1 ? Json::parse(argv[1]) : Json::object();
        asio::io_context loop(1);
        Control control(loop);
        Program program(loop, control, options);
        control.ready(program.ready());
        loop.run();
        return EXIT_SUCCESS;
    } catch (const std::exception &error) {
        std::cerr << argv[0] << ": " << error.what() << std::endl;
        return EXIT_FAILURE;
    }
}

} // namespace standins
