#include "standins/upstream/faults.h"

namespace standins {

NLOHMANN_JSON_SERIALIZE_ENUM(HealthMode, { { HealthMode::Ok, "ok" },
                                           { HealthMode::Cold, "cold" },
                                           { HealthMode::Draining, "draining" },
                                           { HealthMode::Lie, "lie" } })

NLOHMANN_JSON_SERIALIZE_ENUM(CutPoint, { { CutPoint::None, "none" },
                                         { CutPoint::Head, "head" },
                                         { CutPoint::Middle, "middle" } })

auto Faults::update(const Json &json) -> void
{
    this->shed = json.value("shed", this->shed);
    this->freezeAnswers = json.value("freeze_answers", this->freezeAnswers);
    this->silent = json.value("silent", this->silent);
    this->cutAnswers = json.value("cut_answers", this->cutAnswers);
    this->health = json.value("health", this->health);
    if (json.contains("load")) {
        const Json &reportedLoad = json.at("load");
        this->load = reportedLoad.is_null() ? std::nullopt
                                            : std::optional<double>(reportedLoad.get<double>());
    }
}

} // namespace standins
