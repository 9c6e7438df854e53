/// Reads the script of a scenario.
#pragma once

#include "harness/deployment.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>

/// A TOML file with a deployment and the steps to run. tests/scenarios/README.md has the format.
class ScenarioFile
{
public:
    /// Reads the file. Throws `std::runtime_error` with the position of a syntax error.
    explicit ScenarioFile(const std::filesystem::path &file);

    /// Returns the Catch2 tags, such as "[feeds][drain]".
    [[nodiscard]] auto tags() const -> std::string;

    /// Returns the deployment that the file contains or names, with the file's table `change`
    /// merged into it.
    [[nodiscard]] auto deployment() const -> harness::Deployment;

    [[nodiscard]] auto steps() const -> const nlohmann::json & { return this->content.at("step"); }

private:
    std::filesystem::path folder;
    nlohmann::json content;
};
