/// The upstream stand-in: back ends that run requests, serve feeds and record each run in a ledger.
#include "standins/common/program.h"
#include "standins/upstream/upstreamprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::UpstreamProgram>(argc, argv);
}
