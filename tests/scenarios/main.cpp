/// Registers each scenario file of this folder as a test case that has the name of the file.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "harness/loop.h"
#include "scenariofile.h"
#include "steprunner.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <vector>

namespace {

namespace fs = std::filesystem;

/// Returns the signal that interrupted a scenario, or 0. Once it is set, the remaining cases fail
/// without running.
auto interruptSignal() -> int &
{
    static int signal = 0;
    return signal;
}

/// Runs one scenario as a Catch2 test.
class ScenarioTest : public Catch::ITestInvoker
{
public:
    explicit ScenarioTest(fs::path path) : file(std::move(path)) {}

    auto invoke() const -> void override
    {
        if (interruptSignal() != 0) {
            FAIL("interrupted");
        }
        try {
            harness::Loop loop;
            StepRunner runner(loop, ScenarioFile(this->file));
            const std::string failure = runner.run();
            INFO(runner.report());
            CHECK(failure == "");
        } catch (const harness::Interrupted &stop) {
            interruptSignal() = stop.signal;
        }
    }

private:
    fs::path file;
};

auto registerScenarios(const fs::path &folder) -> void
{
    std::vector<fs::path> files;
    for (const auto &entry : fs::directory_iterator(folder)) {
        if (entry.path().extension() == ".toml") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    for (const fs::path &file : files) {
        Catch::AutoReg(new ScenarioTest(file), CATCH_INTERNAL_LINEINFO, "",
                       Catch::NameAndTags(file.stem().string(), ScenarioFile(file).tags()));
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    registerScenarios(FLAMINGOGRADE_SCENARIOS);
    const int result = Catch::Session().run(argc, argv);
    if (interruptSignal() != 0) {
        std::signal(interruptSignal(), SIG_DFL);
        std::raise(interruptSignal());
    }
    return result;
}
