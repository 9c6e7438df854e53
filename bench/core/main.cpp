/// The main function of the benches of the library.
#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
