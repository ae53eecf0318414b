#ifndef FILBERTROAD_SETTINGS_SETTINGS_HPP
#define FILBERTROAD_SETTINGS_SETTINGS_HPP

/// Settings of the process roles, read from TOML. Each role has a schema (internal/schema.hpp) with
/// the type, unit, range, default and description of each value. The schema drives both validation
/// and the generated page docs/settings.md.
///
///     auto loaded = settings::load("entry.toml");
///     if (!loaded) return fail(settings::to_string(loaded.error()));
///     if (auto* entry = std::get_if<settings::entry_settings>(&loaded.value())) run_entry(*entry);
///
/// All functions are thread safe.

#include "filbertroad/base/result.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace filbertroad::settings
{

/// Path that denotes standard error.
inline constexpr std::string_view standard_error_path = "-";

/// Settings of an entry. The member initializers are the defaults.
struct entry_settings
{
    std::string name;
    std::string zone;
    std::string region;
    /// IP:PORT for callers and operators.
    std::string listen_http;
    /// IP:PORT for links from entries and agents.
    std::string listen_link;
    /// Addresses advertised to other processes; parse() sets them to the listen addresses if
    /// absent.
    std::string advertise_http;
    std::string advertise_link;
    /// Link addresses of other entries, from which this entry fetches the control state if the log
    /// is unreachable at startup.
    std::vector<std::string> peers;
    std::string log_address;
    std::string log_stream = "control";
    /// Bearer token of operators.
    std::string operator_token;
    std::uint64_t threads = 2;
    std::uint64_t max_body_bytes = 16UL * 1024 * 1024;
    std::uint64_t max_connections = 10'000;
    std::uint64_t max_queued_tasks = 200'000;
    /// Maximum total size of the task payloads and results held; at most a quarter of the memory.
    std::uint64_t max_held_bytes = 128UL * 1024 * 1024;
    /// Memory of the machine in MB.
    std::uint64_t memory_mb = 1'024;
    /// Limit for the file descriptors of the process; 0 stands for that of the operating system.
    std::uint64_t file_descriptors = 0;
    /// Path of the event log; "-" denotes standard error.
    std::string event_log = "-";
    /// Path of the span file; "-" denotes standard error, empty disables spans.
    std::string span_file;
};

/// Settings of an agent. The member initializers are the defaults.
struct agent_settings
{
    std::string name;
    std::string zone;
    /// IP:PORT at which the target on the same VM announces itself.
    std::string listen;
    /// Link addresses of the initial entries; further entries are discovered through the view.
    std::vector<std::string> entries;
    std::uint64_t max_ledger_entries = 200'000;
    std::uint64_t max_ledger_bytes = 64UL * 1024 * 1024;
    /// Memory of the machine in MB; the ledger takes at most a quarter of it.
    std::uint64_t memory_mb = 1'024;
    /// Longest time that a graceful shutdown waits for running tasks.
    std::chrono::milliseconds drain_time{60'000};
    std::string event_log = "-";
    std::string span_file;
};

/// Settings of an entry on a platform with leased runs (docs/decisions/platform.md). The member
/// initializers are the defaults.
struct dispatch_entry_settings
{
    std::string name;
    /// IP:PORT for callers.
    std::string listen_http;
    /// IP:PORT for readiness probes of the load balancer; also serves the metrics.
    std::string listen_ready;
    /// IP:PORT for links from agents and entries.
    std::string listen_link;
    /// Link addresses of entries to try for discovery; they may be down.
    std::vector<std::string> seeds;
    std::string store_address;
    std::uint64_t max_connections = 3'500;
    std::uint64_t max_jobs = 20'000;
    /// Run time of a task away from its rack or its group over the run time there. Below 1, jobs
    /// with constraints on their targets are refused.
    double far_factor = 0;
    std::uint64_t max_tasks = 200'000;
    /// Most tasks and steps of one job.
    std::uint64_t max_job_tasks = 2'000;
    std::uint64_t max_job_steps = 1'000;
    /// Links that are accepted from agents and other entries.
    std::uint64_t max_links = 320;
    /// Memory of the machine in MB.
    std::uint64_t memory_mb = 512;
    /// Limit for the file descriptors of the process; 0 stands for that of the operating system.
    std::uint64_t file_descriptors = 0;
    /// `detector` or `shared`.
    std::string admission_policy = "detector";
    /// Targets with recent reports from which on the policy `shared` is used.
    std::uint64_t admission_min_targets = 24;
    /// Termination grace period that the platform grants a process.
    std::chrono::milliseconds grace_time{6'000};
};

/// Settings of an agent on a platform with leased runs. The member initializers are the defaults.
struct dispatch_agent_settings
{
    std::string name;
    std::string zone;
    /// IP:PORT at which the target reports its status; also serves the metrics.
    std::string listen;
    /// IP:PORT at which the target accepts start and stop requests.
    std::string target_address;
    std::vector<std::string> seeds;
    std::string store_address;
    /// Number of entries to which the agent is linked at the same time.
    std::uint64_t max_entry_links = 8;
    std::uint64_t max_connections = 256;
    /// Memory of the machine in MB.
    std::uint64_t memory_mb = 512;
    /// Limit for the file descriptors of the process; 0 stands for that of the operating system.
    std::uint64_t file_descriptors = 0;
    std::chrono::milliseconds grace_time{6'000};
};

enum class settings_error
{
    unreadable,
    syntax,
    unknown_key,
    wrong_type,
    out_of_range,
    bad_address,
    bad_name,
    bad_choice,
    missing,
};

/// An error in a settings file.
struct settings_diagnostic
{
    settings_error code;
    std::string file;
    /// Line of the value, counted from 1; 0 if the error has no line.
    std::uint32_t line = 0;
    /// Dotted key, such as `limits.max_body_bytes`; empty if the error has no key.
    std::string key;
    std::string reason;
};

/// Returns `FILE:LINE: KEY: REASON`, without the parts that are absent.
[[nodiscard]] std::string to_string(settings_diagnostic const& diagnostic);

using any_settings =
    std::variant<entry_settings, agent_settings, dispatch_entry_settings, dispatch_agent_settings>;

/// Returns the value of the key `role` for the type of `settings`.
[[nodiscard]] std::string_view role_of(any_settings const& settings);

/// Parses and validates the settings in `text`; the key `role` in it selects the type. `file` is
/// only used in diagnostics. Returns the first error in line order; missing keys are reported last.
[[nodiscard]] base::result<any_settings, settings_diagnostic> parse(std::string_view text,
                                                                    std::string const& file);

/// Reads the file at `path` and calls parse().
[[nodiscard]] base::result<any_settings, settings_diagnostic> load(std::string const& path);

/// Returns the content of docs/settings.md, in Markdown.
[[nodiscard]] std::string settings_page();

} // namespace filbertroad::settings

#endif
