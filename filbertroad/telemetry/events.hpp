#ifndef FILBERTROAD_TELEMETRY_EVENTS_HPP
#define FILBERTROAD_TELEMETRY_EVENTS_HPP

/// Catalogue of the numbered log events. docs/events.md is generated from it. A number keeps its
/// meaning; the number of a withdrawn event is not used again.
///
///     log.write(telemetry::events::zone_changed, {{"zone", "khi-b"}, {"in_service", "false"}});

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertroad::telemetry
{

enum class severity
{
    info,
    /// Something that operators look at when they find it often.
    warning,
    /// Something that operators act on.
    error,
};

struct event_definition
{
    std::uint32_t number;
    severity level;
    std::string_view name;
    std::string_view description;
};

/// 1xxx process, 2xxx control log and confirmation, 3xxx membership and configuration, 4xxx agents
/// and owners, 5xxx jobs, 6xxx targets, 7xxx links and input.
namespace events
{

inline constexpr event_definition process_started{1001, severity::info, "process_started",
                                                  "The process has started."};
inline constexpr event_definition process_stopping{
    1002, severity::info, "process_stopping",
    "A planned stop has begun; no new work is accepted and work in progress is finished."};
inline constexpr event_definition process_stopped{1003, severity::info, "process_stopped",
                                                  "The process has stopped."};
inline constexpr event_definition settings_rejected{
    1004, severity::error, "settings_rejected",
    "The settings file is not valid; the process ends."};
inline constexpr event_definition address_unusable{1005, severity::error, "address_unusable",
                                                   "An address of the settings cannot be bound."};
inline constexpr event_definition settings_reloaded{
    1006, severity::info, "settings_reloaded",
    "The process was told that its settings changed; they take effect at its next start."};

inline constexpr event_definition log_unreachable{
    2001, severity::error, "log_unreachable",
    "The platform log cannot be read; configuration and membership cannot change."};
inline constexpr event_definition log_readable{2002, severity::info, "log_readable",
                                               "The platform log can be read again."};
inline constexpr event_definition confirmation_lost{
    2003, severity::error, "confirmation_lost",
    "The control state is not known to be the newest; no new key is accepted and no task starts."};
inline constexpr event_definition outage_mode{
    2004, severity::warning, "outage_mode",
    "More than half of the members cannot read the log; work goes on with the present state."};
inline constexpr event_definition confirmed{2005, severity::info, "confirmed",
                                            "The control state is known to be the newest."};
inline constexpr event_definition append_failed{
    2006, severity::warning, "append_failed",
    "An append to the log was not acknowledged; it is repeated unless the record is read back."};
inline constexpr event_definition state_transferred{
    2007, severity::info, "state_transferred", "The control state was taken from another entry."};

inline constexpr event_definition member_joined{3001, severity::info, "member_joined",
                                                "An entry has joined the view."};
inline constexpr event_definition member_left{3002, severity::info, "member_left",
                                              "An entry has left the view after a planned stop."};
inline constexpr event_definition member_removed{3003, severity::warning, "member_removed",
                                                 "An entry was voted out of the view."};
inline constexpr event_definition view_replaced{
    3004, severity::error, "view_replaced",
    "More than half of the entries were lost; the view was replaced with promises of the agents."};
inline constexpr event_definition configuration_accepted{
    3005, severity::info, "configuration_accepted", "A change of a table is in force."};
inline constexpr event_definition configuration_conflict{
    3006, severity::warning, "configuration_conflict",
    "A change was refused because another change of the same object came first."};
inline constexpr event_definition zone_changed{3007, severity::info, "zone_changed",
                                               "A zone was taken out of service or put back."};
inline constexpr event_definition target_changed{3008, severity::info, "target_changed",
                                                 "A target was taken out of service or put back."};
inline constexpr event_definition control_applied{
    3009, severity::info, "control_applied",
    "A newer snapshot of routes and zones is in force; `source` tells where it came from."};
inline constexpr event_definition entry_known{3010, severity::info, "entry_known",
                                              "An entry has become known; agents link to it."};

inline constexpr event_definition agent_linked{4001, severity::info, "agent_linked",
                                               "The link to an agent is up."};
inline constexpr event_definition agent_lost{4002, severity::warning, "agent_lost",
                                             "The link to an agent is down."};
inline constexpr event_definition shard_taken_over{4003, severity::info, "shard_taken_over",
                                                   "This entry has become the owner of a shard."};
inline constexpr event_definition recovery_started{
    4004, severity::warning, "recovery_started",
    "The agents are asked for the tasks that removed owners started."};
inline constexpr event_definition recovery_finished{4005, severity::info, "recovery_finished",
                                                    "The tasks of removed owners are settled."};
inline constexpr event_definition shard_released{4006, severity::info, "shard_released",
                                                 "This entry is no longer the owner of a shard."};
inline constexpr event_definition entry_linked{4007, severity::info, "entry_linked",
                                               "The link to an entry is up."};
inline constexpr event_definition entry_lost{
    4008, severity::warning, "entry_lost",
    "The link to an entry is down; its runs are stopped unless it returns in time."};

inline constexpr event_definition job_refused{5001, severity::warning, "job_refused",
                                              "A job was not accepted; none of its tasks ran."};
inline constexpr event_definition job_failed{5002, severity::warning, "job_failed",
                                             "A job has ended with tasks that did not succeed."};
inline constexpr event_definition job_answered{
    5003, severity::info, "job_answered",
    "The answer of a job: its outcome, why, and how long it was held."};
inline constexpr event_definition run_ended{5004, severity::info, "run_ended",
                                            "The end of a run at a target, with the reason."};
inline constexpr event_definition run_sent{
    5005, severity::info, "run_sent",
    "A run was sent to an agent, with the waiting and running time expected of it."};
inline constexpr event_definition request_refused{5006, severity::info, "request_refused",
                                                  "A request was not taken; no task of it ran."};
inline constexpr event_definition job_received{
    5007, severity::info, "job_received",
    "A job was received; connects the id of its request with its key, and names the version of the "
    "routes and the number of open agents that it met."};

inline constexpr event_definition target_ejected{
    6001, severity::warning, "target_ejected",
    "A target gets no work because it fails far more often than its pool."};
inline constexpr event_definition target_probed{6002, severity::info, "target_probed",
                                                "An ejected target gets a single task as a probe."};
inline constexpr event_definition target_returned{6003, severity::info, "target_returned",
                                                  "An ejected target gets work again."};
inline constexpr event_definition target_announced{6004, severity::info, "target_announced",
                                                   "The target has announced itself."};
inline constexpr event_definition target_silent{6005, severity::warning, "target_silent",
                                                "The target no longer announces itself."};
inline constexpr event_definition target_leaving{6006, severity::info, "target_leaving",
                                                 "The target has asked for no more work."};
inline constexpr event_definition target_unreachable{
    6007, severity::warning, "target_unreachable",
    "The target does not answer; nothing is started on it."};
inline constexpr event_definition target_reachable{6008, severity::info, "target_reachable",
                                                   "The target answers again."};
inline constexpr event_definition starts_closed{
    6009, severity::info, "starts_closed",
    "The agent starts nothing on its target, for the reason."};
inline constexpr event_definition starts_open{6010, severity::info, "starts_open",
                                              "The agent starts runs on its target again."};

inline constexpr event_definition link_error{7001, severity::warning, "link_error",
                                             "A link failed or could not be made."};
inline constexpr event_definition bad_input{7002, severity::warning, "bad_input",
                                            "A request or message was malformed and was refused."};
inline constexpr event_definition lines_dropped{
    7003, severity::warning, "lines_dropped",
    "Log lines were dropped because the reader of the log was too slow."};
inline constexpr event_definition platform_unreachable{
    7004, severity::warning, "platform_unreachable",
    "The platform does not answer a call, or refuses it."};
inline constexpr event_definition platform_reachable{7005, severity::info, "platform_reachable",
                                                     "The platform answers again."};

} // namespace events

/// Every event, in order of numbers.
inline constexpr std::array all_events{
    events::process_started,
    events::process_stopping,
    events::process_stopped,
    events::settings_rejected,
    events::address_unusable,
    events::settings_reloaded,
    events::log_unreachable,
    events::log_readable,
    events::confirmation_lost,
    events::outage_mode,
    events::confirmed,
    events::append_failed,
    events::state_transferred,
    events::member_joined,
    events::member_left,
    events::member_removed,
    events::view_replaced,
    events::configuration_accepted,
    events::configuration_conflict,
    events::zone_changed,
    events::target_changed,
    events::control_applied,
    events::entry_known,
    events::agent_linked,
    events::agent_lost,
    events::shard_taken_over,
    events::recovery_started,
    events::recovery_finished,
    events::shard_released,
    events::entry_linked,
    events::entry_lost,
    events::job_refused,
    events::job_failed,
    events::job_answered,
    events::run_ended,
    events::run_sent,
    events::request_refused,
    events::job_received,
    events::target_ejected,
    events::target_probed,
    events::target_returned,
    events::target_announced,
    events::target_silent,
    events::target_leaving,
    events::target_unreachable,
    events::target_reachable,
    events::starts_closed,
    events::starts_open,
    events::link_error,
    events::bad_input,
    events::lines_dropped,
    events::platform_unreachable,
    events::platform_reachable,
};

/// `INFO`, `WARN` or `ERROR`.
[[nodiscard]] std::string_view to_string(severity level);

/// The page docs/events.md, in Markdown.
[[nodiscard]] std::string events_page();

} // namespace filbertroad::telemetry

#endif
