/// What a caller was told of one of its requests.
#pragma once

#include "standins/caller/verdict.h"
#include "standins/common/asio.h"

#include <string>

namespace standins {

/// The verdicts of all attempts of one request.
struct CallRecord
{
    std::string key; ///< Empty for none; then the path names it.
    std::string path;
    unsigned attempts = 0;
    unsigned notRun = 0; ///< Attempts that were answered `not-run`.
    bool sawRun = false; ///< An attempt was answered `run`.
    bool answered = false;
    Verdict last = Verdict::None;

    /// Returns what is known of all attempts together: `NotRun` only if each was answered so.
    [[nodiscard]] auto overall() const -> Verdict
    {
        if (this->answered || this->sawRun) {
            return Verdict::Run;
        }
        return this->attempts == this->notRun ? Verdict::NotRun : Verdict::Unknown;
    }

    /// Returns the entry of the command `verdicts`.
    [[nodiscard]] auto toJson(bool idempotent) const -> Json
    {
        return { { "key", this->key },
                 { "path", this->path },
                 { "verdict", toString(this->overall()) },
                 { "last", toString(this->last) },
                 { "answered", this->answered },
                 { "attempts", this->attempts },
                 { "idempotent", idempotent } };
    }
};

} // namespace standins
