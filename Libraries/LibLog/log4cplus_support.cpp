#include "LibLog/log4cplus_support.h"

#include <log4cplus/initializer.h>

namespace azurehaven {

void initializeLog4cplus() { static log4cplus::Initializer Initializer; }

} // namespace azurehaven
