/// A scenario's script.
#pragma once

#include "harness/deployment.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>

/// A TOML file with a deployment and the steps to take. docs: tests/scenarios/README.md.
class ScenarioFile
{
public:
    /// Reads the file. Throws `std::runtime_error` with the place of a fault.
    explicit ScenarioFile(const std::filesystem::path &file);

    /// Returns Catch2's tags, such as "[feeds][drain]".
    [[nodiscard]] auto tags() const -> std::string;

    /// Returns the deployment: the file's own, or the one it names with its changes.
    [[nodiscard]] auto deployment() const -> harness::Deployment;

    [[nodiscard]] auto steps() const -> const nlohmann::json & { return this->content.at("step"); }

private:
    std::filesystem::path folder;
    nlohmann::json content;
};
