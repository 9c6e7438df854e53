/// The store stand-in: the platform's metadata store.
#include "standins/common/program.h"
#include "standins/store/storeprogram.h"

auto main(int argc, char **argv) -> int
{
    return standins::runProgram<standins::StoreProgram>(argc, argv);
}
