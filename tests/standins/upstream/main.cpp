/// The upstream stand-in: back ends that run requests, hold feeds and keep a ledger.
#include "standins/common/program.h"
#include "standins/upstream/upstreamprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::UpstreamProgram>(argc, argv);
}
