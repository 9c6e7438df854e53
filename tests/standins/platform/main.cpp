/// The platform stand-in: the configuration service and the host list.
#include "standins/common/program.h"
#include "standins/platform/platformprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::PlatformProgram>(argc, argv);
}
