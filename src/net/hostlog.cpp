/// The log on standard output: log4cxx chooses and lays out, a bounded buffer writes.
#include "net/hostlog.h"

#include "net/lineallowance.h"
#include "net/linebuffer.h"
#include "net/loop.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <memory>
#include <utility>

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

/// Hands the lines of log4cxx to the buffer.
class LineAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit LineAppender(log4cxx::LayoutPtr chosen) : layout(std::move(chosen)) {}

    auto close() -> void override {}
    [[nodiscard]] auto requiresLayout() const -> bool override { return true; }

protected:
    auto append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool)
            -> void override
    {
        log4cxx::LogString line;
        this->layout->format(line, event, pool);
        state().lines.add(line);
    }

private:
    log4cxx::LayoutPtr layout;
};

auto toLevel(LogLevel level) -> log4cxx::LevelPtr
{
    switch (level) {
    case LogLevel::Error:
        return log4cxx::Level::getError();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    }
    return log4cxx::Level::getInfo();
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

auto logger() -> const log4cxx::LoggerPtr &
{
    static const auto root = log4cxx::Logger::getRootLogger();
    return root;
}

} // namespace

auto openLog(LogLevel level) -> void
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
            LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n"));
    logger()->addAppender(std::make_shared<LineAppender>(layout));
    logger()->setLevel(toLevel(level));
}

auto writeLog(LogEvent event, const std::string &text) -> void
{
    const auto level = toLevel(levelOf(event));
    if (!logger()->isEnabledFor(level) || !state().all.take(Loop::now().mono)) {
        return;
    }
    const auto space = text.empty() ? "" : " ";
    logger()->forcedLog(level, "event=" + std::to_string(number(event))
                                       + " name=" + std::string(toString(event)) + space + text);
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
