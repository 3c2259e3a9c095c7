#include "core/config/config_patcher.hpp"
#include "core/config/config_tracker.hpp"
#include "testing/test_headers.hpp"

#include <map>
#include <memory>
#include <optional>

using namespace camphorrock;

// Operators submit patches through several assigners to one store that loses replies,
// delays writes and fails. Routers learn versions late, twice and out of order.
//
// The oracle is the store's history of documents. Each version was made by exactly one
// patch. A patch that was answered with `accepted` made the version in the answer. A
// patch that was answered with `stale`, or with `unavailable` before any `unknown`, made
// none. No router's version decreases.

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
    configuration document_read; // the document of the last read
    patch_action next;
};

struct recorded_answer
{
    patch_request request;
    patch_action answer;
};

struct patch_simulation
{
    std::vector<configuration> history{configuration()};
    std::vector<pending_swap> delayed;
    std::vector<operator_patch> open;
    std::map<patch_id, recorded_answer> answers;

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

    // Carries out one step of one open patch. `fault` is 1 for a call that fails, 2 for a
    // reply that is lost after the write took effect, and 3 for a reply that is lost
    // while the write is delayed; other values are no fault.
    void step(std::size_t at, unsigned fault)
    {
        operator_patch& it = open[at];
        if (it.next.step == patch_step::read)
        {
            it.document_read = document();
            it.next = it.patcher->on_read(fault == 1 ? nullptr : &it.document_read);
        }
        else
        {
            it.next = it.patcher->on_swap(write(it, fault));
        }
        if (it.next.step == patch_step::answer)
        {
            record_answer(it.request, it.next);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
        }
    }

    store_end write(const operator_patch& it, unsigned fault)
    {
        pending_swap todo{it.document_read.version,
                          next_configuration(it.document_read, {}, it.request)};
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

    // Records the answer to the operator. After `unknown`, any answer but `unavailable`
    // replaces it: `unavailable` is about the later submission only, not about the patch.
    void record_answer(const patch_request& request, patch_action answer)
    {
        auto it = answers.try_emplace(request.id, recorded_answer{request, answer}).first;
        if (it->second.answer.end == patch_end::unknown &&
            answer.end != patch_end::unavailable)
        {
            it->second.answer = answer;
        }
    }

    void submit_again()
    {
        for (const auto& [id, recorded] : answers)
        {
            if (recorded.answer.end == patch_end::unknown)
            {
                return submit(recorded.request);
            }
        }
    }

    std::optional<config_version> version_made_by(const patch_id& id) const
    {
        std::optional<config_version> found;
        for (const configuration& it : history)
        {
            if (!it.patches.empty() && it.patches.back().id == id)
            {
                RC_ASSERT(!found); // no patch is applied twice
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
        for (const auto& [id, recorded] : answers)
        {
            const patch_action& answer = recorded.answer;
            std::optional<config_version> made = version_made_by(id);
            bool is_accepted = answer.end == patch_end::accepted;
            RC_ASSERT(!is_accepted || made == answer.version);
            bool is_refused =
                answer.end == patch_end::stale || answer.end == patch_end::unavailable;
            RC_ASSERT(!is_refused || !made);
        }
    }
};

} // namespace

TEST_CASE("concurrent patches over a faulty store are applied at most once", "[fuzz]")
{
    rc::prop("each version has one patch, and each answer agrees with the history",
             []
             {
                 patch_simulation it;
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

TEST_CASE("a router's version never decreases, and a stale router does not serve",
          "[fuzz]")
{
    rc::prop("for any order of messages",
             [](const std::vector<std::pair<unsigned char, unsigned char>>& messages)
             {
                 config_tracker tracker({});
                 time_point now;
                 config_version store;
                 // The time at which the store got each version.
                 std::vector<time_point> made_at{now};
                 for (auto [kind, draw] : messages)
                 {
                     now += milliseconds(100 * (draw % 16));
                     config_version before = tracker.version();
                     config_version any_version{draw % (store.value + 1)};
                     switch (kind % 5)
                     {
                     case 0:
                         ++store.value;
                         made_at.push_back(now);
                         break;
                     case 1:
                         tracker.on_document(any_version);
                         break;
                     case 2:
                         tracker.on_contact(now, store);
                         break;
                     case 3:
                         if (tracker.on_version_reported(now, any_version))
                         {
                             RC_ASSERT(any_version > tracker.version());
                         }
                         break;
                     default:
                         tracker.on_document(store);
                     }
                     RC_ASSERT(before <= tracker.version());
                     bool is_stale =
                         tracker.version() < store &&
                         now - made_at[tracker.version().value + 1] > seconds(6);
                     RC_ASSERT(!is_stale || !tracker.may_serve(now));
                 }
             });
}
