#ifndef FILBERTROAD_BASE_RESULT_HPP
#define FILBERTROAD_BASE_RESULT_HPP

/// Results without exceptions, by Boost.Outcome. Each library has its own error code enum and turns
/// errors of the libraries below into its own.
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

/// An error of one library: its code and a text that names the field, place and values.
template <class Code>
struct error
{
    Code code;
    std::string detail;
};

/// Reading the value of a failed result ends the process, since that is a fault of the program.
template <class Value, class Error>
using result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

/// The value of a result without data.
[[nodiscard]] inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace filbertroad::base

#endif
