/// The caller stand-in: a test client that sends requests, uploads and feeds and checks the
/// answers.
#include "standins/caller/callerprogram.h"
#include "standins/common/program.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::CallerProgram>(argc, argv);
}
