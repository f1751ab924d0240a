#include "stand_ins.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <set>
#include <sstream>
#include <stdexcept>

namespace waxwingvalve::review
{

namespace
{

const steady::time_point program_start = steady::now();
constexpr std::string_view program = "target/platform/waxwingvalved";
constexpr std::string_view attempt_field = "X-Waxwingvalve-Attempt-Id";
constexpr std::string_view target_field = "X-Waxwingvalve-Target-Instance";
constexpr std::string_view signature_field =
    "X-Waxwingvalve-Response-Signature";
constexpr int listen_backlog = 1024;
constexpr milliseconds idle_wait{15'000};
// `memory_mb` of the machines in the site files.
constexpr double machine_memory_mb = 260;
constexpr double restart_delay_s = 0.5;

bool trouble = true;

sockaddr_in socket_address(const std::string& address, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
}

int bound_socket(const std::string& address, int port, int& bound_port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto where = socket_address(address, port);
    if (::bind(handle, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0)
    {
        ::close(handle);
        throw std::runtime_error{"cannot bind " + address};
    }
    socklen_t size = sizeof where;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&where), &size);
    bound_port = ntohs(where.sin_port);
    return handle;
}

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string lower_case(std::string_view text)
{
    std::string out{text};
    std::ranges::transform(out, out.begin(), lower);
    return out;
}

std::string base64(const std::string& bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            const auto byte = i + j < bytes.size()
                                  ? static_cast<unsigned char>(bytes[i + j])
                                  : 0U;
            group = group << 8 | byte;
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            const bool padding = i + j > bytes.size();
            out += padding ? '=' : digits[group >> (18 - 6 * j) & 63];
        }
    }
    return out;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

double seconds_now()
{
    return std::chrono::duration<double>{steady::now() - program_start}.count();
}

void sleep_until_s(double at)
{
    std::this_thread::sleep_until(
        program_start + std::chrono::duration_cast<steady::duration>(
                            std::chrono::duration<double>{at}));
}

record::record(const std::string& path) : file_{path} {}

void record::line(const std::string& text)
{
    const std::scoped_lock lock{mutex_};
    file_ << std::fixed << std::setprecision(3) << seconds_now() << ' ' << text
          << std::endl;
}

std::string loopback_address(int host)
{
    const auto block = static_cast<int>(::getpid());
    return "127." + std::to_string(10 + block / 200 % 200) + "." +
           std::to_string(1 + block % 200) + "." + std::to_string(host);
}

int free_port(const std::string& address)
{
    int port = 0;
    ::close(bound_socket(address, 0, port));
    return port;
}

connection::~connection()
{
    if (handle_ >= 0)
    {
        ::close(handle_);
    }
}

bool connection::send(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        const auto sent =
            ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::receive(std::string& buffer, milliseconds wait) const
{
    pollfd entry{.fd = handle_, .events = POLLIN, .revents = 0};
    if (::poll(&entry, 1, static_cast<int>(std::max<long>(wait.count(), 0))) <=
        0)
    {
        return false;
    }
    std::array<char, 16 * 1024> bytes{};
    const auto size = ::recv(handle_, bytes.data(), bytes.size(), 0);
    if (size <= 0)
    {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

void connection::shut_down() const
{
    ::shutdown(handle_, SHUT_RDWR);
}

void connection::reset()
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(handle_);
    handle_ = -1;
}

std::unique_ptr<connection> connect_to(const endpoint& where)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto address = socket_address(where.address, where.port);
    if (::connect(
            handle, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    {
        ::close(handle);
        return std::make_unique<connection>(-1);
    }
    return std::make_unique<connection>(handle);
}

std::string message::field(std::string_view name) const
{
    const auto wanted = "\r\n" + lower_case(name) + ":";
    const auto at = lower_case(head).find(wanted);
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = head.find_first_not_of(' ', at + wanted.size());
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string message::method() const
{
    return head.substr(0, head.find(' '));
}

std::string message::target() const
{
    const auto begin = head.find(' ') + 1;
    return head.substr(begin, head.find(' ', begin) - begin);
}

int message::status() const
{
    const auto space = head.find(' ');
    return head.starts_with("HTTP/1.1 ") ? std::atoi(head.c_str() + space) : 0;
}

bool read_message(
    const connection& from,
    std::string& buffer,
    message& out,
    milliseconds wait)
{
    const auto end = steady::now() + wait;
    const auto more = [&]
    {
        return from.receive(
            buffer,
            std::chrono::duration_cast<milliseconds>(end - steady::now()));
    };
    std::size_t head_end{};
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!more())
        {
            return false;
        }
    }
    out.head = buffer.substr(0, head_end);
    buffer.erase(0, head_end + 4);
    const auto length = number(out.field("Content-Length"));
    while (buffer.size() < length)
    {
        if (!more())
        {
            return false;
        }
    }
    out.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

server::server(const std::string& address, handler serve)
    : serve_{std::move(serve)}
{
    where_.address = address;
    listener_ = bound_socket(address, 0, where_.port);
    if (::listen(listener_, listen_backlog) != 0)
    {
        throw std::runtime_error{"cannot listen on " + address};
    }
    thread_ = std::thread{[this] { accept(); }};
}

server::~server()
{
    stop();
}

void server::stop()
{
    if (thread_.joinable())
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
}

void server::accept()
{
    for (;;)
    {
        const int handle = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
        {
            return;
        }
        const int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread{[serve = serve_, handle]
                    {
                        connection peer{handle};
                        serve(peer);
                    }}
            .detach();
    }
}

store::store(const std::string& address)
    : server_{address, [this](connection& peer) { serve(peer); }}
{
}

void store::put(
    const std::string& table, const std::string& key, const std::string& value)
{
    const std::scoped_lock lock{mutex_};
    tables_[table][key] = {value, ++version_, false};
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::scoped_lock lock{mutex_};
    tables_[table][key] = {{}, ++version_, true};
    changed_.notify_all();
}

std::string store::rows_after(
    const std::string& table,
    std::uint64_t after,
    bool with_deleted,
    bool& found)
{
    std::ostringstream out;
    out << R"({"rows":[)";
    found = false;
    for (const auto& [key, one] : tables_[table])
    {
        if (one.version <= after || (one.deleted && !with_deleted))
        {
            continue;
        }
        out << (found ? "," : "") << R"({"table":")" << table
            << R"(","part":"","key":")" << key << R"(","schema_version":)"
            << one.version;
        if (one.deleted)
        {
            out << R"(,"deleted":true})";
        }
        else
        {
            out << R"(,"value":")" << base64(one.value) << R"("})";
        }
        found = true;
    }
    out << R"(],"has_more":false,"schema_version":)" << version_
        << R"(,"now":"1ms"})";
    return out.str();
}

void store::serve(connection& peer)
{
    std::string buffer;
    message request;
    while (read_message(peer, buffer, request, idle_wait))
    {
        const auto target = request.target();
        const auto table = parameter(target, "table");
        const bool feed = target.find("rows-feed") != std::string::npos;
        std::string body;
        {
            std::unique_lock lock{mutex_};
            bool found = false;
            if (!feed)
            {
                body = rows_after(table, 0, false, found);
            }
            else
            {
                const auto after = number(parameter(target, "after"));
                const auto until =
                    steady::now() +
                    milliseconds{number(parameter(target, "wait_ms"))};
                body = rows_after(table, after, true, found);
                while (!found && changed_.wait_until(lock, until) ==
                                     std::cv_status::no_timeout)
                {
                    body = rows_after(table, after, true, found);
                }
            }
        }
        const auto sent = peer.send(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Store-Era: 1\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
        if (!sent)
        {
            return;
        }
    }
}

void run_ledger::add(const std::string& id, const std::string& worker)
{
    const std::scoped_lock lock{mutex_};
    runs_[id].push_back(worker);
}

std::vector<std::string> run_ledger::runs(const std::string& id)
{
    const std::scoped_lock lock{mutex_};
    const auto found = runs_.find(id);
    return found == runs_.end() ? std::vector<std::string>{} : found->second;
}

std::map<std::string, std::vector<std::string>> run_ledger::all()
{
    const std::scoped_lock lock{mutex_};
    return runs_;
}

std::string worker_entry(
    const worker_identity& who, const endpoint& where, const std::string& state)
{
    std::ostringstream out;
    out << R"({"address":")" << where.text()
        << R"(","born":1700000000000,"info":{"service":")" << who.service
        << R"(","version":"v1","zone":")" << who.zone << R"(","slots":)"
        << who.slots << R"(},"status":{"state":")" << state
        << R"(","sequence":1,"cold_remaining":"0ms"}})";
    return out.str();
}

worker::worker(
    worker_identity who, const std::string& address, behaviour behave)
    : who_{std::move(who)}, behave_{std::move(behave)},
      server_{address, [this](connection& peer) { serve(peer); }}
{
}

std::string worker::entry(const std::string& state) const
{
    return worker_entry(who_, where(), state);
}

void worker::serve(connection& peer)
{
    std::string buffer;
    message request;
    while (read_message(peer, buffer, request, idle_wait))
    {
        const auto expected = request.field(target_field);
        if (!expected.empty() && expected != who_.id)
        {
            peer.send(
                "HTTP/1.1 421 Misdirected Request\r\n"
                "X-Waxwingvalve-Instance-Id: " +
                who_.id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!behave_(peer, request))
        {
            return;
        }
    }
}

std::string signed_answer(const message& request, const std::string& body)
{
    std::ostringstream out;
    out << "HTTP/1.1 200 OK\r\n"
        << attempt_field << ": " << request.field(attempt_field) << "\r\n"
        << signature_field << ": s." << body.size() << "\r\n"
        << "Content-Length: " << body.size() << "\r\n\r\n"
        << body;
    return out.str();
}

daemon_process::daemon_process(
    place where, const std::string& address, std::string folder)
    : where_{std::move(where)}, folder_{std::move(folder)},
      settings_{folder_ + "/" + where_.name + ".json"}
{
    std::set<int> ports;
    while (ports.size() < 4)
    {
        ports.insert(free_port(address));
    }
    auto port = ports.begin();
    callers_ = {address, *port++};
    readiness_ = {address, *port++};
    lookups_ = {address, *port++};
    control_ = {address, *port};
}

daemon_process::~daemon_process()
{
    kill_now();
}

void daemon_process::write_settings(
    const endpoint& store,
    const std::vector<endpoint>& seeds,
    const std::map<std::string, std::string>& region_of_zone,
    int peer_port,
    const std::string& extra)
{
    std::ofstream out{settings_};
    out << R"({"schema_version":1,"name":")" << where_.name << R"(","region":")"
        << where_.region << R"(","zone":")" << where_.zone
        << R"(","caller_address":")" << callers_.text()
        << R"(","readiness_address":")" << readiness_.text()
        << R"(","lookup_address":")" << lookups_.text()
        << R"(","control_address":")" << control_.text() << R"(","peer_port":)"
        << peer_port << R"(,"seeds":[)";
    for (std::size_t i = 0; i < seeds.size(); ++i)
    {
        out << (i > 0 ? "," : "") << '"' << seeds[i].text() << '"';
    }
    out << R"(],"zones":[)";
    bool first = true;
    for (const auto& [zone, region] : region_of_zone)
    {
        out << (first ? "" : ",") << R"({"zone":")" << zone << R"(","region":")"
            << region << R"("})";
        first = false;
    }
    out << R"(],"store_address":")" << store.text()
        << R"(","lookup_lifetime":"2s","stop_time":"6s","retry_ratio":0.2,)"
        << R"("retry_window":"10s","retry_allowance":62,"region_step":0.15,)"
        << R"("worker_report_interval":"1500ms","log_level":"info")" << extra
        << "}";
}

void daemon_process::start()
{
    const auto log = folder_ + "/" + where_.name + ".log";
    end_signal_ = 0;
    process_ = ::fork();
    if (process_ != 0)
    {
        return;
    }
    // The process ends with the test, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(
        program.data(),
        program.data(),
        "--settings",
        settings_.c_str(),
        nullptr);
    ::_exit(127);
}

void daemon_process::send(int signal) const
{
    if (process_ > 0)
    {
        ::kill(process_, signal);
    }
}

void daemon_process::kill_now()
{
    if (process_ > 0)
    {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = -1;
    }
}

bool daemon_process::running()
{
    if (process_ <= 0)
    {
        return false;
    }
    int status = 0;
    if (::waitpid(process_, &status, WNOHANG) != process_)
    {
        return true;
    }
    end_signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    process_ = -1;
    return false;
}

double daemon_process::memory_mb() const
{
    std::ifstream in{"/proc/" + std::to_string(process_) + "/status"};
    std::string line;
    while (std::getline(in, line))
    {
        if (line.starts_with("VmRSS:"))
        {
            return std::strtod(line.c_str() + 6, nullptr) / 1024;
        }
    }
    return 0;
}

bool daemon_process::ready() const
{
    const auto got = call(
        readiness_,
        "GET /waxwingvalve/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        milliseconds{1'000});
    return got.status == 200;
}

answer call(
    const endpoint& where, const std::string& request, milliseconds wait)
{
    const auto began = seconds_now();
    answer out;
    const auto peer = connect_to(where);
    if (peer->open() && peer->send(request))
    {
        std::string buffer;
        if (read_message(*peer, buffer, out.content, wait))
        {
            out.status = out.content.status();
        }
    }
    out.took_s = seconds_now() - began;
    return out;
}

std::string request_text(
    const std::string& method,
    const std::string& path,
    const std::string& id,
    int deadline_ms,
    const std::string& body)
{
    std::ostringstream out;
    out << method << ' ' << path << " HTTP/1.1\r\nHost: desk.example\r\n"
        << attempt_field << ": " << id
        << "\r\nX-Waxwingvalve-Request-Deadline: " << deadline_ms << "\r\n";
    if (method != "GET")
    {
        out << "Content-Length: " << body.size() << "\r\n";
    }
    out << "\r\n" << body;
    return out.str();
}

std::string configuration(int version, const std::vector<route_spec>& routes)
{
    std::ostringstream out;
    std::set<std::string> services;
    out << R"({"version":"r)" << version << R"(","resources":[)";
    for (const auto& one : routes)
    {
        services.insert(one.service);
        out << R"({"entry_type":"routes","metadata":{"name":"r)" << one.prefix
            << R"("},"spec":{"host":"desk.example","prefix":")" << one.prefix
            << R"(","kind":")" << one.kind << R"(","timeout":")"
            << one.timeout_ms
            << R"(ms","target_latency":"600ms","priority":1,"service":")"
            << one.service << R"(","max_attempts":)" << one.max_attempts
            << R"(,"sticky":false,"home_regions":[]}},)";
    }
    for (const auto& name : services)
    {
        out << R"({"entry_type":"services","metadata":{"name":")" << name
            << R"("},"spec":{"health_path":"/health","max_connections":390,)"
            << R"("protocol":"h1","tls":false,"cold_start":"3s",)"
            << R"("cold_per_s":4.2}},)";
    }
    out << R"({"entry_type":"limits","metadata":{},"spec":)"
        << R"({"max_header_bytes":16384,"max_body_bytes":67108864,)"
        << R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
    return out.str();
}

deployment::deployment(int daemon_count)
    : folder_{temporary_folder()}, store_{std::make_unique<store>(
                                       loopback_address(1))}
{
    for (int i = 0; i < daemon_count; ++i)
    {
        const place where{
            "entry-" + std::to_string(i + 1),
            std::string{main_zone},
            std::string{main_region}};
        daemons_.push_back(std::make_unique<daemon_process>(
            where, loopback_address(10 + i), folder_));
    }
    peer_port_ = free_port(loopback_address(10));
}

deployment::~deployment()
{
    daemons_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

worker& deployment::add_worker(
    const worker_identity& who, worker::behaviour behave)
{
    const auto host = 100 + static_cast<int>(workers_.size());
    workers_.push_back(std::make_unique<worker>(
        who, loopback_address(host), std::move(behave)));
    store_->put("servers", who.id, workers_.back()->entry("ready"));
    return *workers_.back();
}

worker& deployment::add_sound_worker(
    const worker_identity& who, milliseconds work)
{
    return add_worker(
        who,
        [this, work, id = who.id](connection& peer, const message& request)
        {
            ledger_.add(request.field(attempt_field), id);
            std::this_thread::sleep_for(work);
            return peer.send(signed_answer(request, "done by " + id));
        });
}

void deployment::start(daemon_process& one)
{
    const std::map<std::string, std::string> zones{
        {std::string{main_zone}, std::string{main_region}}};
    std::vector<endpoint> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(daemons_.size(), 2); ++i)
    {
        seeds.push_back(daemons_[i]->control());
    }
    one.write_settings(
        store_->where(), seeds, zones, peer_port_, extra_settings_);
    one.start();
}

bool deployment::start_all()
{
    for (const auto& one : daemons_)
    {
        start(*one);
    }
    const auto end = seconds_now() + 10;
    while (seconds_now() < end)
    {
        const bool ready = std::ranges::all_of(
            daemons_, [](const auto& one) { return one->ready(); });
        if (ready)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    return false;
}

std::map<std::string, int> deployment::keep_running(double until_s, record& out)
{
    std::map<std::string, int> own_ends;
    std::map<std::string, double> starts_at;
    while (seconds_now() < until_s)
    {
        for (const auto& one : daemons_)
        {
            const auto& name = one->name();
            if (const auto due = starts_at.find(name); due != starts_at.end())
            {
                if (seconds_now() >= due->second)
                {
                    starts_at.erase(due);
                    out.line("started again " + name);
                    start(*one);
                }
                continue;
            }
            const auto memory = one->memory_mb();
            if (memory > machine_memory_mb)
            {
                out.line(
                    "over its memory, killed by the platform: " + name + ", " +
                    std::to_string(memory) + " MB");
                one->kill_now();
            }
            if (!one->running())
            {
                ++own_ends[name];
                out.line(
                    "ended " + name + ", signal " +
                    std::to_string(one->end_signal()));
                starts_at[name] = seconds_now() + restart_delay_s;
            }
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return own_ends;
}

void deployment::end(int exit_status)
{
    daemons_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
    std::_Exit(exit_status);
}

void outcome_counts::add(int status)
{
    const std::scoped_lock lock{mutex_};
    ++counts_[status];
}

std::string outcome_counts::text()
{
    const std::scoped_lock lock{mutex_};
    std::string out;
    for (const auto& [status, count] : counts_)
    {
        out += (status == 0 ? "no answer" : std::to_string(status)) + ": " +
               std::to_string(count) + "; ";
    }
    return out;
}

void run_callers(
    int callers,
    double until_s,
    record& out,
    outcome_counts& counts,
    const std::function<caller_request(int, int, const std::string&)>& make)
{
    constexpr milliseconds pause{20};
    constexpr milliseconds patience{6'000};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
    for (int caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back(
            [&, caller]
            {
                for (int i = 0; seconds_now() < until_s; ++i)
                {
                    const auto id =
                        "c" + std::to_string(caller) + "-" + std::to_string(i);
                    const auto request = make(caller, i, id);
                    out.line("sent " + id + " to " + request.where.text());
                    const auto got =
                        call(request.where, request.text, patience);
                    out.line(
                        "answered " + id + " " + std::to_string(got.status));
                    counts.add(got.status);
                    std::this_thread::sleep_for(pause);
                }
            });
    }
    for (auto& one : threads)
    {
        one.join();
    }
}

bool fault_rule_broken(
    const std::map<std::string, int>& own_ends, std::size_t machines)
{
    constexpr int ends_allowed = 2;
    const auto failing = static_cast<std::size_t>(std::ranges::count_if(
        own_ends, [](const auto& one) { return one.second > ends_allowed; }));
    return failing >= std::max<std::size_t>(2, (machines + 9) / 10);
}

std::string temporary_folder()
{
    auto pattern = std::filesystem::temp_directory_path().string() +
                   "/waxwingvalve-review-XXXXXX";
    const char* made = ::mkdtemp(pattern.data());
    if (made == nullptr)
    {
        throw std::runtime_error{"no temporary folder"};
    }
    return made;
}

void read_arguments(int argc, char** argv)
{
    const std::string_view value = argc == 2 ? argv[1] : "";
    if (value != "0" && value != "1")
    {
        std::_Exit(2);
    }
    trouble = value == "1";
}

bool with_trouble()
{
    return trouble;
}

bool in_trouble_now()
{
    constexpr double lasts_s = 5;
    constexpr double comes_again_s = 8;
    return with_trouble() && std::fmod(seconds_now(), comes_again_s) < lasts_s;
}

} // namespace waxwingvalve::review
