/// Entry point of the library benchmarks.
#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
