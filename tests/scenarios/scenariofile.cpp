#include "scenariofile.h"

#include "harness/tomlfile.h"

ScenarioFile::ScenarioFile(const std::filesystem::path &file)
    : folder(file.parent_path()), content(harness::readToml(file))
{}

auto ScenarioFile::tags() const -> std::string
{
    std::string text;
    for (const auto &tag : this->content.value("tags", nlohmann::json::array())) {
        text += "[" + tag.get<std::string>() + "]";
    }
    return text;
}

auto ScenarioFile::deployment() const -> harness::Deployment
{
    nlohmann::json plan = this->content.at("deployment");
    if (plan.is_string()) {
        const auto name = plan.get<std::string>();
        plan = harness::readToml(FLAMINGOGRADE_DEPLOYMENTS "/" + name + ".toml");
    }
    plan.merge_patch(this->content.value("change", nlohmann::json::object()));
    return harness::Deployment::fromJson(plan);
}
