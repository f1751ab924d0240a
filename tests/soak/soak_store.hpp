// The soak's store with those who write to it: the operator and the workers.
//
// Besides refusing, the store may lose writes: it is away for a moment and
// comes back from a copy that is some seconds old, with versions that it has
// given out before. Whoever lives writes again within two seconds, as the
// users' operator and workers do; entries of workers that ended are dropped.
#pragma once

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "base/time.hpp"
#include "platform/fake_store.hpp"

namespace waxwingvalve::soak
{

class soak_store
{
public:
    soak_store(boost::asio::io_context& loop, std::uint64_t seed);

    const base::endpoint& address() const { return fake_.address(); }

    // Writes the next configuration. Configuration N has the routes /c1/ to
    // /cN/: an answer other than 404 shows that N is in force.
    void write_next_configuration();
    void write_worker(const std::string& id, const std::string& entry);
    // The worker has ended; its entry is dropped after its lifetime.
    void forget_worker(const std::string& id);

    // Refuses or loses answers for some time.
    void disturb();
    // Keeps a copy, goes away some seconds later and comes back with it; one
    // time in two it does so again soon after.
    void lose_writes();
    // The two halves of it: everything written from the copy on is lost.
    void keep_copy() { fake_.keep_copy(); }
    void go_away(bool again);
    // Ends every fault; if the store is away, it comes back from its copy.
    void end_faults();
    // How often writes were lost.
    int restores() const { return restores_; }

    // The newest configuration that the store has acknowledged, and the newest
    // that it has acknowledged early enough to be in force at `at`.
    int newest_acknowledged() const { return acknowledged_.rbegin()->first; }
    int due_configuration(base::instant at) const;
    // Whether the store has been without disturbance for `contact_time`. After
    // a loss of writes, disturbance ends when they have been written again.
    bool calm(base::instant at) const;

private:
    using row_name = std::pair<std::string, std::string>;

    void write(const row_name& row, std::string value);
    void acknowledge(const row_name& row, const std::string& value);
    void write_again(const row_name& row);
    void drop_later(const std::string& worker);
    void set_fault(tests::store_fault fault, std::chrono::milliseconds time);
    void come_back(bool again);
    std::chrono::milliseconds draw(int least, int most);

    boost::asio::io_context& loop_;
    std::mt19937_64 random_;
    tests::fake_store fake_;
    // What the writers that live have written last.
    std::map<row_name, std::string> wanted_;
    int configuration_{0};
    std::map<int, base::instant> acknowledged_;
    base::instant fault_until_{};
    base::instant disturbed_until_{};
    // From the copy to the last return from it.
    bool restoring_{false};
    bool away_{false};
    bool faults_over_{false};
    int restores_{0};
};

} // namespace waxwingvalve::soak
