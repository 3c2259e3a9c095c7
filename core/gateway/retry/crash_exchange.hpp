#pragma once

// Keeps requests that crash servers from ending one server after the other: knows the
// suspects, asks the gateway that counts for the service before a suspect is sent, tells
// it how attempts ended, and counts for the services for which this gateway was chosen;
// see crash_counter.hpp.
//
//     exchange.set_fleet(fleet, self, now);
//     if (exchange.suspects().standing_of(fingerprint) == crash_standing::suspected)
//         exchange.request(trial, now);
//     exchange.report(report, now);        // an attempt of a suspect has ended
//     exchange.receive(message, now);      // of another gateway
//     exchange.tick(now);                  // at next_timeout()
//     for (const outgoing_crash_message& it : exchange.take_outgoing()) send(it);
//     for (const decided_trial& it : exchange.take_decided()) ...
//
// Nothing is sent while no server crashes, but for the questions of a gateway that was
// just started, which asks others for the verdicts. A change of a suspect is told to all
// gateways, by the one that counts. Without a gateway that counts, each one permits the
// attempts of its own suspects, one at a time.
//
// Messages may be lost: requests and reports are repeated until their reply arrives,
// notices a few times. A report whose first sending is not answered is also counted here,
// and told to all, so that they learn of a crash while those that count are silent. So
// several gateways may count the same request, and a clearance is told to all, too.
//
// Memory: see suspect_list and crash_counter; a row for each request without a decision,
// and for each report that is to be repeated.

#include "core/gateway/fleet/counting_gateways.hpp"
#include "core/gateway/retry/crash_counter.hpp"
#include "core/gateway/retry/suspect_list.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace camphorrock
{

struct crash_exchange_options
{
    duration reply_timeout = milliseconds(30);
    // A part of a fleet that is cut in two should have one that counts.
    counting_gateways_options counting{.per_name = 4, .missed_replies_to_silence = 2};
    unsigned max_attempts = 8;               // of one request or report
    duration notice_delay = milliseconds(5); // so that one notice holds several changes
    // After which a notice is sent once more, to gateways that have missed it.
    std::vector<duration> notice_repeats = {
        milliseconds(200), seconds(1), seconds(5), seconds(20), seconds(60)};
    std::size_t max_rows_in_notice = 64; // so that it fits into a datagram
    // For the verdicts, after a start.
    std::size_t gateways_to_ask = 3;
    unsigned questions = 2; // to each of them
    duration question_gap = seconds(1);
};

struct outgoing_crash_message
{
    endpoint to;
    crash_message message;
};

struct decided_trial
{
    trial_id id;
    trial_answer answer = trial_answer::wait;
};

class crash_exchange
{
public:
    explicit crash_exchange(crash_exchange_options options = {});

    // `self` is the address of this gateway.
    void set_fleet(const std::vector<fleet_gateway>& fleet,
                   const endpoint& self,
                   time_point now);

    const suspect_list& suspects() const
    {
        return suspects_;
    }

    // Asks for the permission to send a suspect; sets `known` and `reply_to` itself. The
    // attempt must be reported after a permission.
    void request(trial_request trial, time_point now);

    // Returns false, without effect, after the decision.
    bool withdraw(trial_id id, time_point now);

    // An attempt of a suspect has ended, or one that crashed its server. Sets `reply_to`
    // itself.
    void report(const trial_report& report, time_point now);

    // An operator's word: the request may be sent again. Tells all gateways.
    void lift(const request_fingerprint& request, time_point now);

    // A message of another gateway.
    void receive(const crash_message& message, time_point now);

    // Repeats what is due.
    void tick(time_point now);

    // When tick() has something to do; empty while nothing is due.
    std::optional<time_point> next_timeout() const;

    // Drops what is idle. To be called now and then.
    void expire(time_point now);

    std::vector<outgoing_crash_message> take_outgoing();
    std::vector<decided_trial> take_decided();

    // What has become known since the last call.
    std::vector<suspect_row> take_news();

    // The verdicts that this gateway made, or took back, since the last call, to be kept.
    std::vector<suspect_row> take_verdicts();

    // Verdicts that were kept. Tells all gateways.
    void restore(const std::vector<suspect_row>& verdicts, time_point now);

private:
    struct pending_trial
    {
        trial_request trial;
        endpoint asked;
        unsigned attempts = 0;
        time_point timeout{}; // for the reply
    };

    struct pending_report
    {
        trial_report report;
        time_point first_sent_at{};
        endpoint asked;
        unsigned attempts = 0;
        time_point timeout{}; // for the reply
    };

    struct pending_notice
    {
        std::vector<suspect_row> rows;
        time_point first_due_at{};
        std::size_t sent = 0;
    };

    void ask(trial_id id, time_point now);
    void decide(trial_id id, trial_answer answer, time_point now);
    void send_report(trial_id id, time_point now);
    // The report with its ages as of now.
    static trial_report aged(const pending_report& it, time_point now);
    void clear(const request_fingerprint& request, time_point now);
    void count_here(const trial_report& report, time_point now);
    void tell_cleared(const request_fingerprint& request, time_point now);
    void note_changes(time_point now);
    void tell_all(const std::vector<suspect_row>& rows, time_point now);
    void send_notice(const std::vector<suspect_row>& rows);
    void learn(const suspect_row& row, time_point now);
    void ask_for_verdicts(time_point now);
    void tick_trials(time_point now);
    void tick_reports(time_point now);
    void tick_notices(time_point now);
    time_point due_at(const pending_notice& it) const;
    void handle(const trial_request& trial, time_point now);
    void handle(const trial_reply& reply, time_point now);
    void handle(const trial_report& report, time_point now);
    void handle(const trial_noted& noted, time_point now);
    void handle(const suspects_notice& notice, time_point now);
    void handle(const verdicts_request& request, time_point now);

    crash_exchange_options options_;
    counting_gateways gateways_;
    suspect_list suspects_;
    crash_counter counter_;
    std::map<trial_id, pending_trial> pending_;
    std::map<trial_id, pending_report> reports_;
    std::vector<pending_notice> notices_;
    unsigned questions_ = 0;                     // for the verdicts, so far
    std::optional<time_point> next_question_at_; // empty: the fleet is not known, or all
                                                 // were asked
    std::vector<outgoing_crash_message> outgoing_;
    std::vector<decided_trial> decided_;
    std::vector<suspect_row> news_;
    std::vector<suspect_row> verdicts_;
};

} // namespace camphorrock
