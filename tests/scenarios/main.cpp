/// Runs each scenario of this folder as a test case of its file's name.
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

/// Set by the first interruption: the remaining cases do not run.
auto interruption() -> int &
{
    static int signal = 0;
    return signal;
}

/// One scenario as a Catch2 test.
class ScenarioTest : public Catch::ITestInvoker
{
public:
    explicit ScenarioTest(fs::path path) : file(std::move(path)) {}

    auto invoke() const -> void override
    {
        if (interruption() != 0) {
            FAIL("interrupted");
        }
        try {
            harness::Loop loop;
            StepRunner runner(loop, ScenarioFile(this->file));
            const std::string failure = runner.run();
            INFO(runner.report());
            CHECK(failure == "");
        } catch (const harness::Interrupted &stop) {
            interruption() = stop.signal;
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
    if (interruption() != 0) {
        std::signal(interruption(), SIG_DFL);
        std::raise(interruption());
    }
    return result;
}
