#include "lentiljunction/core/Threads.h"

#include <csignal>
#include <cstddef>
#include <pthread.h>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::size_t signalStackBytes = 65536;
    constexpr std::size_t threadStackBytes = 8U << 20;

} // namespace

SignalStack::SignalStack()
{
    // Tools that answer system calls by signals, and sanitizers, have set a stack of their own.
    stack_t present {};
    if (::sigaltstack(nullptr, &present) != 0 || (present.ss_flags & SS_DISABLE) == 0)
        return;
    this->memory = std::make_unique<char[]>(signalStackBytes);
    stack_t stack {};
    stack.ss_sp = this->memory.get();
    stack.ss_size = signalStackBytes;
    ::sigaltstack(&stack, nullptr);
}

SignalStack::~SignalStack()
{
    if (this->memory == nullptr)
        return;
    stack_t stack {};
    stack.ss_flags = SS_DISABLE;
    ::sigaltstack(&stack, nullptr);
}

void setThreadStackSize()
{
    pthread_attr_t attributes {};
    if (::pthread_getattr_default_np(&attributes) != 0)
        return;
    ::pthread_attr_setstacksize(&attributes, threadStackBytes);
    ::pthread_setattr_default_np(&attributes);
    ::pthread_attr_destroy(&attributes);
}

std::thread startThread(const std::string& name, std::function<void()> body)
{
    return std::thread([name, body = std::move(body)] {
        ::pthread_setname_np(::pthread_self(), name.c_str());
        SignalStack stack;
        body();
    });
}

} // namespace lentiljunction
