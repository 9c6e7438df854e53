/// The stand-in of fabric, callers and upstreams of packet flows.
#include "standins/common/program.h"
#include "standins/packets/packetsprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::PacketsProgram>(argc, argv);
}
