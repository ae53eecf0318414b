#ifndef FILBERTROAD_SETTINGS_INTERNAL_SCHEMA_HPP
#define FILBERTROAD_SETTINGS_INTERNAL_SCHEMA_HPP

/// The tables of settings: one row per key, with everything that the checks and the page need.

#include "filbertroad/settings/settings.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string_view>
#include <variant>

namespace filbertroad::settings::internal
{

/// What the text of a value must be.
enum class value_kind
{
    name,
    address,
    token,
    path,
    number,
};

/// Inclusive bounds: the value of a number, the length of a token, the count of a list.
struct range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

template <class Settings>
using member_pointer =
    std::variant<std::string Settings::*, std::uint64_t Settings::*,
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
    /// Shown instead of the initial value of the member, if not empty.
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
                        .description = "Address for links of entries and agents."},
    row<entry_settings>{.key = "advertise_http",
                        .kind = value_kind::address,
                        .member = &entry_settings::advertise_http,
                        .default_note = "`listen_http`",
                        .description = "Address that callers and operators are told."},
    row<entry_settings>{.key = "advertise_link",
                        .kind = value_kind::address,
                        .member = &entry_settings::advertise_link,
                        .default_note = "`listen_link`",
                        .description = "Address that entries and agents are told."},
    row<entry_settings>{.key = "peers",
                        .kind = value_kind::address,
                        .member = &entry_settings::peers,
                        .bounds = {0, 64},
                        .default_note = "none",
                        .description = "Link addresses of other entries, asked for the state "
                                       "when this one starts while the log is down."},
    row<entry_settings>{.key = "log.address",
                        .kind = value_kind::address,
                        .member = &entry_settings::log_address,
                        .required = true,
                        .description = "Address of the platform's log service."},
    row<entry_settings>{.key = "log.stream",
                        .kind = value_kind::name,
                        .member = &entry_settings::log_stream,
                        .description = "Stream of the control log of the region."},
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
                        .description = "Largest body of a request; a link frame must hold it."},
    row<entry_settings>{.key = "limits.max_connections",
                        .kind = value_kind::number,
                        .member = &entry_settings::max_connections,
                        .unit = "connections",
                        .bounds = {1, 100'000},
                        .description = "Most HTTP connections at the same time."},
    row<entry_settings>{.key = "limits.max_queued_tasks",
                        .kind = value_kind::number,
                        .member = &entry_settings::max_queued_tasks,
                        .unit = "tasks",
                        .bounds = {1, 10'000'000},
                        .description = "Most queued tasks of one service shard; more are refused."},
    row<entry_settings>{
        .key = "limits.max_held_bytes",
        .kind = value_kind::number,
        .member = &entry_settings::max_held_bytes,
        .unit = "bytes",
        .bounds = {mib, 64 * gib},
        .description = "Most bytes of payloads and answers held; new jobs beyond are refused."},
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
    row<agent_settings>{.key = "entries",
                        .kind = value_kind::address,
                        .member = &agent_settings::entries,
                        .required = true,
                        .unit = "addresses",
                        .bounds = {1, 64},
                        .description =
                            "Link addresses of entries to connect to first; they name the others."},
    row<agent_settings>{.key = "ledger.max_entries",
                        .kind = value_kind::number,
                        .member = &agent_settings::max_ledger_entries,
                        .unit = "starts",
                        .bounds = {1, 10'000'000},
                        .description = "Most starts in the ledger; a full ledger refuses starts."},
    row<agent_settings>{.key = "ledger.max_bytes",
                        .kind = value_kind::number,
                        .member = &agent_settings::max_ledger_bytes,
                        .unit = "bytes",
                        .bounds = {64 * kib, 16 * gib},
                        .description = "Most bytes of answers in the ledger."},
    row<agent_settings>{.key = "drain_time_ms",
                        .kind = value_kind::number,
                        .member = &agent_settings::drain_time,
                        .unit = "ms",
                        .bounds = {0, 3'600'000},
                        .description = "Longest wait for running tasks at a planned stop."},
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
                                 .description = "Address for readiness checks and metrics."},
    row<dispatch_entry_settings>{.key = "listen_link",
                                 .kind = value_kind::address,
                                 .member = &dispatch_entry_settings::listen_link,
                                 .required = true,
                                 .description = "Address for links of agents and entries."},
    row<dispatch_entry_settings>{.key = "seeds",
                                 .kind = value_kind::address,
                                 .member = &dispatch_entry_settings::seeds,
                                 .unit = "addresses",
                                 .bounds = {0, 64},
                                 .default_note = "none",
                                 .description = "Link addresses of entries that may be running."},
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
                                 .description = "Most HTTP connections at the same time."},
    row<dispatch_entry_settings>{.key = "limits.max_jobs",
                                 .kind = value_kind::number,
                                 .member = &dispatch_entry_settings::max_jobs,
                                 .unit = "jobs",
                                 .bounds = {1, 1'000'000},
                                 .description =
                                     "Most jobs held at the same time; more are refused."},
    row<dispatch_entry_settings>{.key = "grace_time_ms",
                                 .kind = value_kind::number,
                                 .member = &dispatch_entry_settings::grace_time,
                                 .unit = "ms",
                                 .bounds = {0, 3'600'000},
                                 .description =
                                     "Time that the platform gives this process to end."},
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
    row<dispatch_agent_settings>{.key = "target_address",
                                 .kind = value_kind::address,
                                 .member = &dispatch_agent_settings::target_address,
                                 .required = true,
                                 .description = "Address at which the target takes orders."},
    row<dispatch_agent_settings>{.key = "seeds",
                                 .kind = value_kind::address,
                                 .member = &dispatch_agent_settings::seeds,
                                 .unit = "addresses",
                                 .bounds = {0, 64},
                                 .default_note = "none",
                                 .description = "Link addresses of entries to connect to first."},
    row<dispatch_agent_settings>{
        .key = "store.address",
        .kind = value_kind::address,
        .member = &dispatch_agent_settings::store_address,
        .required = true,
        .description = "Address of the platform's store, asked for entries when no seed answers."},
    row<dispatch_agent_settings>{.key = "grace_time_ms",
                                 .kind = value_kind::number,
                                 .member = &dispatch_agent_settings::grace_time,
                                 .unit = "ms",
                                 .bounds = {0, 3'600'000},
                                 .description =
                                     "Time that the platform gives this process to end."},
};

} // namespace filbertroad::settings::internal

#endif
