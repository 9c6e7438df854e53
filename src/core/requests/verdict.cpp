/// Names of verdicts.
#include <flamingograde/verdict.h>

namespace flamingograde {

auto toString(Verdict verdict) -> std::string_view
{
    switch (verdict) {
    case Verdict::Run:
        return "run";
    case Verdict::NotRun:
        return "not-run";
    case Verdict::Unknown:
        break;
    }
    return "unknown";
}

} // namespace flamingograde
