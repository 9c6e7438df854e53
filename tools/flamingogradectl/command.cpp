/// The sub-commands.
#include "command.h"

#include "hostcommands.h"
#include "tablecommands.h"

namespace flamingograde::ctl {

namespace {

const Option timeoutOption { "timeout", "MS", "longest wait for the host; default 5000",
                             &Arguments::timeout };
const Option addressOption { "address", "IP:PORT", "address of the row", &Arguments::address };
const Option tokenOption { "token", "TOKEN", "the flow's token", &Arguments::token };
const Option keyOption { "key", "KEY", "the request's idempotency key", &Arguments::key };

} // namespace

auto allCommands() -> const std::vector<Command> &
{
    static const std::vector<Command> commands {
        { "check", "report every fault in a table", "FILE", 1, {}, runCheck },
        { "show", "print a table as aligned columns", "FILE", 1, {}, runShow },
        { "diff",
          "report what an edit changes and which changes are dangerous",
          "OLD NEW",
          2,
          {},
          runDiff },
        { "dump", "print a host's state", "HOST", 1, { timeoutOption }, runDump },
        { "explain",
          "report where a request would be routed now, and why",
          "HOST",
          1,
          { addressOption, tokenOption, keyOption, timeoutOption },
          runExplain },
        { "drain", "stop a host gracefully", "HOST", 1, { timeoutOption }, runDrain },
    };
    return commands;
}

} // namespace flamingograde::ctl
