#ifndef FILBERTROAD_SETTINGS_INTERNAL_SCHEMA_HPP
#define FILBERTROAD_SETTINGS_INTERNAL_SCHEMA_HPP

/// The schema of each role: one row per key, used for validation and for docs/settings.md.

#include "filbertroad/settings/settings.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string_view>
#include <variant>

namespace filbertroad::settings::internal
{

/// Syntax that a value must have.
enum class value_kind
{
    name,
    address,
    token,
    path,
    number,
    /// `detector` or `shared`.
    admission_policy,
};

/// Inclusive bounds of the value of a number, the length of a token or the size of a list.
struct range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

template <class Settings>
using member_pointer =
    std::variant<std::string Settings::*, std::uint64_t Settings::*, double Settings::*,
                 std::chrono::milliseconds Settings::*, std::vector<std::string> Settings::*>;

template <class Settings>
struct row
{
    std::string_view key;
    value_kind kind;
    member_pointer<Settings> member;
    bool required = false;
    std::string_view unit = {};
    range bounds = {};
    /// If not empty, shown in docs/settings.md instead of the member initializer.
    std::string_view default_note = {};
    std::string_view description;
};

inline constexpr std::uint64_t kib = 1024;
inline constexpr std::uint64_t mib = 1024 * kib;
inline constexpr std::uint64_t gib = 1024 * mib;
inline constexpr range token_length{16, 256};

inline constexpr std::array entry_schema{
    row<entry_settings>{.key = "name",
                        .kind = value_kind::name,
                        .member = &entry_settings::name,
                        .required = true,
                        .description = "Name of this entry, unique in the region."},
    row<entry_settings>{.key = "zone",
                        .kind = value_kind::name,
                        .member = &entry_settings::zone,
                        .required = true,
                        .description = "Availability zone of this VM."},
    row<entry_settings>{.key = "region",
                        .kind = value_kind::name,
                        .member = &entry_settings::region,
                        .required = true,
                        .description = "Region of this VM; regions share no state."},
    row<entry_settings>{.key = "listen_http",
                        .kind = value_kind::address,
                        .member = &entry_settings::listen_http,
                        .required = true,
                        .description = "Address for callers and operators."},
    row<entry_settings>{.key = "listen_link",
                        .kind = value_kind::address,
                        .member = &entry_settings::listen_link,
                        .required = true,
                        .description = "Address for links from entries and agents."},
    row<entry_settings>{.key = "advertise_http",
                        .kind = value_kind::address,
                        .member = &entry_settings::advertise_http,
                        .default_note = "`listen_http`",
                        .description = "HTTP address advertised to callers and operators."},
    row<entry_settings>{.key = "advertise_link",
                        .kind = value_kind::address,
                        .member = &entry_settings::advertise_link,
                        .default_note = "`listen_link`",
                        .description = "Link address advertised to entries and agents."},
    row<entry_settings>{.key = "peers",
                        .kind = value_kind::address,
                        .member = &entry_settings::peers,
                        .bounds = {0, 64},
                        .default_note = "none",
                        .description = "Link addresses of other entries, from which this entry "
                                       "fetches the state if the log is down at its start."},
    row<entry_settings>{.key = "log.address",
                        .kind = value_kind::address,
                        .member = &entry_settings::log_address,
                        .required = true,
                        .description = "Address of the platform's log service."},
    row<entry_settings>{.key = "log.stream",
                        .kind = value_kind::name,
                        .member = &entry_settings::log_stream,
                        .description =
                            "Name of the stream that holds the control log of the region."},
    row<entry_settings>{.key = "operator_token",
                        .kind = value_kind::token,
                        .member = &entry_settings::operator_token,
                        .required = true,
                        .unit = "characters",
                        .bounds = token_length,
                        .description = "Bearer token of operators."},
    row<entry_settings>{.key = "threads",
                        .kind = value_kind::number,
                        .member = &entry_settings::threads,
                        .unit = "threads",
                        .bounds = {1, 64},
                        .description = "Threads that serve requests and links."},
    row<entry_settings>{.key = "limits.max_body_bytes",
                        .kind = value_kind::number,
                        .member = &entry_settings::max_body_bytes,
                        .unit = "bytes",
                        .bounds = {kib, 24 * mib},
                        .description =
                            "Maximum size of a request body; it must fit into one link frame."},
    row<entry_settings>{.key = "limits.max_connections",
                        .kind = value_kind::number,
                        .member = &entry_settings::max_connections,
                        .unit = "connections",
                        .bounds = {1, 100'000},
                        .description = "Maximum number of concurrent HTTP connections."},
    row<entry_settings>{.key = "limits.max_queued_tasks",
                        .kind = value_kind::number,
                        .member = &entry_settings::max_queued_tasks,
                        .unit = "tasks",
                        .bounds = {1, 10'000'000},
                        .description =
                            "Maximum number of queued tasks per service shard; more are rejected."},
    row<entry_settings>{.key = "limits.max_held_bytes",
                        .kind = value_kind::number,
                        .member = &entry_settings::max_held_bytes,
                        .unit = "bytes",
                        .bounds = {mib, 64 * gib},
                        .description = "Maximum total size of held task payloads and results; "
                                       "beyond it, new jobs are rejected. At most a quarter of "
                                       "`limits.memory_mb`."},
    row<entry_settings>{.key = "limits.memory_mb",
                        .kind = value_kind::number,
                        .member = &entry_settings::memory_mb,
                        .unit = "MB",
                        .bounds = {64, 1'000'000},
                        .description = "Memory of the machine; the bytes that peers can make this "
                                       "process hold follow it."},
    row<entry_settings>{.key = "limits.file_descriptors",
                        .kind = value_kind::number,
                        .member = &entry_settings::file_descriptors,
                        .unit = "descriptors",
                        .bounds = {0, 10'000'000},
                        .default_note = "the limit of the process",
                        .description = "File descriptors of the machine; the number of "
                                       "connections follows them."},
    row<entry_settings>{.key = "event_log",
                        .kind = value_kind::path,
                        .member = &entry_settings::event_log,
                        .description = "File of the event log; `-` is standard error."},
    row<entry_settings>{.key = "span_file",
                        .kind = value_kind::path,
                        .member = &entry_settings::span_file,
                        .default_note = "no spans",
                        .description = "File of the spans; `-` is standard error."},
};

inline constexpr std::array agent_schema{
    row<agent_settings>{.key = "name",
                        .kind = value_kind::name,
                        .member = &agent_settings::name,
                        .required = true,
                        .description = "Name of this agent, unique in the region."},
    row<agent_settings>{.key = "zone",
                        .kind = value_kind::name,
                        .member = &agent_settings::zone,
                        .required = true,
                        .description = "Availability zone of this VM and its target."},
    row<agent_settings>{.key = "listen",
                        .kind = value_kind::address,
                        .member = &agent_settings::listen,
                        .required = true,
                        .description = "Address at which the target announces itself."},
    row<agent_settings>{
        .key = "entries",
        .kind = value_kind::address,
        .member = &agent_settings::entries,
        .required = true,
        .unit = "addresses",
        .bounds = {1, 64},
        .description =
            "Link addresses of the initial entries, through which the others are discovered."},
    row<agent_settings>{
        .key = "ledger.max_entries",
        .kind = value_kind::number,
        .member = &agent_settings::max_ledger_entries,
        .unit = "starts",
        .bounds = {1, 10'000'000},
        .description = "Maximum number of starts in the ledger; a full ledger rejects starts."},
    row<agent_settings>{.key = "ledger.max_bytes",
                        .kind = value_kind::number,
                        .member = &agent_settings::max_ledger_bytes,
                        .unit = "bytes",
                        .bounds = {64 * kib, 16 * gib},
                        .description = "Maximum total size of the task results in the ledger; at "
                                       "most a quarter of `limits.memory_mb`."},
    row<agent_settings>{.key = "limits.memory_mb",
                        .kind = value_kind::number,
                        .member = &agent_settings::memory_mb,
                        .unit = "MB",
                        .bounds = {64, 1'000'000},
                        .description = "Memory of the machine; the bytes that peers can make this "
                                       "process hold follow it."},
    row<agent_settings>{.key = "drain_time_ms",
                        .kind = value_kind::number,
                        .member = &agent_settings::drain_time,
                        .unit = "ms",
                        .bounds = {0, 3'600'000},
                        .description =
                            "Longest time that a graceful shutdown waits for running tasks."},
    row<agent_settings>{.key = "event_log",
                        .kind = value_kind::path,
                        .member = &agent_settings::event_log,
                        .description = "File of the event log; `-` is standard error."},
    row<agent_settings>{.key = "span_file",
                        .kind = value_kind::path,
                        .member = &agent_settings::span_file,
                        .default_note = "no spans",
                        .description = "File of the spans; `-` is standard error."},
};

inline constexpr std::array dispatch_entry_schema{
    row<dispatch_entry_settings>{.key = "name",
                                 .kind = value_kind::name,
                                 .member = &dispatch_entry_settings::name,
                                 .required = true,
                                 .description = "Name of this entry, unique in the region."},
    row<dispatch_entry_settings>{.key = "listen_http",
                                 .kind = value_kind::address,
                                 .member = &dispatch_entry_settings::listen_http,
                                 .required = true,
                                 .description = "Address for callers."},
    row<dispatch_entry_settings>{.key = "listen_ready",
                                 .kind = value_kind::address,
                                 .member = &dispatch_entry_settings::listen_ready,
                                 .required = true,
                                 .description = "Address for readiness probes and metrics."},
    row<dispatch_entry_settings>{.key = "listen_link",
                                 .kind = value_kind::address,
                                 .member = &dispatch_entry_settings::listen_link,
                                 .required = true,
                                 .description = "Address for links from agents and entries."},
    row<dispatch_entry_settings>{
        .key = "seeds",
        .kind = value_kind::address,
        .member = &dispatch_entry_settings::seeds,
        .unit = "addresses",
        .bounds = {0, 64},
        .default_note = "none",
        .description = "Link addresses of entries to try for discovery; they may be down."},
    row<dispatch_entry_settings>{.key = "store.address",
                                 .kind = value_kind::address,
                                 .member = &dispatch_entry_settings::store_address,
                                 .required = true,
                                 .description = "Address of the platform's store."},
    row<dispatch_entry_settings>{.key = "limits.max_connections",
                                 .kind = value_kind::number,
                                 .member = &dispatch_entry_settings::max_connections,
                                 .unit = "connections",
                                 .bounds = {1, 100'000},
                                 .description = "Maximum number of concurrent HTTP connections."},
    row<dispatch_entry_settings>{
        .key = "limits.max_jobs",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::max_jobs,
        .unit = "jobs",
        .bounds = {1, 1'000'000},
        .description = "Maximum number of jobs held at the same time; more are rejected."},
    row<dispatch_entry_settings>{
        .key = "far_factor",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::far_factor,
        .bounds = {0, 100},
        .default_note = "constraints are refused",
        .description = "Run time of a task away from its rack or its group over the run time "
                       "there. Below 1, jobs with `affinity`, `same-rack`, `requirements` or "
                       "`anti-affinity` are refused."},
    row<dispatch_entry_settings>{
        .key = "limits.max_tasks",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::max_tasks,
        .unit = "tasks",
        .bounds = {1, 100'000'000},
        .description = "Maximum number of tasks of the jobs held; a job beyond it is rejected."},
    row<dispatch_entry_settings>{
        .key = "limits.max_job_tasks",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::max_job_tasks,
        .unit = "tasks",
        .bounds = {1, 10'000},
        .description = "Maximum number of tasks of one job; a job with more is rejected as "
                       "malformed."},
    row<dispatch_entry_settings>{
        .key = "limits.max_job_steps",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::max_job_steps,
        .unit = "steps",
        .bounds = {1, 10'000},
        .description = "Maximum number of steps of one job; a job with more is rejected as "
                       "malformed."},
    row<dispatch_entry_settings>{
        .key = "limits.max_links",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::max_links,
        .unit = "links",
        .bounds = {1, 10'000},
        .description = "Maximum number of accepted links; the most silent one is closed for a new "
                       "one."},
    row<dispatch_entry_settings>{
        .key = "limits.memory_mb",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::memory_mb,
        .unit = "MB",
        .bounds = {64, 1'000'000},
        .description = "Memory of the machine; the bytes that peers can make this process hold "
                       "follow it."},
    row<dispatch_entry_settings>{
        .key = "limits.file_descriptors",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::file_descriptors,
        .unit = "descriptors",
        .bounds = {0, 10'000'000},
        .default_note = "the limit of the process",
        .description = "File descriptors of the machine; the number of connections follows them."},
    row<dispatch_entry_settings>{
        .key = "admission.policy",
        .kind = value_kind::admission_policy,
        .member = &dispatch_entry_settings::admission_policy,
        .description = "How jobs are refused under overload: `detector` decides by the late jobs "
                       "of this entry, `shared` by the backlog that all targets report."},
    row<dispatch_entry_settings>{
        .key = "admission.min_targets",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::admission_min_targets,
        .unit = "targets",
        .bounds = {0, 100'000},
        .description = "Targets with recent reports from which on the policy `shared` is used; "
                       "with fewer, the detector is used."},
    row<dispatch_entry_settings>{
        .key = "grace_time_ms",
        .kind = value_kind::number,
        .member = &dispatch_entry_settings::grace_time,
        .unit = "ms",
        .bounds = {0, 3'600'000},
        .description = "Termination grace period that the platform grants this process."},
};

inline constexpr std::array dispatch_agent_schema{
    row<dispatch_agent_settings>{.key = "name",
                                 .kind = value_kind::name,
                                 .member = &dispatch_agent_settings::name,
                                 .required = true,
                                 .description = "Name of this agent, unique in the region."},
    row<dispatch_agent_settings>{.key = "zone",
                                 .kind = value_kind::name,
                                 .member = &dispatch_agent_settings::zone,
                                 .required = true,
                                 .description = "Availability zone of this VM and its target."},
    row<dispatch_agent_settings>{
        .key = "listen",
        .kind = value_kind::address,
        .member = &dispatch_agent_settings::listen,
        .required = true,
        .description = "Address at which the target reports its status; also serves metrics."},
    row<dispatch_agent_settings>{
        .key = "target_address",
        .kind = value_kind::address,
        .member = &dispatch_agent_settings::target_address,
        .required = true,
        .description = "Address at which the target accepts start and stop requests."},
    row<dispatch_agent_settings>{.key = "seeds",
                                 .kind = value_kind::address,
                                 .member = &dispatch_agent_settings::seeds,
                                 .unit = "addresses",
                                 .bounds = {0, 64},
                                 .default_note = "none",
                                 .description = "Link addresses of entries to try for discovery."},
    row<dispatch_agent_settings>{
        .key = "store.address",
        .kind = value_kind::address,
        .member = &dispatch_agent_settings::store_address,
        .required = true,
        .description = "Address of the platform's store, queried for entries if no seed replies."},
    row<dispatch_agent_settings>{
        .key = "limits.max_entry_links",
        .kind = value_kind::number,
        .member = &dispatch_agent_settings::max_entry_links,
        .unit = "links",
        .bounds = {1, 1'000},
        .description = "Number of entries to which this agent is linked at the same time."},
    row<dispatch_agent_settings>{.key = "limits.max_connections",
                                 .kind = value_kind::number,
                                 .member = &dispatch_agent_settings::max_connections,
                                 .unit = "connections",
                                 .bounds = {1, 100'000},
                                 .description = "Maximum number of concurrent HTTP connections."},
    row<dispatch_agent_settings>{
        .key = "limits.memory_mb",
        .kind = value_kind::number,
        .member = &dispatch_agent_settings::memory_mb,
        .unit = "MB",
        .bounds = {64, 1'000'000},
        .description = "Memory of the machine; the bytes that peers can make this process hold "
                       "follow it."},
    row<dispatch_agent_settings>{
        .key = "limits.file_descriptors",
        .kind = value_kind::number,
        .member = &dispatch_agent_settings::file_descriptors,
        .unit = "descriptors",
        .bounds = {0, 10'000'000},
        .default_note = "the limit of the process",
        .description = "File descriptors of the machine; the number of connections follows them."},
    row<dispatch_agent_settings>{
        .key = "grace_time_ms",
        .kind = value_kind::number,
        .member = &dispatch_agent_settings::grace_time,
        .unit = "ms",
        .bounds = {0, 3'600'000},
        .description = "Termination grace period that the platform grants this process."},
};

} // namespace filbertroad::settings::internal

#endif
