/// The packets stand-in: the network fabric, the callers and the upstreams of packet flows.
#include "standins/common/program.h"
#include "standins/packets/packetsprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::PacketsProgram>(argc, argv);
}
