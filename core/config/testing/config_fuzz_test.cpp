#include "core/config/config_patcher.hpp"
#include "core/config/config_tracker.hpp"
#include "testing/test_headers.hpp"

#include <map>
#include <memory>
#include <optional>

using namespace camphorrock;

// Operators submit patches through several assigners over one store that loses replies,
// delays writes and fails; routers learn versions late, twice and out of order.
//
// The oracle: the store's list of documents. Each version was made by exactly one patch;
// an operator told `accepted` finds its patch as that version; one told `stale`, or at
// first `unavailable`, never does; no router's version goes down.

namespace
{

struct pending_swap
{
    config_version expected;
    configuration next;
};

struct operator_patch
{
    patch_request request;
    std::unique_ptr<config_patcher> patcher;
    configuration seen; // what the last read gave
    patch_action next;
};

struct known_answer
{
    patch_request request;
    patch_action answer;
};

struct world
{
    std::vector<configuration> history{configuration()};
    std::vector<pending_swap> delayed;
    std::vector<operator_patch> open;
    std::map<patch_id, known_answer> told;

    const configuration& document() const
    {
        return history.back();
    }

    bool swap(const pending_swap& it)
    {
        if (document().version != it.expected)
        {
            return false;
        }
        history.push_back(it.next);
        return true;
    }

    void submit(patch_request request)
    {
        auto patcher =
            std::make_unique<config_patcher>(request, config_patcher_options());
        patch_action first = patcher->start();
        open.push_back({request, std::move(patcher), {}, first});
    }

    // Carries out one step of one open patch. `fault` 0: none, 1: fails, 2: reply lost
    // after the effect, 3: reply lost and the write still under way.
    void step(std::size_t at, unsigned fault)
    {
        operator_patch& it = open[at];
        if (it.next.step == patch_step::read)
        {
            it.seen = document();
            it.next = it.patcher->on_read(fault == 1 ? nullptr : &it.seen);
        }
        else
        {
            it.next = it.patcher->on_swap(write(it, fault));
        }
        if (it.next.step == patch_step::answer)
        {
            tell(it.request, it.next);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
        }
    }

    store_end write(const operator_patch& it, unsigned fault)
    {
        pending_swap todo{it.seen.version, next_configuration(it.seen, {}, it.request)};
        if (fault == 3)
        {
            delayed.push_back(todo);
            return store_end::unknown;
        }
        if (fault == 1)
        {
            return store_end::failed;
        }
        bool is_done = swap(todo);
        if (fault == 2)
        {
            return store_end::unknown;
        }
        return is_done ? store_end::done : store_end::conflict;
    }

    // What the operator knows after this answer: after `unknown`, only an answer about
    // the patch, not one about a later submission, settles it.
    void tell(const patch_request& request, patch_action answer)
    {
        auto it = told.try_emplace(request.id, known_answer{request, answer}).first;
        if (it->second.answer.end == patch_end::unknown &&
            answer.end != patch_end::unavailable)
        {
            it->second.answer = answer;
        }
    }

    void submit_again()
    {
        for (const auto& [id, known] : told)
        {
            if (known.answer.end == patch_end::unknown)
            {
                return submit(known.request);
            }
        }
    }

    std::optional<config_version> made_by(const patch_id& id) const
    {
        std::optional<config_version> found;
        for (const configuration& it : history)
        {
            if (!it.patches.empty() && it.patches.back().id == id)
            {
                RC_ASSERT(!found); // a patch is applied once
                found = it.version;
            }
        }
        return found;
    }

    void check() const
    {
        for (std::size_t n = 0; n < history.size(); ++n)
        {
            RC_ASSERT(history[n].version.value == n);
        }
        for (const auto& [id, known] : told)
        {
            const patch_action& answer = known.answer;
            std::optional<config_version> made = made_by(id);
            bool is_accepted = answer.end == patch_end::accepted;
            RC_ASSERT(!is_accepted || made == answer.version);
            bool is_refused =
                answer.end == patch_end::stale || answer.end == patch_end::unavailable;
            RC_ASSERT(!is_refused || !made);
        }
    }
};

} // namespace

TEST_CASE("operators race over a faulty store", "[fuzz]")
{
    rc::prop("one patch a version, and each operator is told the truth",
             []
             {
                 world it;
                 auto steps =
                     *rc::gen::resize(rc::kNominalSize,
                                      rc::gen::container<std::vector<unsigned>>(
                                          120, rc::gen::inRange<unsigned>(0, 1u << 16)));
                 unsigned next_id = 0;
                 for (unsigned draw : steps)
                 {
                     unsigned choice = draw % 8;
                     if (choice == 0 || it.open.empty())
                     {
                         patch_id id(std::to_string(next_id++));
                         it.submit({id, it.document().version});
                     }
                     else if (choice == 1)
                     {
                         it.submit_again();
                     }
                     else if (choice == 2 && !it.delayed.empty())
                     {
                         std::size_t at = (draw >> 3) % it.delayed.size();
                         it.swap(it.delayed[at]);
                         it.delayed.erase(it.delayed.begin() +
                                          static_cast<std::ptrdiff_t>(at));
                     }
                     else
                     {
                         unsigned fault = (draw >> 13) % 8;
                         it.step((draw >> 3) % it.open.size(), fault);
                     }
                     it.check();
                 }
             });
}

TEST_CASE("a router's version only goes up and goes stale without contact", "[fuzz]")
{
    rc::prop("whatever order the messages come in",
             [](const std::vector<std::pair<unsigned char, unsigned char>>& messages)
             {
                 config_tracker tracker({});
                 time_point now;
                 config_version store;
                 // When the store first had each version.
                 std::vector<time_point> made{now};
                 for (auto [kind, draw] : messages)
                 {
                     now += milliseconds(100 * (draw % 16));
                     config_version before = tracker.version();
                     config_version some{draw % (store.value + 1)};
                     switch (kind % 5)
                     {
                     case 0:
                         ++store.value;
                         made.push_back(now);
                         break;
                     case 1:
                         tracker.on_document(some);
                         break;
                     case 2:
                         tracker.on_contact(now, store);
                         break;
                     case 3:
                         if (tracker.on_version_seen(now, some))
                         {
                             RC_ASSERT(some > tracker.version());
                         }
                         break;
                     default:
                         tracker.on_document(store);
                     }
                     RC_ASSERT(before <= tracker.version());
                     bool is_newer_old =
                         tracker.version() < store &&
                         now - made[tracker.version().value + 1] > seconds(6);
                     RC_ASSERT(!is_newer_old || !tracker.may_serve(now));
                 }
             });
}
