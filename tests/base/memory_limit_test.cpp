// Tests what a process takes for the limit on its memory.
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

#include <fmt/format.h>

#include "base/memory_limit.hpp"

using namespace waxwingvalve::base;

namespace
{

constexpr std::uint64_t mb = 1024 * 1024;

// A tree of control groups in a folder of its own.
class group_tree
{
public:
    group_tree()
        : root_{
              std::filesystem::temp_directory_path() /
              fmt::format("groups-{}", ::getpid())}
    {
    }
    ~group_tree()
    {
        std::error_code ignored;
        std::filesystem::remove_all(root_, ignored);
    }
    group_tree(const group_tree&) = delete;
    group_tree& operator=(const group_tree&) = delete;

    void write(const std::string& file, std::string_view text) const
    {
        const auto path = root_ / file;
        std::filesystem::create_directories(path.parent_path());
        std::ofstream{path} << text << '\n';
    }
    const std::filesystem::path& root() const { return root_; }

private:
    std::filesystem::path root_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(memory_limits)

// FAULT: a quarter of the VM's memory was taken for the bodies of a process
// that was allowed 260 MB.
BOOST_AUTO_TEST_CASE(the_strictest_limit_holds)
{
    waxwingvalve::base::memory_limits limits{.physical_memory = 32'000 * mb};
    BOOST_TEST(strictest(limits).bytes == 16'000 * mb);
    limits.settings = 260 * mb;
    BOOST_TEST(strictest(limits).bytes == 260 * mb);
    BOOST_TEST((strictest(limits).source == memory_limit_source::settings));
    limits.control_group = 200 * mb;
    BOOST_TEST(
        (strictest(limits).source == memory_limit_source::control_group));
    limits.data_segment = 150 * mb;
    BOOST_TEST((strictest(limits).source == memory_limit_source::data_segment));
    limits.address_space = 100 * mb;
    BOOST_TEST(
        (strictest(limits).source == memory_limit_source::address_space));
    BOOST_TEST(strictest(limits).bytes == 100 * mb);
}

BOOST_AUTO_TEST_CASE(without_any_limit_a_stated_one_is_assumed)
{
    const auto limit = strictest({});
    BOOST_TEST(limit.bytes == assumed_memory_bytes);
    BOOST_TEST((limit.source == memory_limit_source::assumed));
}

BOOST_AUTO_TEST_CASE(limits_of_all_control_groups_above_hold)
{
    const group_tree tree;
    tree.write("a/memory.max", "1000");
    tree.write("a/b/memory.max", "max");
    tree.write("a/b/c/memory.max", "5000");
    BOOST_TEST((control_group_limit("0::/a/b/c\n", tree.root()) == 1'000U));
    BOOST_TEST((!control_group_limit("0::/d\n", tree.root())));
    tree.write("memory.max", "700");
    BOOST_TEST((control_group_limit("0::/d\n", tree.root()) == 700U));
}

BOOST_AUTO_TEST_CASE(control_groups_of_version_1_are_read)
{
    const group_tree tree;
    tree.write("memory/a/memory.limit_in_bytes", "3000");
    BOOST_TEST(
        (control_group_limit(
             "5:cpu,cpuacct:/x\n4:hugetlb,memory:/a\n0::/\n", tree.root()) ==
         3'000U));
    BOOST_TEST((!control_group_limit("4:memory_other:/a\n", tree.root())));
}

BOOST_AUTO_TEST_CASE(lines_that_name_no_group_are_left_out)
{
    const group_tree tree;
    BOOST_TEST((!control_group_limit("", tree.root())));
    BOOST_TEST((!control_group_limit("0\n::\n:::\n\n", tree.root())));
}

BOOST_AUTO_TEST_CASE(limits_of_the_process_are_read)
{
    // More than a sanitizer maps.
    constexpr std::uint64_t bytes = 1ULL << 60;
    rlimit before{};
    BOOST_REQUIRE(::getrlimit(RLIMIT_DATA, &before) == 0);
    const rlimit narrow{
        std::min<rlim_t>(bytes, before.rlim_max), before.rlim_max};
    BOOST_REQUIRE(::setrlimit(RLIMIT_DATA, &narrow) == 0);
    BOOST_TEST((read_memory_limits().data_segment == narrow.rlim_cur));
    BOOST_REQUIRE(::setrlimit(RLIMIT_DATA, &before) == 0);
}

BOOST_AUTO_TEST_CASE(this_process_uses_memory)
{
    BOOST_TEST(resident_bytes() > mb);
}

BOOST_AUTO_TEST_SUITE_END()
