/// What the program's end says.
#pragma once

namespace flamingograde::ctl {

/// The exit status.
enum class ExitCode {
    Clean = 0,    ///< Done, and nothing found.
    Findings = 1, ///< Something was found, or it failed.
    Usage = 2,    ///< The command line is wrong.
};

} // namespace flamingograde::ctl
