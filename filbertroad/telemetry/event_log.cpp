#include "filbertroad/telemetry/event_log.hpp"

#include "filbertroad/telemetry/internal/quote.hpp"

#include <algorithm>
#include <fstream>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace filbertroad::telemetry
{
namespace
{

constexpr std::string_view line_pattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %p %c %m%n";

log4cxx::LogString to_log_string(std::string_view text)
{
    log4cxx::LogString out;
    log4cxx::helpers::Transcoder::decodeUTF8(std::string(text), out);
    return out;
}

log4cxx::LevelPtr to_log4cxx_level(severity level)
{
    switch (level)
    {
    case severity::warning:
        return log4cxx::Level::getWarn();
    case severity::error:
        return log4cxx::Level::getError();
    case severity::info:
        break;
    }
    return log4cxx::Level::getInfo();
}

log4cxx::AppenderPtr make_appender(std::string const& path)
{
    auto const layout = std::make_shared<log4cxx::PatternLayout>(to_log_string(line_pattern));
    if (path == "-")
    {
        return std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                          log4cxx::ConsoleAppender::getSystemErr());
    }
    constexpr bool append = true;
    return std::make_shared<log4cxx::FileAppender>(layout, to_log_string(path), append);
}

/// Each instance has its own log4cxx hierarchy. Neither a configuration file in the working
/// directory nor another log of the same process can change it.
class log4cxx_event_log final : public event_log
{
public:
    log4cxx_event_log(std::string const& path, std::string_view process_name)
        : hierarchy(log4cxx::Hierarchy::create())
    {
        this->hierarchy->setConfigured(true);
        this->logger = this->hierarchy->getLogger(to_log_string(process_name));
        this->logger->addAppender(make_appender(path));
    }

    ~log4cxx_event_log() override { this->hierarchy->shutdown(); }
    log4cxx_event_log(log4cxx_event_log const&) = delete;
    log4cxx_event_log& operator=(log4cxx_event_log const&) = delete;

    using event_log::write;
    void write(event_definition const& event, std::span<event_field const> fields) override
    {
        this->logger->forcedLog(to_log4cxx_level(event.level), format_event(event, fields));
    }

private:
    log4cxx::HierarchyPtr hierarchy;
    log4cxx::LoggerPtr logger;
};

bool is_plain(std::string_view value)
{
    return !value.empty() && std::none_of(value.begin(), value.end(),
                                          [](char c)
                                          {
                                              auto const byte = static_cast<unsigned char>(c);
                                              return byte <= 0x20 || byte == 0x7f || c == '"';
                                          });
}

} // namespace

std::string format_event(event_definition const& event, std::span<event_field const> fields)
{
    auto line = std::to_string(event.number) + " " + std::string(event.name);
    for (auto const& field : fields)
    {
        line += ' ';
        line += field.name;
        line += '=';
        line += is_plain(field.value) ? field.value : internal::quote(field.value);
    }
    return line;
}

base::result<std::unique_ptr<event_log>, base::error<telemetry_error>>
open_event_log(std::string const& path, std::string_view process_name)
{
    // log4cxx reports a failure to open the file only on standard error.
    if (path != "-" && !std::ofstream(path, std::ios::app))
    {
        return base::error<telemetry_error>{telemetry_error::cannot_open,
                                            "event_log: cannot write to '" + path + "'"};
    }
    return std::unique_ptr<event_log>(std::make_unique<log4cxx_event_log>(path, process_name));
}

} // namespace filbertroad::telemetry
