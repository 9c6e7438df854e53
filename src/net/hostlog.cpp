/// The log on standard output: spdlog chooses and lays out, a bounded buffer writes.
#include "net/hostlog.h"

#include "net/lineallowance.h"
#include "net/linebuffer.h"
#include "net/loop.h"

// Names of levels as operators' tools know them.
#define SPDLOG_LEVEL_NAMES \
    { \
        "TRACE", "DEBUG", "INFO", "WARN", "ERROR", "FATAL", "OFF" \
    }
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <unistd.h>

#include <memory>

namespace flamingograde::net {

namespace {

constexpr std::size_t waitingBytesMax = 256U << 10U; ///< Lines that standard output has not taken.
constexpr double linesPerSecond = 200; ///< 40 KB/s: what a host's beliefs change at in a rollout.
constexpr double linesAtOnce = 2000;   ///< A first directory of 120 upstreams and 350 rows fits.
constexpr double packetLinesPerSecond = 100; ///< Of the 62 new flows a second at the design size.
constexpr double packetLinesAtOnce = 400;
constexpr Duration leftOutPeriod = std::chrono::seconds(1); ///< Of the word on lines left out.

/// The process's log.
struct LogState
{
    LineBuffer lines { STDOUT_FILENO, waitingBytesMax };
    LineAllowance all { linesPerSecond, linesAtOnce };
    LineAllowance packets { packetLinesPerSecond, packetLinesAtOnce };
    MonoTime leftOutSaid;
};

auto state() -> LogState &
{
    static LogState instance;
    return instance;
}

/// Hands the lines of spdlog to the buffer.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
protected:
    auto sink_it_(const spdlog::details::log_msg &message) -> void override
    {
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        state().lines.add({ line.data(), line.size() });
    }

    auto flush_() -> void override {}
};

auto toLevel(LogLevel level) -> spdlog::level::level_enum
{
    switch (level) {
    case LogLevel::Error:
        return spdlog::level::err;
    case LogLevel::Warn:
        return spdlog::level::warn;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Debug:
        return spdlog::level::debug;
    }
    return spdlog::level::info;
}

/// Returns how important an event is; what each request may cause is for debugging.
auto levelOf(LogEvent event) -> LogLevel
{
    switch (event) {
    case LogEvent::SettingRefused:
    case LogEvent::TableRefused:
    case LogEvent::TableConflict:
        return LogLevel::Error;
    case LogEvent::ListenFailed:
    case LogEvent::PauseNoticed:
    case LogEvent::TableOlder:
    case LogEvent::PlatformLost:
    case LogEvent::MemberSuspected:
    case LogEvent::MemberDead:
    case LogEvent::MemberRefuted:
    case LogEvent::PeerSilent:
    case LogEvent::PeerMessageBad:
    case LogEvent::UpstreamEjected:
    case LogEvent::UpstreamSilent:
    case LogEvent::DirectoryRefused:
    case LogEvent::CookieShared:
    case LogEvent::LinesLeftOut:
        return LogLevel::Warn;
    case LogEvent::KeyAnsweredAgain:
    case LogEvent::KeyAnsweredUnknown:
    case LogEvent::RequestRefused:
    case LogEvent::TokenRefused:
    case LogEvent::ServiceUnknown:
    case LogEvent::BodyTooLarge:
    case LogEvent::AnswerLost:
    case LogEvent::CallerGone:
    case LogEvent::UpstreamShed:
    case LogEvent::FeedReopened:
    case LogEvent::FeedMoved:
        return LogLevel::Debug;
    default:
        return LogLevel::Info;
    }
}

auto logger() -> spdlog::logger &
{
    static spdlog::logger instance("host", std::make_shared<LineSink>());
    return instance;
}

} // namespace

auto openLog(LogLevel level) -> void
{
    logger().set_formatter(std::make_unique<spdlog::pattern_formatter>(
            "time=%Y-%m-%dT%H:%M:%S.%e level=%l %v", spdlog::pattern_time_type::utc));
    logger().set_level(toLevel(level));
}

auto writeLog(LogEvent event, const std::string &text) -> void
{
    const auto level = toLevel(levelOf(event));
    if (!logger().should_log(level) || !state().all.take(Loop::now().mono)) {
        return;
    }
    const auto *const space = text.empty() ? "" : " ";
    logger().log(level, "event={} name={}{}{}", number(event), toString(event), space, text);
}

auto maySayPacket(MonoTime now) -> bool
{
    return state().packets.take(now);
}

auto flushLog(MonoTime now) -> void
{
    auto &log = state();
    if (now - log.leftOutSaid >= leftOutPeriod) {
        log.leftOutSaid = now;
        const auto packets = log.packets.takeRefused();
        const auto others = log.all.takeRefused() + log.lines.takeDropped();
        if (packets + others > 0) {
            writeLog(LogEvent::LinesLeftOut,
                     "packets=" + std::to_string(packets) + " others=" + std::to_string(others));
        }
    }
    log.lines.flush();
}

} // namespace flamingograde::net
