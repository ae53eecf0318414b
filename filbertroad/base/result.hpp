#ifndef FILBERTROAD_BASE_RESULT_HPP
#define FILBERTROAD_BASE_RESULT_HPP

/// Error handling without exceptions, based on Boost.Outcome. Each library defines its own enum of
/// error codes and converts errors of the libraries that it uses into its own.
///
///     enum class key_error { no_time, bad_suffix };
///     base::result<job_key, base::error<key_error>> parse_key(std::string_view text);
///     ...
///     return base::error<key_error>{key_error::no_time, "expected UNIX_MS-SUFFIX"};

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace filbertroad::base
{

/// An error of one library: its code, and a message that names the field, position and values.
template <class Code>
struct error
{
    Code code;
    std::string detail;
};

/// A value or an error. Reading the value of a failed result terminates the process, since that is
/// a bug in the program.
template <class Value, class Error>
using result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

/// The success value of a `result<void, ...>`.
[[nodiscard]] inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace filbertroad::base

#endif
