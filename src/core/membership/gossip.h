/// Messages to other hosts and the gossip that they carry.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <vector>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Sends `message` to `host` if a connection is up.
/// @returns whether it was given to the transport.
auto sendPeer(Blackboard &board, HostId host, Message message) -> bool;

/// Sends `message` to those of `hosts` with which a connection is up; it is encoded once.
auto sendPeers(Blackboard &board, std::vector<HostId> hosts, Message message) -> void;

/// Returns what a message to `host` carries: the newest changes, what `host` should know of itself,
/// this host's loads and table.
[[nodiscard]] auto makeGossip(Blackboard &board, HostId host) -> Gossip;

/// Returns all that this host knows of the fleet, for `host`, whose view differs.
[[nodiscard]] auto makeFullGossip(Blackboard &board, HostId host) -> Gossip;

/// Returns whether `record` is still worth telling of: dead hosts are, while someone may not know.
[[nodiscard]] auto isTold(const Blackboard &board, const MemberRecord &record) -> bool;

/// Sends `host` all that is known of the hosts of this zone, so that both come to agree.
auto sendZoneView(Blackboard &board, HostId host) -> void;

/// Tells a few connected hosts, drawn at random, of the newest changes without waiting for the next
/// probes.
auto pushGossip(Blackboard &board) -> void;

/// Takes how long ago the sender, or whom it heard, heard the platform.
auto notePlatformAge(Blackboard &board, const Gossip &gossip) -> void;

/// Returns the gossip of `message`, or null where it carries none.
[[nodiscard]] auto gossipOf(const Message &message) -> const Gossip *;

} // namespace flamingograde
