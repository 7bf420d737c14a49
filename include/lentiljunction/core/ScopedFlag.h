#pragma once

namespace lentiljunction {

/// Sets a flag until the end of a scope, also when an exception leaves it.
class ScopedFlag {
public:
    /// @param flag must outlive this object
    explicit ScopedFlag(bool& flag)
        : flag(flag)
    {
        this->flag = true;
    }
    ~ScopedFlag() { this->flag = false; }
    ScopedFlag(const ScopedFlag&) = delete;
    ScopedFlag& operator=(const ScopedFlag&) = delete;

private:
    bool& flag;
};

} // namespace lentiljunction
