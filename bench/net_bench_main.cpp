// camphorrock-net-bench: measures HTTP on one event loop per process, in two processes:
//
//     camphorrock-net-bench --serve --listen 127.0.0.1:9000     (stops on SIGTERM)
//     camphorrock-net-bench --to 127.0.0.1:9000 --connections 16 --seconds 5
//
// The load is closed-loop: each connection sends its next request when the last one is
// answered. Both processes report the processor time that they used per request; its
// inverse is the throughput of one core.

#include "app/command_line.hpp"
#include "app/latency_histogram.hpp"
#include "app/program.hpp"
#include "core/gateway/retry/suspect_list.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/socket_client.hpp"

#include <sys/resource.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace camphorrock;

namespace
{

struct bench_settings
{
    bool is_server = false;
    bool opens_fresh_connections = false;
    bool takes_fingerprints = false; // of each request, as while there are suspects
    bool uses_libcurl = false;       // for requests, as for the store
    std::string listen = "127.0.0.1:0";
    std::string to;
    std::int64_t connections = 16;
    std::int64_t body_bytes = 100;
    std::int64_t run_seconds = 5;
};

double to_microseconds(const timeval& time)
{
    constexpr double us_per_s = 1e6;
    return static_cast<double>(time.tv_sec) * us_per_s +
           static_cast<double>(time.tv_usec);
}

// The user and system time of this process so far.
double processor_time_used_us()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return to_microseconds(used.ru_utime) + to_microseconds(used.ru_stime);
}

void print_processor_time(double used_us, std::uint64_t requests)
{
    constexpr double us_per_s = 1e6;
    const double each_us = requests == 0 ? 0 : used_us / static_cast<double>(requests);
    std::printf("processor time %.1f us a request: %.0f requests a second per core\n",
                each_us,
                each_us == 0 ? 0 : us_per_s / each_us);
}

class echo_handler : public http_handler
{
public:
    explicit echo_handler(bool takes_fingerprints)
        : takes_fingerprints_(takes_fingerprints)
    {
    }

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        ++requests;
        if (takes_fingerprints_)
        {
            const request_fingerprint made =
                fingerprint_of({request.method,
                                request.headers.find("Host").value_or(""),
                                request.target,
                                request.headers.find("Shard-Key").value_or(""),
                                request.body});
            seen += suspects_.standing_of(made) == crash_standing::clear ? 0 : 1;
        }
        http_response answer;
        answer.body = std::move(request.body);
        responder->respond(std::move(answer));
    }

    std::uint64_t requests = 0;
    std::uint64_t seen = 0; // suspects

private:
    bool takes_fingerprints_;
    suspect_list suspects_;
};

result<int> serve(const bench_settings& settings)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    echo_handler handler(settings.takes_fingerprints);
    http_server_options options;
    options.address = endpoint(settings.listen);
    BOOST_LEAF_AUTO(server, http_server::create(*loop, options, handler));
    print_listening(server->bound());
    const watch_handle on_term = loop->on_signal(SIGTERM, [&] { loop->stop(); });
    const double before_us = processor_time_used_us();
    loop->run();
    std::printf("requests %llu\n", static_cast<unsigned long long>(handler.requests));
    print_processor_time(processor_time_used_us() - before_us, handler.requests);
    return exit_ok;
}

// Keeps one request in flight per connection until the length of the run has passed.
class closed_load
{
public:
    closed_load(event_loop& loop, http_client& client, const bench_settings& settings)
        : loop_(loop), client_(client), settings_(settings), server_address_(settings.to)
    {
        request_.method = "POST";
        request_.target = "/service/key";
        request_.body = std::string(static_cast<std::size_t>(settings.body_bytes), 'x');
        if (settings.opens_fresh_connections)
        {
            options_.connection = connection_choice::fresh;
        }
    }

    void run()
    {
        const time_point start = loop_.now();
        const double before_us = processor_time_used_us();
        ends_at_ = start + seconds(settings_.run_seconds);
        for (std::int64_t i = 0; i < settings_.connections; ++i)
        {
            send();
        }
        loop_.run();
        report(loop_.now() - start, processor_time_used_us() - before_us);
    }

private:
    void send()
    {
        ++in_flight_;
        client_.send(server_address_,
                     request_,
                     options_,
                     [this](const exchange_result& exchange)
                     { on_exchange_end(exchange); });
    }

    void on_exchange_end(const exchange_result& exchange)
    {
        --in_flight_;
        failed_ += exchange.end == exchange_end::answered ? 0 : 1;
        latency_.record(exchange.time_taken);
        if (loop_.now() < ends_at_)
        {
            send();
        }
        else if (in_flight_ == 0)
        {
            loop_.stop();
        }
    }

    void report(duration elapsed, double used_us)
    {
        const double elapsed_s = std::chrono::duration<double>(elapsed).count();
        std::printf("requests %llu failed %llu a second %.0f\n",
                    static_cast<unsigned long long>(latency_.count()),
                    static_cast<unsigned long long>(failed_),
                    static_cast<double>(latency_.count()) / elapsed_s);
        std::printf("latency p50 %lld us p99 %lld us max %lld us\n",
                    static_cast<long long>(latency_.quantile(0.50).count()),
                    static_cast<long long>(latency_.quantile(0.99).count()),
                    static_cast<long long>(latency_.max().count()));
        print_processor_time(used_us, latency_.count());
    }

    event_loop& loop_;
    http_client& client_;
    const bench_settings& settings_;
    endpoint server_address_;
    http_request request_;
    exchange_options options_;
    latency_histogram latency_{{microseconds(10), seconds(10), 200}};
    time_point ends_at_{};
    std::int64_t in_flight_ = 0;
    std::uint64_t failed_ = 0;
};

result<int> run_load(const bench_settings& settings)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    http_client_options options;
    options.max_connections_per_endpoint = static_cast<long>(settings.connections);
    BOOST_LEAF_AUTO(client,
                    settings.uses_libcurl ? http_client::create(*loop, options)
                                          : socket_client::create(*loop, options));
    closed_load(*loop, *client, settings).run();
    return exit_ok;
}

void declare_options(command_line& line, bench_settings& settings)
{
    constexpr double max_connections = 1000;
    constexpr double max_body_bytes = 1000000;
    constexpr double max_seconds = 60;
    line.add_flag("--serve", settings.is_server, "run the server");
    line.add_flag("--fingerprints",
                  settings.takes_fingerprints,
                  "of the server: take the fingerprint of each request");
    line.add_flag("--fresh",
                  settings.opens_fresh_connections,
                  "open a new connection for each request");
    line.add_flag("--libcurl",
                  settings.uses_libcurl,
                  "send requests by libcurl, as to the store, not as to servers");
    line.add_option("--listen", settings.listen, "address to listen on");
    line.add_option("--to", settings.to, "address of the server to send requests to");
    line.add_option("--connections",
                    settings.connections,
                    "number of connections, each with one request in flight");
    line.add_option(
        "--body-bytes", settings.body_bytes, "size of a request body in bytes");
    line.add_option("--seconds", settings.run_seconds, "length of the run in seconds");
    line.require_range("--connections", 1, max_connections);
    line.require_range("--body-bytes", 0, max_body_bytes);
    line.require_range("--seconds", 1, max_seconds);
}

} // namespace

int main(int argc, char** argv)
{
    bench_settings settings;
    command_line line("camphorrock-net-bench", "Measures HTTP on one event loop.");
    declare_options(line, settings);
    if (const std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    return value_or_handle(
        [&]() { return settings.is_server ? serve(settings) : run_load(settings); },
        [](const error& ec)
        {
            std::fprintf(stderr, "%s\n", ec.text.c_str());
            return exit_failure;
        });
}
