/// The verdicts that a caller received for one of its requests.
#pragma once

#include "standins/caller/verdict.h"
#include "standins/common/asio.h"

#include <string>

namespace standins {

/// The verdicts of all attempts of one request.
struct CallRecord
{
    std::string key; ///< Idempotency key; if empty, the path identifies the request.
    std::string path;
    unsigned attempts = 0;
    unsigned notRunAttempts = 0; ///< Number of attempts answered `not-run`.
    bool anyAttemptRun = false;  ///< Whether any attempt was answered `run`.
    bool answered = false;
    Verdict lastVerdict = Verdict::None;

    /// Returns the verdict on the request over all attempts: `Run` if it was answered or any
    /// attempt was answered `run`, `NotRun` if every attempt was answered `not-run`, otherwise
    /// `Unknown`.
    [[nodiscard]] auto overallVerdict() const -> Verdict
    {
        if (this->answered || this->anyAttemptRun) {
            return Verdict::Run;
        }
        return this->attempts == this->notRunAttempts ? Verdict::NotRun : Verdict::Unknown;
    }

    /// Returns this request's entry in the answer to the command `verdicts`.
    [[nodiscard]] auto toJson(bool idempotent) const -> Json
    {
        return { { "key", this->key },
                 { "path", this->path },
                 { "verdict", toString(this->overallVerdict()) },
                 { "last", toString(this->lastVerdict) },
                 { "answered", this->answered },
                 { "attempts", this->attempts },
                 { "idempotent", idempotent } };
    }
};

} // namespace standins
