#include "lentiljunction/store/PlatformStore.h"

namespace lentiljunction {

bool putOnce(PlatformStore& store, const std::string& key, const std::string& value, Failure& failure)
{
    if (store.put(key, StoreVersion(), value, failure))
        return true;
    if (failure.kind != Failure::Kind::Conflict && failure.kind != Failure::Kind::InDoubt)
        return false;

    Failure readFailure;
    std::optional<StoreObject> object = store.get(key, readFailure);
    if (object && object->value == value)
        return true;
    if (object)
        failure.set(Failure::Kind::Conflict, key + " exists with another value");
    return false;
}

} // namespace lentiljunction
