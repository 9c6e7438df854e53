/// The proxy stand-in: the fabric, and the place where faults are injected.
#include "standins/common/program.h"
#include "standins/proxy/proxyprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::ProxyProgram>(argc, argv);
}
