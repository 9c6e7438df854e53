/// The main function of the stand-ins: the processes that take the place of the product's
/// environment in tests.
#pragma once

#include "standins/common/asio.h"
#include "standins/common/control.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace standins {

/// Runs a stand-in until the end of its standard input.
///
/// `Program` is constructed from the event loop, the control and the options, which are the JSON
/// object in the first argument (an empty object if there is none). Its `ready()` returns the
/// fields of the `ready` event.
/// @returns the exit status; a failure is printed to standard error.
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
