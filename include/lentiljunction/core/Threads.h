#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lentiljunction {

/// A stack for the signal handlers of the current thread, so that an exhausted stack is reported too. A thread that has one
/// keeps it.
///
/// Create and destroy it in the same thread. @see ProcessEnd
class SignalStack {
public:
    SignalStack();
    ~SignalStack();
    SignalStack(const SignalStack&) = delete;
    SignalStack& operator=(const SignalStack&) = delete;

private:
    /// Empty when the thread had a stack.
    std::unique_ptr<char[]> memory;
};

/// Gives all threads that start later a stack of one size, whatever the limit on the main thread's stack is. With a large limit
/// few threads fit into a limited address space, and with a small one too little is left for deep calls.
void setThreadStackSize();

/// Starts a thread with a name and a SignalStack.
///
/// @param name at most 15 characters; shown by the system's tools and in event 120
/// @throws std::system_error when the system grants no thread
std::thread startThread(const std::string& name, std::function<void()> body);

} // namespace lentiljunction
