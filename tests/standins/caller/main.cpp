/// The caller stand-in: loads of requests, feeds and uploads, and the check of their answers.
#include "standins/caller/callerprogram.h"
#include "standins/common/program.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::CallerProgram>(argc, argv);
}
