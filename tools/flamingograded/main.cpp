/// Entry point of the daemon: parses the command line, loads the settings and runs.
#include "net/daemon.h"
#include "net/hostlog.h"
#include "net/loop.h"
#include "net/settingsfile.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace {

constexpr auto exitUsage = 2;
constexpr auto helpHint = "try flamingograded --help";

/// The parsed command line.
struct Options
{
    std::string config;
    bool check = false;
    bool version = false;
};

auto usageError(const std::string &what) -> std::nullopt_t
{
    std::cerr << "flamingograded: " << what << "; " << helpHint << std::endl;
    return std::nullopt;
}

/// Parses the command line. Prints an error and returns null if it is invalid.
auto readOptions(int count, const char **arguments) -> std::optional<Options>
{
    char *config = nullptr;
    int check = 0;
    int version = 0;
    const std::array<poptOption, 5> table { {
            { "config", 'c', POPT_ARG_STRING, &config, 0, "settings file", "FILE" },
            { "check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr },
            { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version", nullptr },
            POPT_AUTOHELP POPT_TABLEEND,
    } };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("flamingograded", count, arguments, table.data(), 0), &poptFreeContext);
    const auto status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, void (*)(void *)> configOwner(config, &std::free);
    if (status < -1) {
        return usageError(std::string(poptBadOption(context.get(), 0)) + ": "
                          + poptStrerror(status));
    }
    if (const auto *extra = poptGetArg(context.get())) {
        return usageError(std::string("unexpected argument ") + extra);
    }
    if (version == 0 && config == nullptr) {
        return usageError("--config is missing");
    }
    return Options { config != nullptr ? config : "", check != 0, version != 0 };
}

} // namespace

auto main(int count, char **arguments) -> int
{
    const auto start = flamingograde::net::Loop::now().mono;
    const auto options = readOptions(count, const_cast<const char **>(arguments));
    if (!options) {
        return exitUsage;
    }
    if (options->version) {
        std::cout << "flamingograded " FLAMINGOGRADE_VERSION << std::endl;
        return EXIT_SUCCESS;
    }
    auto settings = flamingograde::net::readSettingsFile(options->config);
    if (!settings) {
        for (const auto &finding : settings.error()) {
            std::cerr << finding << std::endl;
        }
        return EXIT_FAILURE;
    }
    if (options->check) {
        std::cout << options->config << ": no findings" << std::endl;
        return EXIT_SUCCESS;
    }
    flamingograde::net::openLog(settings->logLevel);
    flamingograde::net::Daemon daemon(std::move(*settings), options->config, start);
    return daemon.run();
}
