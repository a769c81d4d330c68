#include "LibLog/log_library.h"

#include <log4cplus/initializer.h>

namespace azurehaven {

void ensureLibraryIsSetUp() { static log4cplus::Initializer Initializer; }

} // namespace azurehaven
