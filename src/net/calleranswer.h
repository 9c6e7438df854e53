/// The response to one incoming HTTP request.
#pragma once

#include "net/httphead.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct st_h2o_req_t;

namespace flamingograde::net {

/// Streams a response to a caller or relaying host, with backpressure.
///
/// Owned jointly by its user and by h2o's request; destroyed when both have released it. Once h2o
/// has disposed of the request, the methods have no effect.
/// @remarks Not thread safe.
class CallerAnswer : public std::enable_shared_from_this<CallerAnswer>
{
public:
    /// Notifications to the user.
    struct Callbacks
    {
        /// h2o disposed of the request; `whole` is true if the complete response was sent.
        std::function<void(bool whole)> onClosed;
        std::function<void()> onDrained; ///< All written bytes were sent; more can be written.
    };

    /// Attaches a response to `request`. Precondition: no part of a response has been sent.
    [[nodiscard]] static auto attach(st_h2o_req_t *request, Callbacks callbacks)
            -> std::shared_ptr<CallerAnswer>;

    CallerAnswer(st_h2o_req_t *incoming, Callbacks handlers);

    /// Sets the response head, which is sent together with the first `write` or `end`.
    /// Precondition: called once.
    auto start(const HttpHead &head) -> void;

    /// Appends to the body. Precondition: `start` was called, `end` was not.
    auto write(std::string_view bytes) -> void;

    /// Completes the response after the bytes written so far and `bytes`.
    /// Precondition: `start` was called.
    auto end(std::string_view bytes = {}) -> void;

    /// Aborts the response and discards unsent bytes, so that the receiver detects truncation.
    /// Precondition: none.
    auto abort() -> void;

    /// Returns whether `end` was called; bytes may still wait to be sent.
    [[nodiscard]] auto isEnded() const -> bool { return this->ended; }
    /// Returns the number of bytes that wait to be sent.
    [[nodiscard]] auto backlog() const -> std::size_t
    {
        return this->pending.size() + this->sending.size();
    }
    /// Returns the socket descriptor of an HTTP/1 caller; -1 for HTTP/2 or a closed request.
    [[nodiscard]] auto http1Descriptor() const -> int;

private:
    struct Link;

    static auto detach(void *link) -> void;
    auto pump() -> void;
    auto proceed() -> void;
    auto requestDisposed() -> void;

    st_h2o_req_t *request;
    Link *link = nullptr;
    Callbacks callbacks;
    std::string pending; ///< Written by the user, not yet passed to h2o.
    std::string sending; ///< Passed to h2o; must stay valid until h2o calls `proceed`.
    bool started = false;
    bool inFlight = false;  ///< h2o has not yet called `proceed` for the last bytes.
    bool ended = false;     ///< `end` was called.
    bool aborted = false;   ///< `abort` was called.
    bool finalSent = false; ///< The last part was passed to h2o.
};

} // namespace flamingograde::net
