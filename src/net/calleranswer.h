/// The answer to one request that came in over HTTP.
#pragma once

#include "net/httphead.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct st_h2o_req_t;

namespace flamingograde::net {

/// Streams an answer to a caller or relaying host, with backpressure.
///
/// Shared by its user and by h2o's request: it lives until both have let it go. Every method is
/// without effect once the request is gone.
/// @remarks Not thread safe.
class CallerAnswer : public std::enable_shared_from_this<CallerAnswer>
{
public:
    /// What the user is told.
    struct Callbacks
    {
        std::function<void(bool whole)> onGone; ///< The request ended; `whole`: answered wholly.
        std::function<void()> onDrained;        ///< More can be written.
    };

    /// Takes over the answering of `request`. Precondition: nothing of it was answered.
    [[nodiscard]] static auto attach(st_h2o_req_t *request, Callbacks callbacks)
            -> std::shared_ptr<CallerAnswer>;

    CallerAnswer(st_h2o_req_t *taken, Callbacks told);

    /// Sets the answer's head, which leaves with the first `write` or `end`.
    /// Precondition: called once.
    auto start(const HttpHead &head) -> void;

    /// Appends to the body. Precondition: started, not ended.
    auto write(std::string_view bytes) -> void;

    /// Ends the answer completely after what was written and `bytes`. Precondition: started.
    auto end(std::string_view bytes = {}) -> void;

    /// Cuts the answer and drops what was written, so that its receiver sees it as incomplete.
    /// Precondition: none.
    auto abort() -> void;

    /// Returns whether all of the answer was written.
    [[nodiscard]] auto isEnded() const -> bool { return this->ended; }
    /// Returns the bytes that wait to be sent.
    [[nodiscard]] auto backlog() const -> std::size_t
    {
        return this->pending.size() + this->flight.size();
    }
    /// Returns the descriptor of an HTTP/1 caller, or -1.
    [[nodiscard]] auto http1Descriptor() const -> int;

private:
    struct Link;

    static auto detach(void *link) -> void;
    auto pump() -> void;
    auto proceed() -> void;
    auto requestGone() -> void;

    st_h2o_req_t *request;
    Link *link = nullptr;
    Callbacks callbacks;
    std::string pending; ///< Written, not yet given to h2o.
    std::string flight;  ///< Given to h2o; must stay until it asks for more.
    bool started = false;
    bool inFlight = false;  ///< h2o has not asked for more yet.
    bool ended = false;     ///< No more will be written.
    bool aborted = false;   ///< To be cut.
    bool finalSent = false; ///< h2o was given the last part.
};

} // namespace flamingograde::net
