#include "standins/proxy/link.h"

#include "standins/common/listener.h"

namespace standins {

Link::Link() = default;
Link::~Link() = default;

} // namespace standins
