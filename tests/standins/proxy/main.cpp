/// The proxy stand-in: forwards TCP connections like the network fabric and injects network faults.
#include "standins/common/program.h"
#include "standins/proxy/proxyprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::ProxyProgram>(argc, argv);
}
