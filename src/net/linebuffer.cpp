/// Non-blocking writes of buffered lines.
#include "net/linebuffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace flamingograde::net {

auto LineBuffer::add(std::string_view line) -> void
{
    if (this->text.size() - this->begin + line.size() > this->bytesMax) {
        ++this->dropped;
        return;
    }
    this->text.append(line);
}

auto LineBuffer::flush() -> void
{
    while (!this->isEmpty() && this->isWritable()) {
        // A writable pipe has room for at least PIPE_BUF bytes; a larger write could block.
        const auto count = std::min<std::size_t>(this->text.size() - this->begin, PIPE_BUF);
        const auto written = write(this->descriptor, this->text.data() + this->begin, count);
        if (written <= 0) {
            return;
        }
        this->begin += static_cast<std::size_t>(written);
    }
    if (this->isEmpty()) {
        this->text.clear();
        this->begin = 0;
    } else if (this->begin > this->bytesMax / 2) {
        this->text.erase(0, this->begin);
        this->begin = 0;
    }
}

auto LineBuffer::takeDropped() -> std::uint64_t
{
    return std::exchange(this->dropped, 0);
}

auto LineBuffer::isWritable() const -> bool
{
    pollfd state { this->descriptor, POLLOUT, 0 };
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace flamingograde::net
