#pragma once

namespace camphorrock
{

// How a call of the platform's key-value service ended.
enum class store_end
{
    done,     // it took effect, or the read is complete
    conflict, // compare-and-swap only: the key had another revision
    failed,   // it had no effect: not sent, or the store refused it
    unknown,  // no answer: it may have taken effect, or may still
};

} // namespace camphorrock
