/// The platform stand-in: serves the table of the configuration service and the list of hosts.
#include "standins/common/program.h"
#include "standins/platform/platformprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::PlatformProgram>(argc, argv);
}
