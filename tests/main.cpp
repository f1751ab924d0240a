#define BOOST_TEST_MODULE waxwingvalve
#include <boost/test/unit_test.hpp>
