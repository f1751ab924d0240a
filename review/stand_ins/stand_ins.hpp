// Small stand-ins for the review's scripts: the platform's store, workers,
// callers and the processes of the daemons. They use blocking sockets, a
// thread for each connection, and loopback addresses only.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace waxwingvalve::review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Seconds since the start of the program.
double seconds_now();

void sleep_until_s(double at);

// Writes lines with a time stamp to a file; used by all threads.
class record
{
public:
    explicit record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct endpoint
{
    std::string address{};
    int port{};

    std::string text() const { return address + ":" + std::to_string(port); }
};

// A loopback address of this run: 127.x.y.`host`.
std::string loopback_address(int host);
// A port that is free at the address, for TCP.
int free_port(const std::string& address);

// A socket that is closed at the end of its life.
class connection
{
public:
    explicit connection(int handle) : handle_{handle} {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    int handle() const { return handle_; }
    bool open() const { return handle_ >= 0; }
    // Returns false if the peer has closed the connection.
    bool send(std::string_view bytes) const;
    // Appends what has arrived to `buffer`. Returns false at the end of the
    // connection or when nothing came for `wait`.
    bool receive(std::string& buffer, milliseconds wait) const;
    // Ends both directions; a blocked thread returns.
    void shut_down() const;
    // Closes with a reset instead of a FIN.
    void reset();
    // Bytes that a worker sends before its next answer.
    std::string& late_bytes() { return late_bytes_; }

private:
    int handle_;
    std::string late_bytes_;
};

// Returns a closed connection if the peer does not answer.
std::unique_ptr<connection> connect_to(const endpoint& where);

struct message
{
    // First line and header fields, without the empty line.
    std::string head{};
    std::string body{};

    std::string field(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

// Reads a message with a Content-Length (or without a body). What follows it
// stays in `buffer`.
bool read_message(
    const connection& from,
    std::string& buffer,
    message& out,
    milliseconds wait);

// Accepts connections and runs `serve` for each one in a thread of its own.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(const std::string& address, handler serve);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    const endpoint& where() const { return where_; }
    // Refuses new connections from now on.
    void stop();

private:
    void accept();

    endpoint where_{};
    handler serve_;
    int listener_{-1};
    std::thread thread_;
};

// The table form of the platform's store, for readers. Writes come from the
// test itself and are acknowledged when they return.
class store
{
public:
    explicit store(const std::string& address);

    const endpoint& where() const { return server_.where(); }
    void put(
        const std::string& table,
        const std::string& key,
        const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row
    {
        std::string value{};
        std::uint64_t version{};
        bool deleted{};
    };

    void serve(connection& peer);
    std::string rows_after(
        const std::string& table,
        std::uint64_t after,
        bool with_deleted,
        bool& found);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_{1};
    server server_;
};

// Every run of a request at a worker, by the id of the attempt.
class run_ledger
{
public:
    void add(const std::string& id, const std::string& worker);
    std::vector<std::string> runs(const std::string& id);
    std::map<std::string, std::vector<std::string>> all();

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> runs_;
};

struct worker_identity
{
    std::string id{};
    std::string service{};
    std::string zone{};
    int slots{4};
};

// What the worker writes of itself into the table `servers`.
std::string worker_entry(
    const worker_identity& who,
    const endpoint& where,
    const std::string& state);

// A worker that runs each request for some time, or does what `behave` says.
class worker
{
public:
    // Serves one request; returns false to close the connection. Not called
    // for requests that name another worker.
    using behaviour = std::function<bool(connection&, const message&)>;

    worker(worker_identity who, const std::string& address, behaviour behave);

    const worker_identity& who() const { return who_; }
    const endpoint& where() const { return server_.where(); }
    std::string entry(const std::string& state) const;

private:
    void serve(connection& peer);

    worker_identity who_;
    behaviour behave_;
    server server_;
};

// The complete, signed answer of a sound worker.
std::string signed_answer(const message& request, const std::string& body);

struct place
{
    std::string name{};
    std::string zone{};
    std::string region{};
};

// A daemon, started with the command of the deploy file.
class daemon_process
{
public:
    daemon_process(place where, const std::string& address, std::string folder);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    // Settings as the deploy file's template gives them.
    void write_settings(
        const endpoint& store,
        const std::vector<endpoint>& seeds,
        const std::map<std::string, std::string>& region_of_zone,
        int peer_port,
        const std::string& extra = "");
    void start();
    void send(int signal) const;
    // Ends the process, and waits for its end.
    void kill_now();
    bool running();
    // The signal that ended the process, 0 if it exited.
    int end_signal() const { return end_signal_; }
    // Resident memory in MB; 0 if the process has ended.
    double memory_mb() const;
    bool ready() const;

    const std::string& name() const { return where_.name; }
    endpoint callers() const { return callers_; }
    endpoint lookups() const { return lookups_; }
    endpoint control() const { return control_; }

private:
    place where_;
    std::string folder_;
    std::string settings_;
    endpoint callers_;
    endpoint readiness_;
    endpoint lookups_;
    endpoint control_;
    pid_t process_{-1};
    int end_signal_{0};
};

struct answer
{
    // 0 when the connection ended without a whole answer.
    int status{};
    message content{};
    double took_s{};
};

// Sends a request on a new connection and waits for its answer.
answer call(
    const endpoint& where, const std::string& request, milliseconds wait);

// How the requests of the callers ended, by status.
class outcome_counts
{
public:
    void add(int status);
    std::string text();

private:
    std::mutex mutex_;
    std::map<int, int> counts_;
};

// A caller's request: where it is sent, and the whole text.
struct caller_request
{
    endpoint where{};
    std::string text{};
};

// Runs callers until `until_s`, each of which sends one request after another.
// `make` gets the number of the caller, of the request, and its id.
void run_callers(
    int callers,
    double until_s,
    record& out,
    outcome_counts& counts,
    const std::function<caller_request(int, int, const std::string&)>& make);

// The rule Fault: processes of a tenth of the machines, and of two at least,
// end by themselves three times.
bool fault_rule_broken(
    const std::map<std::string, int>& own_ends, std::size_t machines);

// A request of a caller; the id names the attempt.
std::string request_text(
    const std::string& method,
    const std::string& path,
    const std::string& id,
    int deadline_ms,
    const std::string& body = "");

struct route_spec
{
    std::string prefix{};
    std::string kind{};
    std::string service{};
    int timeout_ms{2'500};
    int max_attempts{2};
};

std::string configuration(int version, const std::vector<route_spec>& routes);

// Zone `isan-a` of region `isan`, as in a small deployment.
inline constexpr std::string_view main_zone = "isan-a";
inline constexpr std::string_view main_region = "isan";

// Some daemons, a store and workers, all on loopback.
class deployment
{
public:
    // Daemons and workers of one zone; the daemons are not started yet.
    explicit deployment(int daemon_count);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    run_ledger& ledger() { return ledger_; }
    store& table() { return *store_; }
    std::vector<std::unique_ptr<daemon_process>>& daemons() { return daemons_; }
    worker& add_worker(const worker_identity& who, worker::behaviour behave);
    // A worker that runs each request for `work` and answers it.
    worker& add_sound_worker(const worker_identity& who, milliseconds work);
    // Adds fields, as `,"name":value`, to the settings of all daemons.
    void add_settings(const std::string& extra) { extra_settings_ = extra; }
    // Starts a daemon, again or for the first time.
    void start(daemon_process& one);
    // Returns false if the daemons are not ready in time.
    bool start_all();
    // Does the platform's part until `until_s`: kills a daemon that exceeds
    // the memory of its machine and starts one that has ended again. Returns
    // how often each daemon ended by itself.
    std::map<std::string, int> keep_running(double until_s, record& out);
    // Ends the daemons, then the program, without waiting for the threads of
    // connections.
    [[noreturn]] void end(int exit_status);

private:
    std::string folder_;
    int peer_port_{};
    std::string extra_settings_;
    run_ledger ledger_;
    std::unique_ptr<store> store_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
};

// A folder for the run's settings and logs, removed by the caller.
std::string temporary_folder();

// Takes the value of TROUBLE that run.sh passes on: 1, or 0 for a run without
// the disruption. Ends the program with 2 at any other.
void read_arguments(int argc, char** argv);

// Whether the run has the disruption.
bool with_trouble();
// A disruption that lasts five seconds, as in the site files, and comes again
// three seconds later.
bool in_trouble_now();

} // namespace waxwingvalve::review
