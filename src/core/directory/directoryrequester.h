/// Requests of directory changes, and of the whole directory, from other hosts.
#pragma once

#include "core/directory/pagetransfer.h"

#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <optional>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Decides when to request what this host lacks, and from which host.
///
/// One request is in progress at a time. The whole directory is requested page by page; if a sender
/// stops answering, the next host that has the directory continues.
/// @remarks Not thread safe.
class DirectoryRequester
{
public:
    /// Requests changes from a host that has a newer revision, unless a push or the answer to an
    /// earlier request is expected soon.
    /// @param readPending whether this host is reading the platform. While its first read is in
    /// progress, hosts of other zones are not asked, and those of the own zone only after
    /// `config::directoryFirstReadWait`: doing both would transfer the whole directory twice.
    /// Precondition: `newer` has a newer revision than this host.
    auto requestIfDue(Blackboard &board, const MemberRecord &newer, bool readPending) -> void;

    /// Requests the part of the directory that `from` has, if this host has none.
    /// Precondition: `from` reported that it has a part.
    auto requestPartIfDue(Blackboard &board, const MemberRecord &from) -> void;

    /// Takes a page that was requested; ignores any other.
    /// @returns the whole directory if this was its last page. Precondition: `page` is no part.
    auto take(Blackboard &board, HostId from, const DirectoryPage &page)
            -> std::optional<DirectoryUpdate>;

    /// Records that an answer other than a page arrived. Precondition: none.
    auto noteAnswer(MonoTime now) -> void;

    /// Records that this host has got newer changes. Precondition: none.
    auto noteAdvanced() -> void { this->behindSince.reset(); }

    /// Gives up the transfer, as this host has the whole directory. Precondition: none.
    auto endTransfer() -> void { this->transfer = PageTransfer(); }

    /// Returns whether a part of the whole directory has arrived from other hosts.
    /// Precondition: none.
    [[nodiscard]] auto isReceiving() const -> bool { return this->transfer.isUnderWay(); }

    /// Repeats a request for a page that was not answered in time. Precondition: called on each
    /// `Tick` while this host has no directory or is receiving it.
    auto tick(Blackboard &board) -> void;

private:
    auto send(Blackboard &board, HostId to) -> bool;

    PageTransfer transfer;
    MonoTime nextRequest;                ///< No request is sent before this.
    std::optional<MonoTime> behindSince; ///< Since when another host has had newer changes.
};

} // namespace flamingograde
