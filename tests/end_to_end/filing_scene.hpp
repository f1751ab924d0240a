// A small deployment, callers that record what they sent and got, and the
// history checker over it.
#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "harness/cluster.hpp"
#include "history/history.hpp"

namespace waxwingvalve::end_to_end
{

// The parts of an answer that the tests look at.
struct filing_answer
{
    // 0 when no whole answer came.
    unsigned status{};
    std::string outcome{};
    std::string code{};
    std::string body{};
};

class filing_scene
{
public:
    filing_scene();

    harness::cluster cluster{harness::small()};
    const harness::entry_vm& first{cluster.entries().at(0)};
    const harness::entry_vm& second{cluster.entries().at(1)};
    // In another zone than the two before.
    const harness::entry_vm& third{cluster.entries().at(2)};

    // A new key under the prefix that the entry hands out now.
    std::string new_key(const harness::entry_vm& entry);
    // True when the entry runs requests on workers of its own, which depends
    // on the addresses that this run was given.
    bool owns_workers(const harness::entry_vm& entry);
    filing_answer file(
        const harness::entry_vm& entry,
        const std::string& key,
        const std::string& body = "{\"vessel\":\"jar-7\"}");

    // POST /control of every worker.
    void set_workers(const std::string& json);
    std::vector<history::run_record> runs();
    std::size_t runs_of(const std::string& key);
    bool wait_for_run(const std::string& key);
    // Kills the entry and starts it again under the same name and address.
    void replace(const harness::entry_vm& entry);

    // Every caller's record against every run; reports each violation.
    bool history_holds();

    const std::vector<history::caller_record>& records() const
    {
        return records_;
    }

private:
    // The row of the entry in the list of entries that it hands out.
    boost::json::object listed(const harness::entry_vm& entry) const;

    std::mutex mutex_;
    std::vector<history::caller_record> records_;
    int last_key_{0};
};

} // namespace waxwingvalve::end_to_end
