/// Exit status of flamingogradectl.
#pragma once

namespace flamingograde::ctl {

/// The exit status of the process.
enum class ExitCode {
    Success = 0,    ///< The command succeeded and found nothing to report.
    Findings = 1,   ///< The command found errors or dangerous changes, or it failed.
    UsageError = 2, ///< The command line is invalid.
};

} // namespace flamingograde::ctl
