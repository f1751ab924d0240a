// The faults of a run, and their end.
#include "soak/soak_run.hpp"

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "soak/byte_flood.hpp"

namespace waxwingvalve::soak
{

using namespace std::chrono_literals;

void soak_run::end_daemon(soak_daemon& one, int signal)
{
    one.send(SIGCONT);
    one.send(signal);
    start_when_gone(
        one,
        one.starts(),
        std::chrono::milliseconds{signal == SIGKILL ? draw(100, 900) : 5'000});
}

// A process that is paused after its signal ends later than its stop time.
void soak_run::start_when_gone(
    soak_daemon& one, int process, std::chrono::milliseconds time)
{
    later(
        loop_,
        time,
        [this, &one, process]
        {
            if (one.starts() != process)
            {
                return;
            }
            if (one.running())
            {
                start_when_gone(one, process, 100ms);
                return;
            }
            one.start();
        });
}

void soak_run::pause_daemon(soak_daemon& one)
{
    one.send(SIGSTOP);
    later(loop_, draw_time(200, 2'500), [&one] { one.send(SIGCONT); });
}

void soak_run::spoil_answers(soak_worker& of)
{
    const auto kind = static_cast<stand_ins::endless_answer>(
        draw(1, stand_ins::endless_answers - 1));
    of.spoil(kind, base::monotonic_clock::now() + draw_time(500, 3'000));
}

void soak_run::start_uploads()
{
    for (auto& one : callers_)
    {
        one->upload(base::monotonic_clock::now() + draw_time(500, 3'000));
    }
}

void soak_run::flood_daemon(const soak_daemon& one)
{
    for (const auto& port : one.ports())
    {
        const auto kind = static_cast<flood_kind>(draw(0, flood_kinds - 1));
        boost::asio::co_spawn(
            loop_, flood(loop_, port, kind, random_()), boost::asio::detached);
    }
}

void soak_run::disturb_path(soak_worker& of)
{
    auto& path = of.path();
    switch (draw(0, 2))
    {
    case 0:
        path.faults().delay_us = draw(1'000, 80'000);
        break;
    case 1:
        path.silence_existing();
        break;
    default:
        path.cut();
        later(loop_, draw_time(200, 1'500), [&of] { of.open_path(); });
        break;
    }
}

void soak_run::disturb_worker(soak_worker& one)
{
    if (one.state() != worker_state::ready)
    {
        return;
    }
    if (draw(0, 1) == 0)
    {
        end_worker(one);
        return;
    }
    one.drain();
    store_.write_worker(one.id(), one.entry());
    later(loop_, drain_bound + 500ms, [this, &one] { end_worker(one); });
}

// A worker that ended comes back after its address may be used again.
void soak_run::end_worker(soak_worker& one)
{
    if (faults_over_ || one.state() == worker_state::ended)
    {
        return;
    }
    one.end();
    store_.forget_worker(one.id());
    later(
        loop_,
        draw_time(2'000, 3'000),
        [this, &one]
        {
            if (one.state() == worker_state::ended)
            {
                restart_worker(one, draw(0, 3) == 0);
            }
        });
}

void soak_run::restart_worker(soak_worker& one, bool same_id)
{
    if (!same_id)
    {
        store_.forget_worker(one.id());
    }
    one.begin_again(same_id ? one.id() : one.id() + "+");
    store_.write_worker(one.id(), one.entry());
}

void soak_run::inject()
{
    auto& daemon =
        *daemons_[static_cast<std::size_t>(draw(0, daemon_count_ - 1))];
    auto& worker = *workers_[static_cast<std::size_t>(
        draw(0, static_cast<int>(workers_.size()) - 1))];
    switch (draw(0, 12))
    {
    case 0:
        end_daemon(daemon, SIGKILL);
        break;
    case 1:
        end_daemon(daemon, SIGTERM);
        break;
    case 2:
        pause_daemon(daemon);
        break;
    case 3:
        if (daemon.reads_signals())
        {
            daemon.send(SIGHUP);
        }
        break;
    case 4:
        store_.disturb();
        break;
    case 5:
    case 6:
        store_.write_next_configuration();
        break;
    case 7:
        store_.lose_writes();
        break;
    case 8:
        disturb_worker(worker);
        break;
    case 9:
        spoil_answers(worker);
        break;
    case 10:
        flood_daemon(daemon);
        break;
    case 11:
        start_uploads();
        break;
    default:
        disturb_path(worker);
        break;
    }
}

void soak_run::end_faults()
{
    faults_over_ = true;
    store_.end_faults();
    // Written before anything else, it gets a version that a lost
    // configuration had: a daemon that compares versions only misses it.
    store_.write_next_configuration();
    for (auto& one : workers_)
    {
        one->path().faults() = {};
        one->path().cut();
        one->open_path();
        if (one->state() != worker_state::ready)
        {
            restart_worker(*one, false);
        }
    }
    for (auto& one : daemons_)
    {
        one->send(SIGCONT);
    }
}

} // namespace waxwingvalve::soak
