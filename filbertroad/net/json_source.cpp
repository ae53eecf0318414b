// Boost.JSON is not packaged as a shared library of this Boost version; this file compiles it. It
// holds nothing else, so that the linker takes one copy if another library has such a file too.
#include <boost/json/src.hpp>
