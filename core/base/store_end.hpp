#pragma once

namespace camphorrock
{

// The result of a call to a key-value store.
enum class store_end
{
    done,     // the call took effect, or the read is complete
    conflict, // compare-and-swap only: the key had another revision
    failed,   // the call had no effect: it was not sent, or the store refused it
    unknown,  // no answer: the call may have taken effect, or may still do so
};

} // namespace camphorrock
