#ifndef FILBERTROAD_TELEMETRY_EVENTS_HPP
#define FILBERTROAD_TELEMETRY_EVENTS_HPP

/// Catalogue of the numbered log events, from which docs/events.md is generated. Event numbers are
/// stable: a number never changes its meaning, and that of a removed event is not reused.
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
    /// Needs an operator's attention if it is frequent.
    warning,
    /// Needs operator action.
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
    "A graceful shutdown has begun; no new work is accepted and work in progress is completed."};
inline constexpr event_definition process_stopped{1003, severity::info, "process_stopped",
                                                  "The process has stopped."};
inline constexpr event_definition settings_rejected{
    1004, severity::error, "settings_rejected",
    "The settings file is not valid; the process exits."};
inline constexpr event_definition address_unusable{1005, severity::error, "address_unusable",
                                                   "An address in the settings cannot be bound."};
inline constexpr event_definition settings_reloaded{
    1006, severity::info, "settings_reloaded",
    "The process was notified of changed settings; they take effect at its next start."};
inline constexpr event_definition handler_failed{
    1007, severity::error, "handler_failed",
    "A handler of an event ended with an exception; the process goes on."};
inline constexpr event_definition event_loop_delayed{
    1008, severity::warning, "event_loop_delayed",
    "A periodic timer ran late by `delay_ms`, since the process lacks processor time; at most one "
    "line a second."};

inline constexpr event_definition log_unreachable{
    2001, severity::error, "log_unreachable",
    "The platform log cannot be read; configuration and membership cannot change."};
inline constexpr event_definition log_readable{2002, severity::info, "log_readable",
                                               "The platform log can be read again."};
inline constexpr event_definition confirmation_lost{
    2003, severity::error, "confirmation_lost",
    "The control state is not confirmed as current; no new key is accepted and no task starts."};
inline constexpr event_definition outage_mode{
    2004, severity::warning, "outage_mode",
    "More than half of the members cannot read the log; work continues with the current state."};
inline constexpr event_definition confirmed{2005, severity::info, "confirmed",
                                            "The control state is confirmed as current."};
inline constexpr event_definition append_failed{
    2006, severity::warning, "append_failed",
    "An append to the log was not acknowledged; it is retried unless the record is read back."};
inline constexpr event_definition state_transferred{
    2007, severity::info, "state_transferred",
    "The control state was transferred from another entry."};

inline constexpr event_definition member_joined{3001, severity::info, "member_joined",
                                                "An entry has joined the view."};
inline constexpr event_definition member_left{
    3002, severity::info, "member_left", "An entry has left the view after a graceful shutdown."};
inline constexpr event_definition member_removed{3003, severity::warning, "member_removed",
                                                 "An entry was removed from the view by vote."};
inline constexpr event_definition view_replaced{
    3004, severity::error, "view_replaced",
    "More than half of the entries were lost; the view was replaced, based on promises of agents."};
inline constexpr event_definition configuration_accepted{
    3005, severity::info, "configuration_accepted", "A table change has taken effect."};
inline constexpr event_definition configuration_conflict{
    3006, severity::warning, "configuration_conflict",
    "A change was rejected because another change of the same object was accepted first."};
inline constexpr event_definition zone_changed{
    3007, severity::info, "zone_changed",
    "A zone was taken out of service or returned to service."};
inline constexpr event_definition target_changed{
    3008, severity::info, "target_changed",
    "A target was taken out of service or returned to service."};
inline constexpr event_definition control_applied{
    3009, severity::info, "control_applied",
    "A newer snapshot of routes and zones has taken effect; `source` names its origin, `behind_ms` "
    "is the time since a peer first had a newer one than this process."};
inline constexpr event_definition entry_known{3010, severity::info, "entry_known",
                                              "An entry was discovered; agents link to it."};

inline constexpr event_definition agent_linked{4001, severity::info, "agent_linked",
                                               "The link to an agent is up."};
inline constexpr event_definition agent_lost{4002, severity::warning, "agent_lost",
                                             "The link to an agent is down."};
inline constexpr event_definition shard_taken_over{4003, severity::info, "shard_taken_over",
                                                   "This entry has become the owner of a shard."};
inline constexpr event_definition recovery_started{
    4004, severity::warning, "recovery_started",
    "The agents are queried for the tasks that removed owners started."};
inline constexpr event_definition recovery_finished{
    4005, severity::info, "recovery_finished",
    "The outcomes of all tasks of removed owners have been determined."};
inline constexpr event_definition shard_released{4006, severity::info, "shard_released",
                                                 "This entry is no longer the owner of a shard."};
inline constexpr event_definition entry_linked{4007, severity::info, "entry_linked",
                                               "The link to an entry is up."};
inline constexpr event_definition entry_lost{
    4008, severity::warning, "entry_lost",
    "The link to an entry is down; its runs are stopped unless the entry reconnects in time."};
inline constexpr event_definition entry_released{
    4009, severity::info, "entry_released",
    "A link to an entry beyond the bound was closed, since entries of higher rank are linked."};

inline constexpr event_definition job_refused{5001, severity::warning, "job_refused",
                                              "A job was not accepted; none of its tasks ran."};
inline constexpr event_definition job_failed{5002, severity::warning, "job_failed",
                                             "A job has ended with tasks that did not succeed."};
inline constexpr event_definition job_answered{
    5003, severity::info, "job_answered",
    "A job was answered: its outcome, the reason, and how long the job was held."};
inline constexpr event_definition run_ended{5004, severity::info, "run_ended",
                                            "A run on a target has ended, with the reason, and "
                                            "whether the target was lost under it."};
inline constexpr event_definition run_sent{5005, severity::info, "run_sent",
                                           "A run was sent to an agent, with its expected queueing "
                                           "and run time, why the earlier run of its "
                                           "task was moved (none if it was not), and whether the "
                                           "target is the place that the task prefers."};
inline constexpr event_definition request_refused{5006, severity::info, "request_refused",
                                                  "A request was rejected; none of its tasks ran."};
inline constexpr event_definition job_received{
    5007, severity::info, "job_received",
    "A job was received; maps the id of its request to its key, and gives the version of the "
    "routes and the number of open agents at that time."};

inline constexpr event_definition requests_summarized{
    5008, severity::warning, "requests_summarized",
    "Requests that were rejected, or abandoned by their clients, for the given reason, and whose "
    "events were left out. At most one line a second for each reason."};

inline constexpr event_definition cancel_decided{
    5020, severity::info, "cancel_decided",
    "A cancel of a job that this entry does not hold was answered, with the entries that could not "
    "be asked. At most ten lines a second; left_out counts the others."};
inline constexpr event_definition admission_limited{
    5021, severity::warning, "admission_limited",
    "Jobs of a priority class are refused because of the load; `share` is the refused share. At "
    "most once in two seconds for each class."};
inline constexpr event_definition admission_open{
    5022, severity::info, "admission_open",
    "No job of the priority class has been refused because of the load for two seconds."};

inline constexpr event_definition target_ejected{
    6001, severity::warning, "target_ejected",
    "A target receives no work because its failure rate is far above that of its pool."};
inline constexpr event_definition target_probed{
    6002, severity::info, "target_probed", "An ejected target receives a single task as a probe."};
inline constexpr event_definition target_returned{6003, severity::info, "target_returned",
                                                  "An ejected target receives work again."};
inline constexpr event_definition target_announced{6004, severity::info, "target_announced",
                                                   "The target has announced itself to its agent."};
inline constexpr event_definition target_silent{6005, severity::warning, "target_silent",
                                                "The target has stopped announcing itself."};
inline constexpr event_definition target_leaving{6006, severity::info, "target_leaving",
                                                 "The target is leaving and accepts no more work."};
inline constexpr event_definition target_unreachable{
    6007, severity::warning, "target_unreachable",
    "The target does not respond; no run is started on it."};
inline constexpr event_definition target_reachable{6008, severity::info, "target_reachable",
                                                   "The target responds again."};
inline constexpr event_definition starts_closed{
    6009, severity::info, "starts_closed",
    "The agent starts no runs on its target, for the given reason."};
inline constexpr event_definition starts_open{6010, severity::info, "starts_open",
                                              "The agent starts runs on its target again."};

inline constexpr event_definition link_error{7001, severity::warning, "link_error",
                                             "A link failed or could not be established."};
inline constexpr event_definition bad_input{7002, severity::warning, "bad_input",
                                            "A malformed request or message was rejected."};
inline constexpr event_definition lines_dropped{
    7003, severity::warning, "lines_dropped",
    "Log lines were dropped because the log was read too slowly."};
inline constexpr event_definition platform_unreachable{
    7004, severity::warning, "platform_unreachable",
    "The platform does not respond to a call, or rejects it."};
inline constexpr event_definition limit_reached{
    7010, severity::warning, "limit_reached",
    "A limit refused or closed connections or jobs; at most one line a second for each reason."};
inline constexpr event_definition platform_reachable{7005, severity::info, "platform_reachable",
                                                     "The platform responds again."};

} // namespace events

/// All events, ordered by number.
inline constexpr std::array all_events{
    events::process_started,
    events::process_stopping,
    events::process_stopped,
    events::settings_rejected,
    events::address_unusable,
    events::settings_reloaded,
    events::handler_failed,
    events::event_loop_delayed,
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
    events::entry_released,
    events::job_refused,
    events::job_failed,
    events::job_answered,
    events::run_ended,
    events::run_sent,
    events::request_refused,
    events::job_received,
    events::requests_summarized,
    events::cancel_decided,
    events::admission_limited,
    events::admission_open,
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
    events::limit_reached,
};

/// Returns `INFO`, `WARN` or `ERROR`.
[[nodiscard]] std::string_view to_string(severity level);

/// Returns the content of docs/events.md, in Markdown.
[[nodiscard]] std::string events_page();

} // namespace filbertroad::telemetry

#endif
