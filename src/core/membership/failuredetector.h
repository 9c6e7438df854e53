/// Finds out which hosts do not answer.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingograde {

class Blackboard;
class MeshLinks;
struct MemberRecord;

/// Probes one host a period, asks others to probe a silent one, suspects it, and declares it dead
/// once another host cannot reach it either.
///
/// Where only two hosts have been left for a while, a refused connection alone is taken for death.
/// So a cut that refuses connections between the last two hosts of a zone that is itself cut off
/// leaves both of them home, and so does a cut through a zone whose parts each reach a part of the
/// other zones.
/// @remarks Not thread safe.
class FailureDetector
{
public:
    /// Probes and judges what is due. Precondition: to be called on each `Tick`.
    auto tick(Blackboard &board, const MeshLinks &mesh) -> void;
    /// Takes the answer to a probe.
    auto acked(Blackboard &board, const Ack &ack) -> void;
    /// Probes a host for another one.
    auto requested(Blackboard &board, HostId from, const PingRequest &request) -> void;
    /// Takes what another host found.
    auto reported(Blackboard &board, const PingReport &report) -> void;
    /// Notes that a host does not answer a dial.
    auto unreachable(Blackboard &board, HostId host) -> void;
    /// Forgets what is under way: the process was paused and its timers mean nothing.
    auto reset(Blackboard &board) -> void;

private:
    /// A host for which a probe is made.
    struct Requester
    {
        HostId host;
        std::uint64_t sequence = 0;
    };
    /// A probe that is not answered yet.
    struct Probe
    {
        HostId target;
        MonoTime sentAt;
        std::optional<Requester> requester;
        bool expired = false;
    };

    auto probeNext(Blackboard &board, const MeshLinks &mesh) -> void;
    auto introduce(Blackboard &board) -> void;
    auto keepContact(Blackboard &board) -> void;
    auto probe(Blackboard &board, HostId target, std::optional<Requester> requester) -> void;
    auto expireProbes(Blackboard &board) -> void;
    auto noteIsolation(Blackboard &board) -> void;
    auto askOthers(Blackboard &board, const MemberRecord &record) -> void;
    auto judge(Blackboard &board, MemberRecord &record) -> void;

    std::map<std::uint64_t, Probe> probes; ///< By sequence, so in the order of sending.
    std::vector<HostId> ring;              ///< Hosts still to be probed in this round.
    std::uint64_t lastSequence = 0;
    std::size_t rotation = 0; ///< Which member is told of beside the newest changes.
    MonoTime nextProbe;
    MonoTime nextContact;
};

} // namespace flamingograde
