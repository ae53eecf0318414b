#ifndef FILBERTROAD_DISPATCH_ADMISSION_POLICY_HPP
#define FILBERTROAD_DISPATCH_ADMISSION_POLICY_HPP

/// Ways in which an entry decides whether to admit a job that has to wait for a target.
///
///     limits.admission = admission_policy::shared;

namespace filbertroad::dispatch
{

enum class admission_policy
{
    /// Each entry by itself, from the lateness of its recent jobs.
    detector,
    /// From the demand and the capacity that agents report for all entries.
    shared,
    /// Every job that can end before its answer is useless. A reference for comparisons.
    unlimited,
};

} // namespace filbertroad::dispatch

#endif
